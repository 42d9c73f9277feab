// Process-level tests with servers that answer slowly but within the protocol's limits.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "platform_fixture.hpp"

using namespace integration;

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// PROTOCOL, "Figures": the client hears of the end of a stream that falls silent within this time.
constexpr auto kMaxSilence = 5s;
// The same: every time limit is this much longer.
constexpr auto kSlack = 50ms;
constexpr auto kSlowGap = 4500ms;  // between two events of a server that still writes

const std::string kEvent = "data: {\"choices\":[]}\n\n", kDone = "data: [DONE]\n\n";

// An instance that answers each request through `reply` and closes the connection afterwards.
ScriptedServer::Script answering(EventLog& seen, std::function<void(TestConnection&)> reply) {
  return [&seen, reply = std::move(reply)](TestConnection& wire) {
    const auto request = wire.receive();
    if (!request) return;
    if (!request->first.starts_with("POST /v1")) return wire.send(plain_response("204 No Content"));
    seen.add("asked");
    reply(wire);
  };
}

}  // namespace

TEST_CASE("Slow: a stream with 4.5 s between two events is passed on whole, listed or not") {
  for (const std::string& state : {std::string("SERVING"), std::string("DRAINING"), std::string("DELETED")}) {
    CAPTURE(state);
    EventLog seen;
    ScriptedServer instance(answering(seen, [&](TestConnection& wire) {
      wire.send(stream_head() + chunk(kEvent));
      std::this_thread::sleep_for(kSlowGap);
      wire.send(chunk(kDone) + "0\r\n\r\n");
    }));
    Platform platform({{"w", "mixto", instance.address()}});
    REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
    const auto client = platform.connect();
    client->send(client_request("t", "ajuste", 2000, 100));
    (void)client->receive_until(kEvent);
    platform.push(Platform::line(2, false, {{"w", "mixto", instance.address()}}, state));
    CHECK(client->receive_all().ends_with(chunk(kDone) + "0\r\n\r\n"));
  }
}

TEST_CASE("Slow: the client of a stream that falls silent hears its end within 5 s of the last event") {
  EventLog seen;
  ScriptedServer instance(answering(seen, [&](TestConnection& wire) {
    wire.send(stream_head() + chunk(kEvent));
    seen.add("last event");
    (void)wire.closed_within(20000);
  }));
  Platform platform({{"w", "mixto", instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("t", "consulta", 2000, 100));
  (void)client->receive_until(kEvent);
  const auto begun = Clock::now();
  CHECK_FALSE(client->receive_all().ends_with("0\r\n\r\n"));
  const auto waited = Clock::now() - begun;
  CHECK(waited > kSlowGap);
  CHECK(waited < kMaxSilence + kSlack);
}

TEST_CASE("Slow: an answer whose head takes 2 s to arrive is waited for while its client waits") {
  for (const char* lane : {"ajuste", "consulta"}) {
    CAPTURE(lane);
    EventLog seen;
    const auto script = answering(seen, [&](TestConnection& wire) {
      const std::string head = stream_head();
      wire.send(head.substr(0, 20));
      std::this_thread::sleep_for(2s);
      wire.send(head.substr(20) + chunk(kEvent) + chunk(kDone) + "0\r\n\r\n");
    });
    ScriptedServer one(script), two(script);
    Platform platform({{"a", "mixto", one.address()}, {"b", "mixto", two.address()}});
    const std::string answer = platform.ask(client_request("t", lane, 7000, 100));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with(kDone + "\r\n0\r\n\r\n"));  // perhaps within a larger chunk
    CHECK(seen.count("asked") <= (lane == std::string("ajuste") ? 1 : 2));
  }
}

TEST_CASE("Slow: an answer whose head does not arrive at all ends at its client's time") {
  EventLog seen;
  ScriptedServer instance(answering(seen, [&](TestConnection& wire) {
    wire.send(stream_head().substr(0, 20));
    if (wire.closed_within(10000)) seen.add("closed");
  }));
  Platform platform({{"w", "mixto", instance.address()}});
  const auto begun = Clock::now();
  CHECK(platform.ask(client_request("t", "ajuste", 2500, 100)).starts_with("HTTP/1.1 502"));
  const auto waited = Clock::now() - begun;
  CHECK(waited >= 2400ms);
  CHECK(waited < 2500ms + kSlack + 150ms);  // a process may be held up for 0.15 s
  CHECK(seen.wait_for("closed"));
}

TEST_CASE(
    "Slow: a prefill whose result has a body that comes slowly is used, and held no longer than allowed") {
  EventLog seen;
  ScriptedServer prefill(answering(seen, [&](TestConnection& wire) {
    wire.send(
        "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n{\"cached");
    (void)wire.closed_within(3000);
  }));
  ScriptedServer decode([&](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      seen.add("decoded");
      wire.send(event_stream({"[DONE]"}));
    }
  });
  Platform platform({{"r", "lectura", prefill.address()}, {"w", "escritura", decode.address()}});
  const auto begun = Clock::now();
  const std::string answer = platform.ask(client_request("t", "ajuste", 5000, 8000));
  // The release time of the settings, with what the protocol adds.
  CHECK(Clock::now() - begun < 300ms + 300ms);
  CHECK(answer.ends_with("0\r\n\r\n"));
  CHECK(seen.count("asked") == 1);
  CHECK(seen.count("decoded") == 1);
}

TEST_CASE(
    "Slow: a large request that its instance reads slowly or not at all is answered in its client's time") {
  constexpr auto kClientTime = 2500ms;
  constexpr int kReceiveBuffer = 4096;
  const std::string body(200 * 1024, 'x');
  for (const std::size_t bytes_at_once : {std::size_t(0), std::size_t(1024)}) {
    CAPTURE(bytes_at_once);
    ScriptedServer instance(
        [&](TestConnection& wire) {
          if (bytes_at_once == 0) (void)wire.closed_within(10000);
          while (bytes_at_once > 0 && !wire.receive_bytes(bytes_at_once).empty())
            std::this_thread::sleep_for(100ms);
        },
        kReceiveBuffer);
    Platform platform({{"w", "mixto", instance.address()}});
    for (const char* lane : {"consulta", "ajuste"}) {
      const auto begun = Clock::now();
      const std::string answer =
          platform.ask(client_request(std::string("t-") + lane, lane, kClientTime.count(), 100, "", body));
      CHECK(answer.starts_with("HTTP/1.1 50"));
      CHECK(Clock::now() - begun < kClientTime + kSlack + 150ms);
    }
  }
}
