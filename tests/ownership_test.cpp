// Tests of single ownership: the protocol over an in-memory store, and the SQLite store.
#include "ownership/ownership.hpp"

#include <sqlite3.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <thread>

#include "coordination/sqlite_store.hpp"
#include "coordination/store_files.hpp"
#include "drawn_settings.hpp"
#include "memory_store.hpp"
#include "net/loop/mailbox.hpp"

using namespace bankmux;
using namespace std::chrono_literals;
using coordination::FailureKind;
using ownership::Answer;
using ownership::Call;
using ownership::Ownership;
using test::MemoryStore;

namespace {

// Members over an in-memory store and one clock. Calls are answered at once unless a test does otherwise.
struct Fleet {
  MemoryStore store;
  ownership::Time now{1'000'000};
  std::vector<std::unique_ptr<Ownership>> members;
  std::vector<ownership::Duty> duties{"prober/0", "prober/1", "orphans", "maintenance"};

  Ownership& add_member(const std::string& name, std::uint64_t incarnation = 1) {
    ownership::Settings s;
    s.member_name = name;
    s.incarnation = incarnation;
    s.duties = duties;
    members.push_back(std::make_unique<Ownership>(s));
    return *members.back();
  }
  Answer send_to_store(const Call& call) {
    using Kind = Call::Kind;
    const auto of = [](const coordination::LeaseResult& r) {
      return Answer{r.failure, false, r.lease, r.revision, {}};
    };
    if (call.kind == Kind::grant) return of(store.grant(now, 10s));
    if (call.kind == Kind::keep_alive) return of(store.keep_alive(now, call.lease));
    if (call.kind == Kind::revoke) return of(store.revoke(now, call.lease));
    const coordination::Result r = store.transact(now, call.transaction);
    return {r.failure, r.applied, 0, r.revision, r.entries};
  }
  void run(Ownership& member) {
    while (const auto call = member.next_call(now, 0.5))
      member.handle_answer(now, call->number, send_to_store(*call));
  }
  // Advances the time. All members except those in `without` are notified of changes and run at each step.
  void advance(ownership::Duration time, const std::vector<const Ownership*>& without = {}) {
    for (const auto end = now + time; now < end; now += 100ms) {
      store.expire(now);
      for (const auto& member : members) {
        if (std::ranges::count(without, member.get()) > 0) continue;
        member->store_changed();
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

TEST_CASE("Ownership: each duty has one owner, and a new member only moves duties to itself") {
  Fleet fleet;
  for (const char* name : {"a", "b", "c"}) fleet.add_member(name);
  fleet.advance(8s);
  REQUIRE(fleet.all_owned());
  std::map<ownership::Duty, const Ownership*> before;
  for (const auto& duty : fleet.duties) before[duty] = fleet.owners(duty).front();
  Ownership& fourth = fleet.add_member("d");
  fleet.advance(8s);
  REQUIRE(fleet.all_owned());
  for (const auto& duty : fleet.duties) {
    const Ownership* now = fleet.owners(duty).front();
    CHECK((now == before[duty] || now == &fourth));
  }
}

TEST_CASE(
    "Ownership: a killed owner's duties pass to another member after its lease expires and not before") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  fleet.advance(1s);
  REQUIRE(fleet.all_owned());
  const auto token = a.grant("orphans", fleet.now)->token();
  Ownership& b = fleet.add_member("b");
  fleet.advance(8s, {&a});  // a was killed; its lease still runs
  CHECK_FALSE(b.grant("orphans", fleet.now));
  fleet.advance(6s, {&a});
  REQUIRE(b.grant("orphans", fleet.now));
  CHECK(b.grant("orphans", fleet.now)->token() > token);
  // After resuming, the old owner has no valid grant.
  CHECK_FALSE(a.grant("orphans", fleet.now));
}

TEST_CASE("Ownership: a process restarted under the same name does not inherit its predecessor's duties") {
  Fleet fleet;
  Ownership& old = fleet.add_member("a", 1);
  fleet.advance(1s);
  REQUIRE(old.grant("orphans", fleet.now));
  Ownership& fresh = fleet.add_member("a", 2);
  fleet.advance(5s, {&old});
  CHECK_FALSE(fresh.grant("orphans", fleet.now));
  fleet.advance(8s, {&old});
  CHECK(fresh.grant("orphans", fleet.now));
}

TEST_CASE("Ownership: a write with an old grant is rejected however late it arrives") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  fleet.advance(1s);
  const auto late = ownership::fenced_transaction(*a.grant("orphans", fleet.now),
                                                  {coordination::Put{"state/orphans/x", "old", 0}});
  fleet.add_member("b");
  fleet.advance(20s, {&a});
  CHECK_FALSE(fleet.store.transact(fleet.now, late).applied);
  CHECK_FALSE(fleet.store.entries().contains("state/orphans/x"));
}

TEST_CASE("Ownership: an orderly leave hands duties over without waiting for the lease to expire") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  fleet.advance(1s);
  Ownership& b = fleet.add_member("b");
  fleet.advance(1s);
  a.leave();
  fleet.advance(500ms);
  CHECK(a.has_left());
  for (const auto& duty : fleet.duties) CHECK(b.grant(duty, fleet.now));
}

TEST_CASE("Ownership: while the store is unavailable owners stop at their margin and nobody becomes owner") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  fleet.advance(1s);
  const auto until = a.grants_valid_until();
  for (const auto end = fleet.now + 20s; fleet.now < end; fleet.now += 100ms) {
    if (const auto call = a.next_call(fleet.now, 0.5))
      a.handle_answer(fleet.now, call->number, {FailureKind::not_applied, false, 0, 0, {}});
    CHECK(a.grant("orphans", fleet.now).has_value() == (fleet.now < until));
  }
  fleet.advance(8s);
  CHECK(a.grant("orphans", fleet.now));
}

TEST_CASE("Ownership: a renewal whose answer is lost extends nothing, and a late answer is ignored") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  fleet.advance(1s);
  const auto until = a.grants_valid_until();
  std::optional<Call> renewal;
  while (!renewal || renewal->kind != Call::Kind::keep_alive) {
    fleet.now += 100ms;
    renewal = a.next_call(fleet.now, 0.5);
    if (renewal && renewal->kind != Call::Kind::keep_alive)
      a.handle_answer(fleet.now, renewal->number, fleet.send_to_store(*renewal));
  }
  const Answer answer = fleet.send_to_store(*renewal);
  CHECK(a.grants_valid_until() == until);
  a.handle_answer(fleet.now, renewal->number, {FailureKind::outcome_unknown, false, 0, 0, {}});
  CHECK(a.grants_valid_until() == until);
  a.handle_answer(fleet.now, renewal->number, answer);  // too late: the call was given up
  CHECK(a.grants_valid_until() == until);
}

TEST_CASE("Ownership: grant time counts from when the renewal was sent, minus drift and margin") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  const auto grant = a.next_call(fleet.now, 0.5);
  REQUIRE(grant->kind == Call::Kind::grant);
  const auto sent = fleet.now;
  fleet.now += 2s;
  a.handle_answer(fleet.now, grant->number, fleet.send_to_store(*grant));
  CHECK(a.grants_valid_until() == sent + 9900ms - 1s);
}

TEST_CASE("Ownership: a store restored to an older state is not trusted") {
  Fleet fleet;
  Ownership& a = fleet.add_member("a");
  fleet.advance(1s);
  fleet.store = MemoryStore{};
  fleet.advance(5s);
  CHECK(a.rolled_back());
  CHECK_FALSE(a.grant("orphans", fleet.now));
  CHECK(fleet.store.entries().empty());
}

TEST_CASE("Ownership: fifty members that join within a second share the duties with one owner each") {
  Fleet fleet;
  fleet.duties.clear();
  for (int i = 0; i < 40; ++i) fleet.duties.push_back("prober/" + std::to_string(i));
  for (int i = 0; i < 50; ++i) fleet.add_member("m" + std::to_string(i));
  fleet.advance(9s);
  CHECK(fleet.all_owned());
  std::set<const Ownership*> owners;
  for (const auto& duty : fleet.duties) owners.insert(fleet.owners(duty).front());
  CHECK(owners.size() > 15);
}

// Random faults over several simulated minutes: calls lost before or after they were applied, late answers,
// members suspended and resumed, late writes. At no time do two members hold a grant for one duty, and writes
// take effect in the order of their tokens.
TEST_CASE("Ownership: random faults never give two owners or apply writes out of token order") {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    eiderarch::test::RandomSource draw(seed);
    Fleet fleet;
    for (const char* name : {"a", "b", "c", "d"}) fleet.add_member(name);
    struct Late {
      Ownership* member;
      std::uint64_t number;
      Answer answer;
      ownership::Time at;
    };
    std::vector<Late> late;
    std::map<const Ownership*, ownership::Time> suspended_until;
    std::map<ownership::Duty, coordination::Revision> applied_tokens;
    std::vector<std::pair<coordination::Transaction, ownership::Time>> pending_writes;
    int applied = 0;
    for (int step = 0; step < 6000; ++step) {
      fleet.now += draw.time(10, 60);
      fleet.store.expire(fleet.now);
      for (const auto& owned : fleet.members) {
        Ownership& member = *owned;
        if (suspended_until.contains(&member) && fleet.now < suspended_until[&member]) continue;
        suspended_until.erase(&member);
        if (draw.chance(0.0005)) suspended_until[&member] = fleet.now + draw.time(500, 25000);
        if (draw.chance(0.2)) member.store_changed();
        if (const auto call = member.next_call(fleet.now, draw.between(0, 1))) {
          const int fate = draw.chance(0.9) ? 0 : draw.pick(1, 4);
          if (fate == 0) member.handle_answer(fleet.now, call->number, fleet.send_to_store(*call));
          if (fate == 1)
            member.handle_answer(fleet.now, call->number, {FailureKind::not_applied, false, 0, 0, {}});
          if (fate == 2) {
            (void)fleet.send_to_store(*call);
            member.handle_answer(fleet.now, call->number, {FailureKind::outcome_unknown, false, 0, 0, {}});
          }
          if (fate >= 3)
            late.push_back(
                {&member, call->number, fleet.send_to_store(*call), fleet.now + draw.time(50, 9000)});
        }
        for (const auto& duty : fleet.duties) {
          const auto grant = member.grant(duty, fleet.now);
          if (!grant || !draw.chance(0.05)) continue;
          pending_writes.emplace_back(
              ownership::fenced_transaction(
                  *grant, {coordination::Put{"state/" + duty, std::to_string(grant->token()), 0}}),
              fleet.now + draw.time(0, draw.chance(0.1) ? 30000 : 500));
        }
      }
      std::erase_if(late, [&](const Late& l) {
        if (l.at > fleet.now || suspended_until.contains(l.member)) return false;
        l.member->handle_answer(fleet.now, l.number, l.answer);
        return true;
      });
      std::erase_if(pending_writes, [&](const auto& write) {
        if (write.second > fleet.now) return false;
        if (fleet.store.transact(fleet.now, write.first).applied) {
          ++applied;
          const auto& put = std::get<coordination::Put>(write.first.writes.front());
          const coordination::Revision token = std::stoull(put.value);
          if (token < applied_tokens[put.key])
            FAIL_CHECK("seed " << seed << ": a write out of token order for " << put.key);
          applied_tokens[put.key] = token;
        }
        return true;
      });
      for (const auto& duty : fleet.duties) {
        int grant_count = 0;
        for (const auto& member : fleet.members)
          grant_count += !suspended_until.contains(member.get()) && member->grant(duty, fleet.now);
        if (grant_count > 1) FAIL_CHECK("seed " << seed << ": two members hold grants for " << duty);
      }
    }
    CHECK(applied > 100);
  }
}

// ---- The SQLite store ----

namespace {

struct TemporaryStore {
  char folder[40] = "/tmp/bankmux-store-XXXXXX";
  std::string path;
  TemporaryStore() {
    REQUIRE(mkdtemp(folder) != nullptr);
    path = std::string(folder) + "/state.db";
  }
  ~TemporaryStore() { std::filesystem::remove_all(folder); }
};

// The store as one process uses it; each call runs the event loop until its result arrives.
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
  coordination::LeaseResult lease_call(
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
    return lease_call([&](auto done) { store.grant(ttl, std::move(done)); });
  }
  coordination::LeaseResult keep_alive(coordination::LeaseId lease) {
    return lease_call([&](auto done) { store.keep_alive(lease, std::move(done)); });
  }
  coordination::LeaseResult revoke(coordination::LeaseId lease) {
    return lease_call([&](auto done) { store.revoke(lease, std::move(done)); });
  }
};

// Seals and copies a store's file at the last moment before a commit, as another process may.
struct SealAtCommit {
  static inline SealAtCommit* current = nullptr;
  coordination::StoreFiles files;
  std::atomic<bool> armed = false;
  explicit SealAtCommit(const std::string& path) : files(path) {
    current = this;
    sqlite3_auto_extension(reinterpret_cast<void (*)()>(install));
  }
  ~SealAtCommit() { sqlite3_cancel_auto_extension(reinterpret_cast<void (*)()>(install)); }
  // Called for each connection that is opened.
  static int install(sqlite3* database, char** /*error*/, const struct sqlite3_api_routines* /*routines*/) {
    sqlite3_commit_hook(database, on_commit, nullptr);
    return SQLITE_OK;
  }
  static int on_commit(void* /*context*/) {
    if (!current->armed.exchange(false)) return 0;
    current->files.seal();
    current->files.advance();
    return 0;
  }
};

}  // namespace

TEST_CASE("The SQLite store behaves like the in-memory store whichever of two processes calls") {
  TemporaryStore files;
  Client one(files.path), two(files.path);
  MemoryStore reference;
  // A new file starts at the revision that recording the boot ID gave it.
  const auto first = one.transact({{}, {}, {}}).revision;
  eiderarch::test::RandomSource draw(3);
  std::vector<std::pair<coordination::LeaseId, coordination::LeaseId>> leases;
  for (int i = 0; i < 250; ++i) {
    Client& client = draw.chance(0.5) ? one : two;
    const int what = draw.pick(0, 9);
    if (what == 0) {
      leases.emplace_back(client.grant(3600s).lease, reference.grant(0s, 3600s).lease);
    } else if (what == 1 && !leases.empty()) {
      const auto [real, model] = leases[std::size_t(draw.pick(0, int(leases.size()) - 1))];
      const bool end = draw.chance(0.5);
      const auto a = end ? client.revoke(real) : client.keep_alive(real);
      const auto b = end ? reference.revoke(0s, model) : reference.keep_alive(0s, model);
      CHECK(a.failure == b.failure);
    } else {
      coordination::Transaction t, m;
      const std::string key = std::string(draw.chance(0.5) ? "a/" : "b/") + char('p' + draw.pick(0, 3));
      coordination::Revision modified = 0;
      if (const auto it = reference.entries().find(key); it != reference.entries().end())
        modified = it->second.modified;
      if (draw.chance(0.3)) ++modified;
      if (draw.chance(0.7)) {
        t.conditions.push_back({key, modified == 0 ? 0 : modified + first});
        m.conditions.push_back({key, modified});
      }
      if (draw.chance(0.3)) {
        t.writes.emplace_back(coordination::Erase{key});
        m.writes.emplace_back(coordination::Erase{key});
      } else {
        const bool leased = !leases.empty() && draw.chance(0.5);
        const auto [real, model] =
            leased ? leases.back() : std::pair<coordination::LeaseId, coordination::LeaseId>{};
        t.writes.emplace_back(coordination::Put{key, std::string("v\0", 2) + std::to_string(i), real});
        m.writes.emplace_back(coordination::Put{key, std::string("v\0", 2) + std::to_string(i), model});
      }
      t.read_prefixes = m.read_prefixes = {"a/"};
      const auto a = client.transact(t), b = reference.transact(0s, m);
      REQUIRE_FALSE(a.failure);
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

// Guards against contents that are lost when the store moves on to the next file.
TEST_CASE("The SQLite store goes on in a copy when its file is sealed, time and again") {
  TemporaryStore files;
  Client one(files.path), two(files.path);
  coordination::StoreFiles sealer(files.path);
  std::uint64_t revision = two.transact({{}, {coordination::Put{"kept", "v", 0}}, {}}).revision;
  for (int i = 0; i < 4; ++i) {
    sealer.seal();
    const std::string key = "k" + std::to_string(i);
    Client& writer = i % 2 == 0 ? one : two;
    Client& reader = i % 2 == 0 ? two : one;
    const auto written = writer.transact({{}, {coordination::Put{key, "v", 0}}, {}});
    CHECK_FALSE(written.failure);
    CHECK(written.revision == revision + 1);
    const auto read = reader.transact({{}, {}, {""}});
    CHECK_FALSE(read.failure);
    CHECK(read.revision == written.revision);
    CHECK(read.entries.size() == std::size_t(i) + 2);
    revision = read.revision;
    sealer.advance();
  }
  CHECK(sealer.current() == files.path + ".4");
  Client late(files.path);
  CHECK(late.transact({{}, {}, {""}}).revision == revision);
  // The file in use and the one before it are left, each with its companions, and the seals.
  CHECK_FALSE(std::filesystem::exists(files.path + ".2"));
  CHECK(std::filesystem::exists(files.path + ".2.sealed"));
}

// Guards against a commit that is reported as applied and is missing in the next file.
TEST_CASE("The SQLite store reports a commit to a file that was sealed meanwhile as of unknown outcome") {
  TemporaryStore files;
  SealAtCommit seal_at_commit(files.path);
  Client client(files.path);
  const auto before = client.transact({{}, {coordination::Put{"kept", "v", 0}}, {}});
  CHECK_FALSE(before.failure);
  seal_at_commit.armed = true;
  const auto result = client.transact({{}, {coordination::Put{"lost", "v", 0}}, {""}});
  CHECK_FALSE(seal_at_commit.armed);
  CHECK(result.failure == coordination::FailureKind::outcome_unknown);
  CHECK_FALSE(result.applied);
  CHECK(result.entries.empty());
  const auto after = client.transact({{}, {}, {""}});
  CHECK_FALSE(after.failure);
  CHECK(after.revision == before.revision);
  REQUIRE(after.entries.size() == 1);
  CHECK(after.entries[0].key == "kept");
}

TEST_CASE("The SQLite store expires a lease with all keys attached to it, and notifies watchers of changes") {
  TemporaryStore files;
  Client one(files.path), two(files.path);
  int notifications = 0;
  const auto watch = two.store.watch("", [&] {
    ++notifications;
    two.loop.stop();
  });
  (void)two.transact({{}, {}, {"k"}});
  notifications = 0;
  const auto lease = one.grant(300ms).lease;
  CHECK(one.transact({{{"k", 0}}, {coordination::Put{"k", "v", lease}}, {}}).applied);
  const auto deadline = two.loop.at(two.loop.now() + 5s, [&] { two.loop.stop(); });
  while (notifications == 0 && two.loop.now() > core::Time{0}) {
    two.loop.run();
    break;
  }
  CHECK(notifications > 0);
  CHECK(two.transact({{}, {}, {"k"}}).entries.size() == 1);
  std::this_thread::sleep_for(400ms);
  CHECK(two.transact({{}, {}, {"k"}}).entries.empty());
  CHECK(one.keep_alive(lease).failure == FailureKind::rejected);
  CHECK_FALSE(one.transact({{}, {coordination::Put{"k", "v", lease}}, {}}).applied);
}

TEST_CASE("A file that is not a database or cannot be created gives a failure and not a crash") {
  TemporaryStore files;
  {
    std::FILE* file = std::fopen(files.path.c_str(), "w");
    for (int i = 0; i < 4096; ++i) std::fputc('x', file);
    std::fclose(file);
    Client client(files.path);
    const auto result = client.transact({{}, {}, {""}});
    CHECK(result.failure == FailureKind::rejected);
    CHECK_FALSE(result.message.empty());
  }
  Client nowhere(std::string(files.folder) + "/no/such/folder/state.db");
  CHECK(nowhere.transact({{}, {}, {""}}).failure == FailureKind::not_applied);
  CHECK(nowhere.grant(1s).failure == FailureKind::not_applied);
}
