// What a fleet member accepts about the state of instances from the member that probes them for the fleet.
#include "duties/fleet_view.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace bankmux::duties;
using namespace std::chrono_literals;

TEST_CASE("A report of the probing member decodes to what was encoded and invalid text decodes to nothing") {
  CHECK(rc::check("encode, decode", [] {
    HealthReport report;
    report.number = *rc::gen::arbitrary<std::uint64_t>();
    const auto names = *rc::gen::container<std::set<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    for (const std::string& name : names) report.running[name] = *rc::gen::arbitrary<bool>();
    const auto back = decode_report(encode(report));
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->number == report.number);
    RC_ASSERT(back->running == report.running);
    const std::string text = encode(report);
    RC_ASSERT(!decode_report(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()))));
  }));
  for (const char* text :
       {"", "[]", "7", R"({"number":1})", R"({"number":-1,"runs":{}})", R"({"number":1,"runs":{"a":1}})"}) {
    CHECK_FALSE(decode_report(text));
  }
}

TEST_CASE("A fresh report replaces own probes and the duty's owner always probes") {
  SharedHealthView view(600ms);
  CHECK(view.must_check(0s, false));  // no report has been received yet
  CHECK(view.update(1s, 5, encode({1, {{"a", true}, {"b", false}}})));
  CHECK_FALSE(view.must_check(1s, false));
  CHECK(view.must_check(1s, true));
  CHECK(view.is_running(1s, "a") == true);
  CHECK(view.is_running(1s, "b") == false);
  CHECK_FALSE(view.is_running(1s, "c"));
  // Reading a report again does not make it newer. An older report or an invalid one changes nothing.
  CHECK_FALSE(view.update(1500ms, 5, encode({1, {{"a", false}}})));
  CHECK_FALSE(view.update(1500ms, 4, encode({9, {{"a", false}}})));
  CHECK_FALSE(view.update(1500ms, 6, "nonsense"));
  CHECK(view.is_running(1500ms, "a") == true);
  CHECK(view.must_check(1600ms, false));
  CHECK_FALSE(view.is_running(1600ms, "a"));
  CHECK(view.update(1700ms, 7, encode({1, {{"a", false}}})));  // from a new owner, whose numbers start anew
  CHECK(view.is_running(1700ms, "a") == false);
}
