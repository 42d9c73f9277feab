// Single ownership among real processes that are killed, suspended, resumed and cut off from their store.
#include <sqlite3.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

#include "fleet/fleet_rig.hpp"

using fleet::Fleet;
using fleet::json;
using namespace std::chrono_literals;

namespace {

// Names of the files that a process has open, one per line.
std::string open_files(pid_t pid) {
  std::string all;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    std::error_code error;
    all += std::filesystem::read_symlink(entry.path(), error).string() + '\n';
  }
  return all;
}

// Waits for the store to open its file, which it does on its worker thread some time after the process
// listens.
bool opens_file(pid_t pid, const std::string& name) {
  constexpr auto kTimeout = std::chrono::seconds(10);
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < until) {
    if (open_files(pid).find(name) != std::string::npos) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

void check_no_violations(const Fleet& fleet) {
  for (const std::string& violation : fleet.violations()) FAIL_CHECK(violation);
}

}  // namespace

TEST_CASE("Fleet: one process checks the instances for all, and each uses its report") {
  Fleet fleet(4);
  const int owner = fleet.wait_for_owner();
  REQUIRE(owner >= 0);
  std::this_thread::sleep_for(1s);  // until all members have read the first report
  const int before = fleet.health_checks();
  fleet.observe(2000);
  const int checks = fleet.health_checks() - before;
  CHECK(checks >= 10);  // two instances, every 0.2 s, by one process: 20
  CHECK(checks <= 30);  // with four processes it would be 80
  for (int i = 0; i < fleet.size(); ++i) {
    CHECK(fleet.chat(i) == 200);
    const json page = fleet.duties(i);
    CHECK(page.at("members").size() == 4);
    CHECK(page.at("duties")[0].at("owner").is_string());
  }
  check_no_violations(fleet);
}

TEST_CASE(
    "Fleet: a killed owner is replaced with a higher token after its lease expires, and all are served "
    "meanwhile") {
  Fleet fleet(3);
  const int first = fleet.wait_for_owner();
  REQUIRE(first >= 0);
  const auto token = fleet.newest_token();
  fleet.kill(first);
  for (int i = 0; i < fleet.size(); ++i) {
    if (i != first) CHECK(fleet.chat(i) == 200);
  }
  const int second = fleet.wait_for_owner(first);
  CHECK(second >= 0);
  CHECK(fleet.newest_token() > token);
  // After a restart under the same name, the member takes duties from another only through the protocol.
  fleet.start(first);
  fleet.observe(2500);
  CHECK(fleet.wait_for_owner() >= 0);
  check_no_violations(fleet);
}

TEST_CASE("Fleet: an owner that is suspended past its lease and resumed never acts as owner") {
  Fleet fleet(3);
  for (int round = 0; round < 3; ++round) {
    const int first = fleet.wait_for_owner();
    REQUIRE(first >= 0);
    const auto token = fleet.newest_token();
    fleet.signal(first, SIGSTOP);
    const int second = fleet.wait_for_owner(first, 10'000, {first});
    REQUIRE(second >= 0);
    CHECK(fleet.newest_token() > token);
    fleet.observe(1000, {first});
    fleet.signal(first, SIGCONT);
    fleet.observe(1500);
    CHECK(fleet.chat(first) == 200);
  }
  check_no_violations(fleet);
}

// Guards against a store that stays locked, and duties that nobody can claim, for as long as a process is
// suspended within a write.
TEST_CASE("Fleet: an owner that is suspended within a write to the store is replaced and moves on with it") {
  Fleet fleet(3);
  const int first = fleet.wait_for_owner();
  REQUIRE(first >= 0);
  const auto token = fleet.newest_token();
  REQUIRE(fleet.suspend_within_store_write(first));
  const int second = fleet.wait_for_owner(first, 10'000, {first});
  REQUIRE(second >= 0);
  CHECK(fleet.newest_token() > token);
  CHECK(fleet.member(second).page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 204"));
  const std::string draining = fleet.instance_state(second);
  fleet.signal(first, SIGCONT);
  fleet.observe(1500);
  CHECK(fleet.instance_state(first) == draining);
  CHECK(fleet.chat(first) == 200);
  check_no_violations(fleet);
}

TEST_CASE("Fleet: an owner that shuts down hands over without waiting for its lease to expire") {
  Fleet fleet(3, 20.0);  // far longer than the test
  const int first = fleet.wait_for_owner();
  REQUIRE(first >= 0);
  fleet.signal(first, SIGTERM);
  CHECK(fleet.wait_for_owner(first, 3000, {first}) >= 0);
  check_no_violations(fleet);
}

TEST_CASE("Fleet: an operator's drain at one process applies to all and survives restarts") {
  Fleet fleet(3);
  REQUIRE(fleet.wait_for_owner() >= 0);
  const auto state = [&fleet](int i) { return fleet.instance_state(i); };
  const auto all_report = [&](const std::string& expected) {
    for (int tries = 0; tries < 200; ++tries) {
      int reporting = 0;
      for (int i = 0; i < fleet.size(); ++i) reporting += state(i) == expected;
      if (reporting == fleet.size()) return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  };
  const std::string serving = state(0);
  CHECK(fleet.member(0).page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 204"));
  CHECK(fleet.member(0).page("POST", "/-/boxes/nobody/drain").starts_with("HTTP/1.1 404"));
  const std::string draining = state(0);
  CHECK(draining != serving);
  CHECK(all_report(draining));
  for (int i = 0; i < fleet.size(); ++i) fleet.kill(i);  // all at once
  for (int i = 0; i < fleet.size(); ++i) fleet.start(i);
  CHECK(all_report(draining));
  CHECK(fleet.member(2).page("POST", "/-/boxes/b1/resume").starts_with("HTTP/1.1 204"));
  CHECK(all_report(serving));
  check_no_violations(fleet);
}

TEST_CASE("Fleet: without the store nobody owns a duty and each checks and serves alone until it is back") {
  Fleet fleet(3);
  REQUIRE(fleet.wait_for_owner() >= 0);
  sqlite3* blocker = nullptr;
  REQUIRE(sqlite3_open(fleet.store.c_str(), &blocker) == SQLITE_OK);
  sqlite3_busy_timeout(blocker, 5000);
  REQUIRE(sqlite3_exec(blocker, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr) == SQLITE_OK);
  std::this_thread::sleep_for(2s);  // twice the lease
  CHECK(fleet.owners().empty());
  const int before = fleet.health_checks();
  std::this_thread::sleep_for(1s);
  CHECK(fleet.health_checks() - before >= 20);  // three processes, two instances, every 0.2 s: 30
  for (int i = 0; i < fleet.size(); ++i) CHECK(fleet.chat(i) == 200);
  CHECK(fleet.member(0).page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 503"));
  sqlite3_exec(blocker, "ROLLBACK", nullptr, nullptr, nullptr);
  sqlite3_close(blocker);
  CHECK(fleet.wait_for_owner() >= 0);
  fleet.observe(1000);
  check_no_violations(fleet);
}

TEST_CASE("Fleet: a store restored to an older copy is not trusted by members that saw newer revisions") {
  Fleet fleet(2);
  REQUIRE(fleet.wait_for_owner() >= 0);
  std::this_thread::sleep_for(2s);  // each has seen a dozen revisions by then
  // Decreases the revision counter, as restoring a backup would.
  sqlite3* file = nullptr;
  REQUIRE(sqlite3_open(fleet.store.c_str(), &file) == SQLITE_OK);
  sqlite3_busy_timeout(file, 5000);
  REQUIRE(
      sqlite3_exec(file,
                   "BEGIN IMMEDIATE; UPDATE meta SET value = 1 WHERE name = CAST('revision' AS BLOB); COMMIT",
                   nullptr, nullptr, nullptr) == SQLITE_OK);
  REQUIRE(sqlite3_changes(file) == 1);
  sqlite3_close(file);
  bool reported = false;
  for (int i = 0; i < 300 && !reported; ++i) {
    const json a = fleet.duties(0), b = fleet.duties(1);
    reported = a.at("set_back").get<bool>() && b.at("set_back").get<bool>();
    std::this_thread::sleep_for(20ms);
  }
  CHECK(reported);
  CHECK(fleet.owners().empty());
  CHECK(fleet.chat(0) == 200);
}

TEST_CASE("Fleet: on the platform, and without 'coordination', no store is opened") {
  integration::Platform platform({{"a", "mixto", "127.0.0.1:1"}});
  integration::EventLog seen;
  integration::ScriptedServer box(integration::instance_script(
      seen, [](integration::TestConnection&, const integration::Message&) { return true; }));
  integration::Appliance alone({box.address()});
  CHECK(alone.page("GET", "/-/duties").starts_with("HTTP/1.1 404"));
  Fleet fleet(1);
  CHECK(opens_file(fleet.member(0).program().pid(), "bankmux-fleet.db"));
  // The other processes were started earlier and would have opened a store by now, too.
  CHECK(open_files(platform.program().pid()).find("fleet") == std::string::npos);
  CHECK(open_files(alone.program().pid()).find("fleet") == std::string::npos);
}
