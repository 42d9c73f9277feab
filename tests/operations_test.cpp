// Maintenance of instances: the file format, the shared file, and the instance states passed to the decision
// module.
#include <rapidcheck.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>

#include "app/shared_file.hpp"
#include "core/fleet.hpp"
#include "operations/maintenance.hpp"

using namespace bankmux;
using namespace std::chrono_literals;

namespace {

core::ListEntry listed(const std::string& id, core::EngineId engine,
                       eiderarch::EngineState state = eiderarch::EngineState::live) {
  core::ListEntry row;
  row.id = id;
  row.entry.engine = engine;
  row.entry.state = state;
  row.address = "127.0.0.1:1";
  return row;
}

struct TemporaryDirectory {
  TemporaryDirectory() { REQUIRE(mkdtemp(path) != nullptr); }
  ~TemporaryDirectory() {
    for (const char* name : {"/f", "/f.lock", "/f.new"}) std::remove((std::string(path) + name).c_str());
    rmdir(path);
  }
  char path[32] = "/tmp/bankmux-out-XXXXXX";
};

}  // namespace

TEST_CASE("The maintenance set is read back as written and a damaged file is rejected") {
  CHECK(rc::check("encode, decode", [] {
    const auto id =
        rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("aZ09-_.:"))));
    const auto ids = *rc::gen::container<operations::Ids>(id);
    for (const std::string& each : ids) RC_PRE(operations::is_valid_id(each));
    const std::string text = operations::encode(ids);
    RC_ASSERT(operations::decode(text) == ids);
    const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!operations::decode(text.substr(0, length)));
  }));
  for (const char* invalid : {"", "{}\n", "bankmux maintenance 1\n{}\n", "bankmux maintenance 1\n[1]\n",
                              "bankmux maintenance 1\n[\"a b\"]\n", "bankmux maintenance 2\n[]\n"}) {
    CHECK_FALSE(operations::decode(invalid));
  }
}

TEST_CASE(
    "A shared file is replaced atomically, reports each change once and refuses updates under a held lock") {
  TemporaryDirectory directory;
  const std::string path = std::string(directory.path) + "/f";
  app::SharedFile first(path), second(path);
  CHECK(first.read() == "");
  CHECK_FALSE(second.changed());
  REQUIRE(first.update([](const std::string& before) { return before + "a"; }));
  REQUIRE(second.update([](const std::string& before) { return before + "b"; }));
  CHECK(first.read() == "ab");
  CHECK(first.changed());
  CHECK_FALSE(first.changed());
  CHECK_FALSE(first.update([](const std::string&) { return std::nullopt; }));
  CHECK(first.read() == "ab");
  CHECK(first.update([&](const std::string& before) {
    CHECK_FALSE(
        second.update([](const std::string&) { return std::string("lost"); }));  // `first` holds the lock
    return before;
  }));
  CHECK(first.read() == "ab");
}

TEST_CASE("An instance in maintenance drains regardless of the list and returns as newly started") {
  core::Fleet fleet;
  const auto live = eiderarch::EngineState::live;
  const auto draining = eiderarch::EngineState::draining;
  fleet.update(1s, {eiderarch::ListScope::complete, {listed("a", 1), listed("b", 2)}});
  CHECK(fleet.set_maintenance(2s, {"a"}) == std::vector<core::EngineId>{1});
  CHECK(fleet.module_entry(1).state == draining);
  fleet.update(3s, {eiderarch::ListScope::complete, {listed("a", 1), listed("b", 2)}});
  CHECK(fleet.module_entry(1).state == draining);
  CHECK(fleet.set_maintenance(4s, {"a"}).empty());  // already out
  CHECK(fleet.set_maintenance(9s, {}) == std::vector<core::EngineId>{1});
  CHECK(fleet.module_entry(1).state == live);
  CHECK(fleet.module_entry(1).started == 9s);
  CHECK(fleet.module_entry(2).started == 0s);
  fleet.update(10s, {eiderarch::ListScope::changes, {listed("a", 1)}});
  CHECK(fleet.module_entry(1).started == 9s);  // the list's own start time does not replace it
}

TEST_CASE("An instance put into maintenance before it is listed drains from its first entry on") {
  core::Fleet fleet;
  CHECK(fleet.set_maintenance(1s, {"a"}).empty());
  CHECK(fleet.knows("a"));
  CHECK_FALSE(fleet.knows("b"));
  fleet.update(2s, {eiderarch::ListScope::complete, {listed("a", 1)}});
  CHECK(fleet.module_entry(1).state == eiderarch::EngineState::draining);
}
