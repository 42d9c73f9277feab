// Requests that must not be executed twice: what proves that an attempt did not execute one, and what may
// follow.
#include "core/execution.hpp"
#include "core_fixture.hpp"

using namespace bankmux::test;
using eiderarch::Effect;
using eiderarch::Outcome;
using eiderarch::RepeatGroup;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSafe = 0, kUnsafe = 1;  // class indexes of the fixture's settings
constexpr std::uint32_t kPrefill = 0, kDecode = 1, kMixed = 2;

std::ptrdiff_t attempts_opened(const CoreFixture& w) {
  return std::ranges::count_if(w.instances.log, [](const auto& line) { return line.starts_with("open "); });
}

// Two prefill instances and one decode instance; `start_prefill` starts a first prefill and writes it.
struct WithPrefill : CoreFixture {
  WithPrefill() {
    list_instance("r1", kPrefill);
    list_instance("r2", kPrefill);
    list_instance("w", kDecode);
  }
  void start_prefill(std::uint32_t cls) {
    send_request(cls, 3000);
    REQUIRE(instances.attempt != nullptr);
    REQUIRE(instances.attempt->name.starts_with("r"));
    instances.finish_write();
  }
};

}  // namespace

// ---- What the end of an attempt proves ----

TEST_CASE("Repeat: only an incomplete request, a refusal or a completed prefill proves that nothing ran") {
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
  CHECK(proves_not_executed(outcome(Verdict::busy, Progress::ended)));
  CHECK(proves_not_executed(outcome(Verdict::no_state, Progress::ended)));
  CHECK_FALSE(proves_not_executed(outcome(Verdict::error, Progress::ended)));
  CHECK_FALSE(proves_not_executed(outcome(Verdict::served, Progress::ended)));
  CHECK_FALSE(proves_not_executed(outcome(Verdict::rejected, Progress::ended)));
  CHECK(outcome(Verdict::state_held, Progress::ended, true) == Outcome::state_held);
  CHECK_FALSE(proves_not_executed(outcome(Verdict::state_held, Progress::ended)));
}

TEST_CASE(
    "Repeat: the rules of each class on further attempts and refusals by place and time of earlier ones") {
  eiderarch::RequestClass safe, keyed, unsafe_class;
  safe.effect = Effect::safe;
  keyed.effect = Effect::keyed;
  keyed.repeat_window = 1s;
  unsafe_class.effect = Effect::unsafe;
  ExecutionRecord record;
  record.note({1, 7, 10s}, Outcome::busy);
  CHECK_FALSE(record.may_have_executed());
  CHECK(record.permits(unsafe_class, {1, 7, 11s}));
  record.note({1, 7, 10s}, Outcome::reset);
  CHECK(record.permits(safe, {2, 9, 60s}));
  CHECK(record.permits_refusal(safe));
  CHECK_FALSE(record.permits(unsafe_class, {1, 7, 10s}));
  CHECK_FALSE(record.permits_refusal(unsafe_class));
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

// ---- Delivery of the close of an attempt that this side gave up ----

// Guards against two attempts at once: the instance was still working on the prefill when the further
// attempt, sent on a pooled connection, or the refusal arrived.
TEST_CASE("Repeat: a further attempt waits until the close of the previous one has been delivered") {
  for (const std::uint32_t cls : {kSafe, kUnsafe}) {
    CAPTURE(cls);
    WithPrefill w;
    w.start_prefill(cls);
    w.instances.end_attempt(Verdict::broken, Progress::written, true);
    w.time.advance(9ms);
    CHECK(attempts_opened(w) == 1);
    w.time.advance(1ms);
    CHECK(attempts_opened(w) == 2);
  }
}

TEST_CASE("Repeat: an attempt that its instance ended is followed at once") {
  WithPrefill w;
  w.start_prefill(kUnsafe);
  w.instances.end_attempt(Verdict::broken, Progress::written);
  w.time.run_ready();
  CHECK(attempts_opened(w) == 2);
}

TEST_CASE("Repeat: the close of a cancelled prefill is delivered before its client is refused") {
  WithPrefill w;
  w.start_prefill(kUnsafe);
  const std::string first = w.instances.attempt->name;
  for (int i = 0; i < 6000 && w.instances.attempt != nullptr; ++i) w.time.advance(1ms);
  REQUIRE(w.instances.attempt == nullptr);  // cancelled by the module, too late for another attempt
  REQUIRE(w.instances.log == EventLog{"open " + first, "close " + first, "release " + first});
  w.time.advance(8ms);
  CHECK(w.answers.empty());
  w.time.advance(2ms);
  CHECK(w.answers == EventLog{"refused"});
}

TEST_CASE("Repeat: at shutdown a refusal waits until the close of the prefill has been delivered") {
  for (const std::uint32_t cls : {kSafe, kUnsafe}) {
    CAPTURE(cls);
    WithPrefill w;
    w.start_prefill(cls);
    w.conductor->abandon();
    w.time.advance(9ms);
    CHECK(w.answers == (cls == kSafe ? EventLog{"refused"} : EventLog{}));
    w.time.advance(1ms);
    CHECK(w.answers == EventLog{"refused"});
    w.time.advance(1s);
    CHECK(w.answers.size() == 1);
    CHECK(attempts_opened(w) == 1);
    CHECK(w.conductor->open_requests() == 0);
  }
}

TEST_CASE(
    "Repeat: at shutdown a further attempt that still waits is not sent and its client is answered once") {
  WithPrefill w;
  w.start_prefill(kUnsafe);
  w.instances.end_attempt(Verdict::broken, Progress::written, true);
  w.time.advance(5ms);
  w.conductor->abandon();
  w.time.advance(1s);
  CHECK(attempts_opened(w) == 1);
  CHECK(w.answers == EventLog{"refused"});
}

TEST_CASE("Repeat: a request whose client leaves while the further attempt waits ends without an attempt") {
  WithPrefill w;
  const RequestId id = w.send_request(kUnsafe, 3000);
  w.instances.finish_write();
  w.instances.end_attempt(Verdict::broken, Progress::written, true);
  w.time.advance(5ms);
  w.conductor->client_gone(id);
  w.time.advance(1s);
  CHECK(attempts_opened(w) == 1);
  CHECK(w.answers.empty());
  CHECK(w.conductor->open_requests() == 0);
}

TEST_CASE(
    "Repeat: a prefill still active at the deadline is refused in time once its close has been delivered") {
  WithPrefill w;
  w.send_request(kUnsafe, 3000, 400ms);
  w.instances.finish_write();
  w.time.advance(400ms + 9ms);
  CHECK(w.answers.empty());
  w.time.advance(1ms);
  CHECK(w.answers == EventLog{"refused"});
  CHECK(w.conductor->open_requests() == 0);  // otherwise the process would never end
}

// ---- Change of an instance's role ----

// Guards against a second execution: the module chose the instance as a prefill instance, whose attempts have
// no effect, but before the attempt began the list made it a decode instance.
TEST_CASE(
    "Repeat: an instance that changes from prefill to decode may execute and no decode attempt follows") {
  WithPrefill w;
  w.start_prefill(kUnsafe);
  const std::string other = w.instances.attempt->name == "r1" ? "r2" : "r1";
  w.instances.end_attempt(Verdict::broken, Progress::written, true);
  w.time.advance(5ms);  // the further attempt has been chosen, and waits
  w.list_instance(other, kDecode);
  w.time.advance(5ms);
  REQUIRE(w.instances.attempt != nullptr);
  REQUIRE(w.instances.attempt->name == other);
  CHECK(w.instances.attempt->may_write());
  w.instances.finish_write();
  w.instances.end_attempt(Verdict::broken, Progress::written);
  w.time.run_ready();
  // The module may order a prefill again, which has no effect; nothing else is sent.
  for (int i = 0; i < 4 && w.instances.attempt != nullptr; ++i) {
    if (w.instances.attempt->may_write()) {
      REQUIRE(w.instances.attempt->name == (other == "r1" ? "r2" : "r1"));
      w.instances.finish_write();
      w.instances.end_attempt(Verdict::state_held);
    } else {
      w.instances.end_attempt(Verdict::broken, Progress::not_connected);
    }
    w.time.run_ready();
  }
  w.time.advance(1s);
  CHECK(w.answers == EventLog{"failed"});
}

TEST_CASE("Repeat: a list entry without a kind leaves the kind of its instance unchanged") {
  CoreFixture w;
  w.list_instance("w", kMixed);
  w.list_instance("v", kMixed);
  ListEntry row;
  row.id = row.address = "w";
  row.entry.engine = std::hash<std::string>{}("w");
  row.entry.kind = eiderarch::kKindNotNamed;
  w.conductor->update_fleet({eiderarch::ListScope::changes, {row}});
  w.time.run_ready();
  CHECK(w.conductor->fleet().find(row.entry.engine)->entry.kind == kMixed);
}
