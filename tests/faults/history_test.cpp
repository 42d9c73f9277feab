// The fault tests' own instruments: when an attempt arrived, and what the checker finds in a history.
#include "faults/history.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "faults/relay.hpp"
#include "integration/peers.hpp"

using namespace faults;
using Kind = HistoryEvent::Kind;

namespace {

constexpr double kWait = 1.0;  // seconds that the client in the histories below waits

// A request that states `stated` seconds to an instance `after` seconds after it was sent.
std::vector<HistoryEvent> attempt(double after, double stated) {
  return {{10.0, Kind::client_sent, "a", "", "consulta", kWait},
          {10.0 + after, Kind::attempt_received, "a", "decode-0", "decode", stated}};
}

std::size_t count_violations(const std::vector<HistoryEvent>& events) {
  return find_violations(events, RuleLimits{}, 10.0).size();
}

}  // namespace

// Guards against a program that is blamed for the delay of a server that did not get a processor.
TEST_CASE("History: an attempt's arrival is the kernel's, however late its server reads it") {
  constexpr std::chrono::milliseconds kServerDelay{300};
  constexpr double kSlack = 0.15;
  integration::EventLog log;
  std::optional<double> arrival;
  Relay* relay = nullptr;
  integration::ScriptedServer server([&](integration::TestConnection& wire) {
    if (!wire.receive()) return;
    std::this_thread::sleep_for(kServerDelay);
    arrival = relay->last_arrival(wire.peer_port());
    log.add("served");
  });
  Relay in_front(server.address());
  relay = &in_front;
  const auto program = integration::TestConnection::to(in_front.address());
  const double before = seconds_now();
  program->send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(log.wait_for("served"));
  REQUIRE(arrival);
  CHECK(*arrival >= before);
  CHECK(*arrival <= before + kSlack);
  CHECK_FALSE(in_front.last_arrival(0));
}

TEST_CASE("History: an attempt that states more time than its client has left is a violation") {
  const RuleLimits limits;
  const double slack = limits.stated_time_slack + limits.delivery_delay;
  CHECK(count_violations(attempt(0.5, 0.5 + slack - 0.01)) == 0);
  CHECK(count_violations(attempt(0.5, 0.5 + slack + 0.01)) == 1);
  // The sending may be recorded after the attempt has arrived.
  CHECK(count_violations(attempt(-0.01, kWait + slack + 0.1)) == 1);
}

TEST_CASE("History: events are in the order in which they happened, not in which they were recorded") {
  History history;
  history.add(Kind::client_sent, "a", "", "consulta", kWait);
  const double sent = history.events().at(0).at;
  history.add_at(sent + 0.002, Kind::attempt_ended, "a", "decode-0", "served");
  history.add_at(sent + 0.001, Kind::attempt_received, "a", "decode-0", "decode", kWait);
  CHECK(history.forwarded("a"));
  CHECK(history.events().at(1).kind == Kind::attempt_received);
  history.sent_completely("a");
  CHECK(history.events().size() == 3);
  history.add(Kind::client_sent, "b", "", "consulta", kWait);
  history.sent_completely("a");
  CHECK(history.events().back().id == "a");
}
