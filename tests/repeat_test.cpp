// A request that must not be repeated: what proves that an attempt did not execute it, and what may follow.
#include "core/execution.hpp"
#include "core_world.hpp"

using namespace bankmux::test;
using eiderarch::Effect;
using eiderarch::Outcome;
using eiderarch::RepeatGroup;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSafe = 0, kUnsafe = 1;  // classes of the world
constexpr std::uint32_t kReader = 0, kWriter = 1, kMixed = 2;

std::ptrdiff_t opened(const World& w) {
  return std::ranges::count_if(w.instances.log, [](const auto& line) { return line.starts_with("open "); });
}

// Two instances read, one writes; the first read is out, and has been written.
struct WithRead : World {
  WithRead() {
    list("r1", kReader);
    list("r2", kReader);
    list("w", kWriter);
  }
  void read(std::uint32_t cls) {
    ask(cls, 3000);
    REQUIRE(instances.out != nullptr);
    REQUIRE(instances.out->name.starts_with("r"));
    instances.written();
  }
};

}  // namespace

// ---- What an end proves ----

TEST_CASE(
    "Repeat: only what never left whole, a word of refusal, or a finished read prove that nothing ran") {
  const auto outcome = [](Verdict verdict, Progress progress, bool prefill = false) {
    AttemptResult result;
    result.verdict = verdict;
    result.progress = progress;
    return outcome_of(result, prefill);
  };
  for (const Progress progress : {Progress::not_connected, Progress::unwritten}) {
    CHECK(proves_not_executed(outcome(Verdict::broken, progress)));
    CHECK(proves_not_executed(outcome_given_up(progress, Outcome::cancelled)));
  }
  for (const Progress progress : {Progress::written, Progress::head, Progress::streaming, Progress::ended}) {
    CHECK_FALSE(proves_not_executed(outcome(Verdict::broken, progress)));
    CHECK_FALSE(proves_not_executed(outcome_given_up(progress, Outcome::timed_out)));
  }
  CHECK(proves_not_executed(outcome(Verdict::turned_away, Progress::ended)));
  CHECK(proves_not_executed(outcome(Verdict::no_state, Progress::ended)));
  CHECK_FALSE(proves_not_executed(outcome(Verdict::error, Progress::ended)));
  CHECK_FALSE(proves_not_executed(outcome(Verdict::served, Progress::ended)));
  CHECK_FALSE(proves_not_executed(outcome(Verdict::rejected, Progress::ended)));
  CHECK(outcome(Verdict::state_held, Progress::ended, true) == Outcome::state_held);
  CHECK_FALSE(proves_not_executed(outcome(Verdict::state_held, Progress::ended)));
}

TEST_CASE("Repeat: each class's rule on further attempts and refusals, by where and when earlier ones went") {
  eiderarch::RequestClass safe, keyed, harmful;
  safe.effect = Effect::safe;
  keyed.effect = Effect::keyed;
  keyed.repeat_window = 1s;
  harmful.effect = Effect::unsafe;
  ExecutionRecord record;
  record.note({1, 7, 10s}, Outcome::busy);
  CHECK_FALSE(record.may_have_executed());
  CHECK(record.permits(harmful, {1, 7, 11s}));
  record.note({1, 7, 10s}, Outcome::reset);
  CHECK(record.permits(safe, {2, 9, 60s}));
  CHECK(record.permits_refusal(safe));
  CHECK_FALSE(record.permits(harmful, {1, 7, 10s}));
  CHECK_FALSE(record.permits_refusal(harmful));
  CHECK(record.permits(keyed, {2, 9, 10s + 999ms}));
  CHECK_FALSE(record.permits(keyed, {1, 7, 11s}));
  CHECK(record.permits_refusal(keyed));
  keyed.group = RepeatGroup::zone;
  CHECK(record.permits(keyed, {1, 9, 10s}));
  CHECK_FALSE(record.permits(keyed, {2, 7, 10s}));
  CHECK_FALSE(record.permits_refusal(keyed));
  keyed.group = RepeatGroup::cell;
  CHECK(record.permits(keyed, {2, 7, 10s}));
  CHECK_FALSE(record.permits(keyed, {1, 9, 10s}));
}

// ---- The end of an attempt that this side gave up, on its way ----

// The instance was still at work on the read when the further attempt, on a pooled connection, or the refusal
// had arrived: a second one out.
TEST_CASE("Repeat: a further attempt waits until the end of the one given up has been heard") {
  for (const std::uint32_t cls : {kSafe, kUnsafe}) {
    CAPTURE(cls);
    WithRead w;
    w.read(cls);
    w.instances.ended(Verdict::broken, Progress::written, true);
    w.time.pass(9ms);
    CHECK(opened(w) == 1);
    w.time.pass(1ms);
    CHECK(opened(w) == 2);
  }
}

TEST_CASE("Repeat: what the instance itself has ended is followed at once") {
  WithRead w;
  w.read(kUnsafe);
  w.instances.ended(Verdict::broken, Progress::written);
  w.time.settle();
  CHECK(opened(w) == 2);
}

TEST_CASE("Repeat: a read that is called off has its end heard before its client is refused") {
  WithRead w;
  w.read(kUnsafe);
  const std::string first = w.instances.out->name;
  for (int i = 0; i < 6000 && w.instances.out != nullptr; ++i) w.time.pass(1ms);
  REQUIRE(w.instances.out == nullptr);  // by the module, too late for another
  REQUIRE(w.instances.log == Log{"open " + first, "close " + first, "release " + first});
  w.time.pass(8ms);
  CHECK(w.answers.empty());
  w.time.pass(2ms);
  CHECK(w.answers == Log{"refused"});
}

TEST_CASE("Repeat: at shutdown a refusal waits until the end of the read given up has been heard") {
  for (const std::uint32_t cls : {kSafe, kUnsafe}) {
    CAPTURE(cls);
    WithRead w;
    w.read(cls);
    w.conductor->abandon();
    w.time.pass(9ms);
    CHECK(w.answers == (cls == kSafe ? Log{"refused"} : Log{}));
    w.time.pass(1ms);
    CHECK(w.answers == Log{"refused"});
    w.time.pass(1s);
    CHECK(w.answers.size() == 1);
    CHECK(opened(w) == 1);
    CHECK(w.conductor->open_requests() == 0);
  }
}

TEST_CASE("Repeat: at shutdown a further attempt that still waits is not sent, and its client hears once") {
  WithRead w;
  w.read(kUnsafe);
  w.instances.ended(Verdict::broken, Progress::written, true);
  w.time.pass(5ms);
  w.conductor->abandon();
  w.time.pass(1s);
  CHECK(opened(w) == 1);
  CHECK(w.answers == Log{"refused"});
}

TEST_CASE("Repeat: a client that leaves while the further attempt waits is the end of it") {
  WithRead w;
  const RequestId id = w.ask(kUnsafe, 3000);
  w.instances.written();
  w.instances.ended(Verdict::broken, Progress::written, true);
  w.time.pass(5ms);
  w.conductor->client_gone(id);
  w.time.pass(1s);
  CHECK(opened(w) == 1);
  CHECK(w.answers.empty());
  CHECK(w.conductor->open_requests() == 0);
}

TEST_CASE(
    "Repeat: a read still out at the deadline is refused once its end has been heard, before it is late") {
  WithRead w;
  w.ask(kUnsafe, 3000, 400ms);
  w.instances.written();
  w.time.pass(400ms + 9ms);
  CHECK(w.answers.empty());
  w.time.pass(1ms);
  CHECK(w.answers == Log{"refused"});
  CHECK(w.conductor->open_requests() == 0);  // without it the process would never end
}

// ---- Reader or writer ----

// The module took it for a reader, whose attempts have no effect; by then the list said that it writes.
TEST_CASE(
    "Repeat: an instance that turns from a reader into a writer may execute, and the guard stops the next") {
  WithRead w;
  w.read(kUnsafe);
  const std::string other = w.instances.out->name == "r1" ? "r2" : "r1";
  w.instances.ended(Verdict::broken, Progress::written, true);
  w.time.pass(5ms);  // the further attempt is chosen, and waits
  w.list(other, kWriter);
  w.time.pass(5ms);
  REQUIRE(w.instances.out != nullptr);
  REQUIRE(w.instances.out->name == other);
  CHECK(w.instances.out->may_write());
  w.instances.written();
  w.instances.ended(Verdict::broken, Progress::written);
  w.time.settle();
  // The module may have it read again, which has no effect; nothing else is let out.
  for (int i = 0; i < 4 && w.instances.out != nullptr; ++i) {
    if (w.instances.out->may_write()) {
      REQUIRE(w.instances.out->name == (other == "r1" ? "r2" : "r1"));
      w.instances.written();
      w.instances.ended(Verdict::state_held);
    } else {
      w.instances.ended(Verdict::broken, Progress::not_connected);
    }
    w.time.settle();
  }
  w.time.pass(1s);
  CHECK(w.answers == Log{"failed"});
}

TEST_CASE("Repeat: an entry of the list without a kind leaves the instance's as it was") {
  World w;
  w.list("w", kMixed);
  w.list("v", kMixed);
  Listed row;
  row.id = row.address = "w";
  row.entry.engine = std::hash<std::string>{}("w");
  row.entry.kind = eiderarch::kKindNotNamed;
  w.conductor->news({eiderarch::ListScope::changes, {row}});
  w.time.settle();
  CHECK(w.conductor->fleet().find(row.entry.engine)->entry.kind == kMixed);
}
