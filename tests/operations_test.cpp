// Which instances are out, as a file says it, and as the fleet and the module are told.
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

core::Listed listed(const std::string& id, core::EngineId engine,
                    eiderarch::EngineState state = eiderarch::EngineState::live) {
  core::Listed row;
  row.id = id;
  row.entry.engine = engine;
  row.entry.state = state;
  row.address = "127.0.0.1:1";
  return row;
}

struct Folder {
  Folder() { REQUIRE(mkdtemp(path) != nullptr); }
  ~Folder() {
    for (const char* name : {"/f", "/f.lock", "/f.new"}) std::remove((std::string(path) + name).c_str());
    rmdir(path);
  }
  char path[32] = "/tmp/bankmux-out-XXXXXX";
};

}  // namespace

TEST_CASE("What is out reads back as it was written, and nothing spoilt is taken for it") {
  CHECK(rc::check("encode, decode", [] {
    const auto id =
        rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("aZ09-_.:"))));
    const auto ids = *rc::gen::container<operations::Ids>(id);
    for (const std::string& one : ids) RC_PRE(operations::plain_id(one));
    const std::string text = operations::encode(ids);
    RC_ASSERT(operations::decode(text) == ids);
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!operations::decode(text.substr(0, cut)));
  }));
  for (const char* bad : {"", "{}\n", "bankmux maintenance 1\n{}\n", "bankmux maintenance 1\n[1]\n",
                          "bankmux maintenance 1\n[\"a b\"]\n", "bankmux maintenance 2\n[]\n"}) {
    CHECK_FALSE(operations::decode(bad));
  }
}

TEST_CASE("A change of the shared file is whole, seen once by each reader, and refused under a held lock") {
  Folder folder;
  const std::string path = std::string(folder.path) + "/f";
  app::SharedFile one(path), other(path);
  CHECK(one.read() == "");
  CHECK_FALSE(other.changed());
  REQUIRE(one.update([](const std::string& before) { return before + "a"; }));
  REQUIRE(other.update([](const std::string& before) { return before + "b"; }));
  CHECK(one.read() == "ab");
  CHECK(one.changed());
  CHECK_FALSE(one.changed());
  CHECK_FALSE(one.update([](const std::string&) { return std::nullopt; }));
  CHECK(one.read() == "ab");
  CHECK(one.update([&](const std::string& before) {
    CHECK_FALSE(other.update([](const std::string&) { return std::string("lost"); }));  // held by one
    return before;
  }));
  CHECK(one.read() == "ab");
}

TEST_CASE("An instance that is out drains whatever the list says, and comes back as just started") {
  core::Fleet fleet;
  const auto live = eiderarch::EngineState::live;
  const auto draining = eiderarch::EngineState::draining;
  fleet.update(1s, {eiderarch::ListScope::complete, {listed("a", 1), listed("b", 2)}});
  CHECK(fleet.set_out(2s, {"a"}) == std::vector<core::EngineId>{1});
  CHECK(fleet.told(1).state == draining);
  fleet.update(3s, {eiderarch::ListScope::complete, {listed("a", 1), listed("b", 2)}});
  CHECK(fleet.told(1).state == draining);
  CHECK(fleet.set_out(4s, {"a"}).empty());  // out twice
  CHECK(fleet.set_out(9s, {}) == std::vector<core::EngineId>{1});
  CHECK(fleet.told(1).state == live);
  CHECK(fleet.told(1).started == 9s);
  CHECK(fleet.told(2).started == 0s);
  fleet.update(10s, {eiderarch::ListScope::changes, {listed("a", 1)}});
  CHECK(fleet.told(1).started == 9s);  // the list still knows nothing of its restart
}

TEST_CASE("An id that is out before the list names it is out from its first entry on") {
  core::Fleet fleet;
  CHECK(fleet.set_out(1s, {"a"}).empty());
  CHECK(fleet.knows("a"));
  CHECK_FALSE(fleet.knows("b"));
  fleet.update(2s, {eiderarch::ListScope::complete, {listed("a", 1)}});
  CHECK(fleet.told(1).state == eiderarch::EngineState::draining);
}
