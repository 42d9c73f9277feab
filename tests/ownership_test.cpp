// One owner at a time: the pure protocol by stories, by its model, and over the real file.
#include "ownership/ownership.hpp"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <thread>

#include "coordination/sqlite_store.hpp"
#include "drawn_settings.hpp"
#include "memory_store.hpp"
#include "net/loop/mailbox.hpp"

using namespace bankmux;
using namespace std::chrono_literals;
using coordination::Fault;
using ownership::Answer;
using ownership::Call;
using ownership::Ownership;
using test::Table;

namespace {

// Members over a store in memory, one clock, calls answered at once unless a story says otherwise.
struct Fleet {
  Table store;
  ownership::Time now{1'000'000};
  std::vector<std::unique_ptr<Ownership>> members;
  std::vector<ownership::Duty> duties{"prober/0", "prober/1", "orphans", "maintenance"};

  Ownership& join(const std::string& name, std::uint64_t incarnation = 1) {
    ownership::Settings s;
    s.self = name;
    s.incarnation = incarnation;
    s.duties = duties;
    members.push_back(std::make_unique<Ownership>(s));
    return *members.back();
  }
  Answer ask(const Call& call) {
    using Kind = Call::Kind;
    const auto of = [](const coordination::LeaseResult& r) {
      return Answer{r.fault, false, r.lease, r.revision, {}};
    };
    if (call.kind == Kind::grant) return of(store.grant(now, 10s));
    if (call.kind == Kind::keep_alive) return of(store.keep_alive(now, call.lease));
    if (call.kind == Kind::revoke) return of(store.revoke(now, call.lease));
    const coordination::Result r = store.transact(now, call.transaction);
    return {r.fault, r.applied, 0, r.revision, r.entries};
  }
  void run(Ownership& member) {
    while (const auto call = member.next(now, 0.5)) member.answered(now, call->number, ask(*call));
  }
  // Everyone who is not among `without` goes on; changes are told to all at each step.
  void pass(ownership::Duration time, const std::vector<const Ownership*>& without = {}) {
    for (const auto end = now + time; now < end; now += 100ms) {
      store.expire(now);
      for (const auto& member : members) {
        if (std::ranges::count(without, member.get()) > 0) continue;
        member->changed();
        run(*member);
      }
      CHECK(at_most_one());
    }
  }
  [[nodiscard]] bool at_most_one() const {
    return std::ranges::all_of(duties,
                               [this](const ownership::Duty& duty) { return owners(duty).size() <= 1; });
  }
  [[nodiscard]] std::vector<const Ownership*> owners(const ownership::Duty& duty) const {
    std::vector<const Ownership*> all;
    for (const auto& member : members) {
      if (member->grant(duty, now)) all.push_back(member.get());
    }
    return all;
  }
  [[nodiscard]] bool all_owned() const {
    return std::ranges::all_of(duties,
                               [this](const ownership::Duty& duty) { return owners(duty).size() == 1; });
  }
};

}  // namespace

TEST_CASE("Ownership: each duty has one owner, and a member more moves only what it gains") {
  Fleet fleet;
  for (const char* name : {"a", "b", "c"}) fleet.join(name);
  fleet.pass(8s);
  REQUIRE(fleet.all_owned());
  std::map<ownership::Duty, const Ownership*> before;
  for (const auto& duty : fleet.duties) before[duty] = fleet.owners(duty).front();
  Ownership& fourth = fleet.join("d");
  fleet.pass(8s);
  REQUIRE(fleet.all_owned());
  for (const auto& duty : fleet.duties) {
    const Ownership* now = fleet.owners(duty).front();
    CHECK((now == before[duty] || now == &fourth));
  }
}

TEST_CASE("Ownership: a killed owner's duties are another's once its lease is over, and not before") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  fleet.pass(1s);
  REQUIRE(fleet.all_owned());
  const auto token = a.grant("orphans", fleet.now)->token();
  Ownership& b = fleet.join("b");
  fleet.pass(8s, {&a});  // a is gone; its lease is not
  CHECK_FALSE(b.grant("orphans", fleet.now));
  fleet.pass(6s, {&a});
  REQUIRE(b.grant("orphans", fleet.now));
  CHECK(b.grant("orphans", fleet.now)->token() > token);
  // Woken, it finds that out before its next act.
  CHECK_FALSE(a.grant("orphans", fleet.now));
}

TEST_CASE("Ownership: a process that starts again under its name owns nothing of its predecessor's") {
  Fleet fleet;
  Ownership& old = fleet.join("a", 1);
  fleet.pass(1s);
  REQUIRE(old.grant("orphans", fleet.now));
  Ownership& fresh = fleet.join("a", 2);
  fleet.pass(5s, {&old});
  CHECK_FALSE(fresh.grant("orphans", fleet.now));
  fleet.pass(8s, {&old});
  CHECK(fresh.grant("orphans", fleet.now));
}

TEST_CASE("Ownership: an act by an old grant changes nothing, however late it lands") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  fleet.pass(1s);
  const auto late =
      ownership::act(*a.grant("orphans", fleet.now), {coordination::Put{"state/orphans/x", "old", 0}});
  fleet.join("b");
  fleet.pass(20s, {&a});
  CHECK_FALSE(fleet.store.transact(fleet.now, late).applied);
  CHECK_FALSE(fleet.store.entries().contains("state/orphans/x"));
}

TEST_CASE("Ownership: an orderly leave hands over within a moment, without the lease's wait") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  fleet.pass(1s);
  Ownership& b = fleet.join("b");
  fleet.pass(1s);
  a.leave();
  fleet.pass(500ms);
  CHECK(a.left());
  for (const auto& duty : fleet.duties) CHECK(b.grant(duty, fleet.now));
}

TEST_CASE("Ownership: with the store away owners stop at their margin, and nobody is made one") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  fleet.pass(1s);
  const auto until = a.acts_until();
  for (const auto end = fleet.now + 20s; fleet.now < end; fleet.now += 100ms) {
    if (const auto call = a.next(fleet.now, 0.5))
      a.answered(fleet.now, call->number, {Fault::not_done, false, 0, 0, {}});
    CHECK(a.grant("orphans", fleet.now).has_value() == (fleet.now < until));
  }
  fleet.pass(8s);
  CHECK(a.grant("orphans", fleet.now));
}

TEST_CASE(
    "Ownership: a renewal whose answer is lost prolongs nothing, and an answer that comes twice says once") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  fleet.pass(1s);
  const auto until = a.acts_until();
  std::optional<Call> renewal;
  while (!renewal || renewal->kind != Call::Kind::keep_alive) {
    fleet.now += 100ms;
    renewal = a.next(fleet.now, 0.5);
    if (renewal && renewal->kind != Call::Kind::keep_alive)
      a.answered(fleet.now, renewal->number, fleet.ask(*renewal));
  }
  const Answer answer = fleet.ask(*renewal);
  CHECK(a.acts_until() == until);
  a.answered(fleet.now, renewal->number, {Fault::may_be_done, false, 0, 0, {}});
  CHECK(a.acts_until() == until);
  a.answered(fleet.now, renewal->number, answer);  // too late: it has been given up
  CHECK(a.acts_until() == until);
}

TEST_CASE("Ownership: time counts from before the renewal was sent, less drift and margin") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  const auto grant = a.next(fleet.now, 0.5);
  REQUIRE(grant->kind == Call::Kind::grant);
  const auto sent = fleet.now;
  fleet.now += 2s;
  a.answered(fleet.now, grant->number, fleet.ask(*grant));
  CHECK(a.acts_until() == sent + 9900ms - 1s);
}

TEST_CASE("Ownership: a store that was set back is not believed") {
  Fleet fleet;
  Ownership& a = fleet.join("a");
  fleet.pass(1s);
  fleet.store = Table{};
  fleet.pass(5s);
  CHECK(a.set_back());
  CHECK_FALSE(a.grant("orphans", fleet.now));
  CHECK(fleet.store.entries().empty());
}

TEST_CASE("Ownership: fifty members that join within a second share the duties, one owner each") {
  Fleet fleet;
  fleet.duties.clear();
  for (int i = 0; i < 40; ++i) fleet.duties.push_back("prober/" + std::to_string(i));
  for (int i = 0; i < 50; ++i) fleet.join("m" + std::to_string(i));
  fleet.pass(9s);
  CHECK(fleet.all_owned());
  std::set<const Ownership*> owners;
  for (const auto& duty : fleet.duties) owners.insert(fleet.owners(duty).front());
  CHECK(owners.size() > 15);
}

// Drawn faults over minutes: calls lost before or after they were done, answers late, members stopped and
// woken, stores away. Never two that may act; what is written is in the order of tokens.
TEST_CASE("Ownership: drawn faults never make two owners, nor an act out of turn") {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    eiderarch::test::Draw draw(seed);
    Fleet fleet;
    for (const char* name : {"a", "b", "c", "d"}) fleet.join(name);
    struct Late {
      Ownership* member;
      std::uint64_t number;
      Answer answer;
      ownership::Time at;
    };
    std::vector<Late> late;
    std::map<const Ownership*, ownership::Time> stopped;
    std::map<ownership::Duty, coordination::Revision> landed;
    std::vector<std::pair<coordination::Transaction, ownership::Time>> acts;
    int done = 0;
    for (int step = 0; step < 6000; ++step) {
      fleet.now += draw.time(10, 60);
      fleet.store.expire(fleet.now);
      for (const auto& owned : fleet.members) {
        Ownership& member = *owned;
        if (stopped.contains(&member) && fleet.now < stopped[&member]) continue;
        stopped.erase(&member);
        if (draw.chance(0.0005)) stopped[&member] = fleet.now + draw.time(500, 25000);
        if (draw.chance(0.2)) member.changed();
        if (const auto call = member.next(fleet.now, draw.between(0, 1))) {
          const int fate = draw.chance(0.9) ? 0 : draw.pick(1, 4);
          if (fate == 0) member.answered(fleet.now, call->number, fleet.ask(*call));
          if (fate == 1) member.answered(fleet.now, call->number, {Fault::not_done, false, 0, 0, {}});
          if (fate == 2) {
            (void)fleet.ask(*call);
            member.answered(fleet.now, call->number, {Fault::may_be_done, false, 0, 0, {}});
          }
          if (fate >= 3)
            late.push_back({&member, call->number, fleet.ask(*call), fleet.now + draw.time(50, 9000)});
        }
        for (const auto& duty : fleet.duties) {
          const auto grant = member.grant(duty, fleet.now);
          if (!grant || !draw.chance(0.05)) continue;
          acts.emplace_back(
              ownership::act(*grant, {coordination::Put{"state/" + duty, std::to_string(grant->token()), 0}}),
              fleet.now + draw.time(0, draw.chance(0.1) ? 30000 : 500));
        }
      }
      std::erase_if(late, [&](const Late& l) {
        if (l.at > fleet.now || stopped.contains(l.member)) return false;
        l.member->answered(fleet.now, l.number, l.answer);
        return true;
      });
      std::erase_if(acts, [&](const auto& act) {
        if (act.second > fleet.now) return false;
        if (fleet.store.transact(fleet.now, act.first).applied) {
          ++done;
          const auto& put = std::get<coordination::Put>(act.first.then.front());
          const coordination::Revision token = std::stoull(put.value);
          if (token < landed[put.key]) FAIL_CHECK("seed " << seed << ": an act out of turn for " << put.key);
          landed[put.key] = token;
        }
        return true;
      });
      for (const auto& duty : fleet.duties) {
        int may = 0;
        for (const auto& member : fleet.members)
          may += !stopped.contains(member.get()) && member->grant(duty, fleet.now);
        if (may > 1) FAIL_CHECK("seed " << seed << ": two may act for " << duty);
      }
    }
    CHECK(done > 100);
  }
}

// ---- The file ----

namespace {

struct Files {
  char folder[40] = "/tmp/bankmux-store-XXXXXX";
  std::string path;
  Files() {
    REQUIRE(mkdtemp(folder) != nullptr);
    path = std::string(folder) + "/state.db";
  }
  ~Files() { std::filesystem::remove_all(folder); }
};

// One process's store, its loop run until the answer is there.
struct Client {
  net::Loop loop;
  net::Mailbox mailbox{loop};
  coordination::SqliteStore store;
  explicit Client(const std::string& path)
      : store(path, [this](std::function<void()> run) { mailbox.post(std::move(run)); }) {}
  coordination::Result transact(coordination::Transaction t) {
    coordination::Result result;
    store.transact(std::move(t), [&](coordination::Result r) {
      result = std::move(r);
      loop.stop();
    });
    loop.run();
    return result;
  }
  coordination::LeaseResult of_lease(
      const std::function<void(std::function<void(coordination::LeaseResult)>)>& call) {
    coordination::LeaseResult result;
    call([&](coordination::LeaseResult r) {
      result = std::move(r);
      loop.stop();
    });
    loop.run();
    return result;
  }
  coordination::LeaseResult grant(coordination::Duration ttl) {
    return of_lease([&](auto done) { store.grant(ttl, std::move(done)); });
  }
  coordination::LeaseResult keep_alive(coordination::LeaseId lease) {
    return of_lease([&](auto done) { store.keep_alive(lease, std::move(done)); });
  }
  coordination::LeaseResult revoke(coordination::LeaseId lease) {
    return of_lease([&](auto done) { store.revoke(lease, std::move(done)); });
  }
};

}  // namespace

TEST_CASE("The file store does what the rules in memory do, whichever of two processes calls") {
  Files files;
  Client one(files.path), two(files.path);
  Table plain;
  // Its first revision is that of a new boot.
  const auto first = one.transact({{}, {}, {}}).revision;
  eiderarch::test::Draw draw(3);
  std::vector<std::pair<coordination::LeaseId, coordination::LeaseId>> leases;
  for (int i = 0; i < 250; ++i) {
    Client& client = draw.chance(0.5) ? one : two;
    const int what = draw.pick(0, 9);
    if (what == 0) {
      leases.emplace_back(client.grant(3600s).lease, plain.grant(0s, 3600s).lease);
    } else if (what == 1 && !leases.empty()) {
      const auto [real, model] = leases[std::size_t(draw.pick(0, int(leases.size()) - 1))];
      const bool end = draw.chance(0.5);
      const auto a = end ? client.revoke(real) : client.keep_alive(real);
      const auto b = end ? plain.revoke(0s, model) : plain.keep_alive(0s, model);
      CHECK(a.fault == b.fault);
    } else {
      coordination::Transaction t, m;
      const std::string key = std::string(draw.chance(0.5) ? "a/" : "b/") + char('p' + draw.pick(0, 3));
      coordination::Revision there = 0;
      if (const auto it = plain.entries().find(key); it != plain.entries().end()) there = it->second.modified;
      if (draw.chance(0.3)) ++there;
      if (draw.chance(0.7)) {
        t.when.push_back({key, there == 0 ? 0 : there + first});
        m.when.push_back({key, there});
      }
      if (draw.chance(0.3)) {
        t.then.emplace_back(coordination::Erase{key});
        m.then.emplace_back(coordination::Erase{key});
      } else {
        const bool leased = !leases.empty() && draw.chance(0.5);
        const auto [real, model] =
            leased ? leases.back() : std::pair<coordination::LeaseId, coordination::LeaseId>{};
        t.then.emplace_back(coordination::Put{key, std::string("v\0", 2) + std::to_string(i), real});
        m.then.emplace_back(coordination::Put{key, std::string("v\0", 2) + std::to_string(i), model});
      }
      t.read = m.read = {"a/"};
      const auto a = client.transact(t), b = plain.transact(0s, m);
      REQUIRE_FALSE(a.fault);
      CHECK(a.applied == b.applied);
      CHECK(a.revision == b.revision + first);
      REQUIRE(a.entries.size() == b.entries.size());
      for (std::size_t n = 0; n < a.entries.size(); ++n) {
        CHECK(a.entries[n].key == b.entries[n].key);
        CHECK(a.entries[n].value == b.entries[n].value);
        CHECK(a.entries[n].modified == b.entries[n].modified + first);
        CHECK(a.entries[n].created == b.entries[n].created + first);
      }
    }
  }
}

TEST_CASE("The file store ends a lease by itself, with all that hangs on it, and wakes who watches") {
  Files files;
  Client one(files.path), two(files.path);
  int told = 0;
  const auto watch = two.store.watch("", [&] {
    ++told;
    two.loop.stop();
  });
  (void)two.transact({{}, {}, {"k"}});
  told = 0;
  const auto lease = one.grant(300ms).lease;
  CHECK(one.transact({{{"k", 0}}, {coordination::Put{"k", "v", lease}}, {}}).applied);
  const auto enough = two.loop.at(two.loop.now() + 5s, [&] { two.loop.stop(); });
  while (told == 0 && two.loop.now() > core::Time{0}) {
    two.loop.run();
    break;
  }
  CHECK(told > 0);
  CHECK(two.transact({{}, {}, {"k"}}).entries.size() == 1);
  std::this_thread::sleep_for(400ms);
  CHECK(two.transact({{}, {}, {"k"}}).entries.empty());
  CHECK(one.keep_alive(lease).fault == Fault::refused);
  CHECK_FALSE(one.transact({{}, {coordination::Put{"k", "v", lease}}, {}}).applied);
}

TEST_CASE(
    "A file that is none, or is of another format, or can't be made is a fault with words, never a crash") {
  Files files;
  {
    std::FILE* file = std::fopen(files.path.c_str(), "w");
    for (int i = 0; i < 4096; ++i) std::fputc('x', file);
    std::fclose(file);
    Client client(files.path);
    const auto result = client.transact({{}, {}, {""}});
    CHECK(result.fault == Fault::refused);
    CHECK_FALSE(result.words.empty());
  }
  Client nowhere(std::string(files.folder) + "/no/such/folder/state.db");
  CHECK(nowhere.transact({{}, {}, {""}}).fault == Fault::not_done);
  CHECK(nowhere.grant(1s).fault == Fault::not_done);
}
