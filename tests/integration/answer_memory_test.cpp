// The memory that instances can make InstanceClient hold, measured at the heap while many of them answer at
// once.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "heap.hpp"
#include "net/instances/instance_client.hpp"
#include "net/loop/loop.hpp"
#include "peers.hpp"
#include "platform_fixture.hpp"

using namespace bankmux;
using namespace integration;
using namespace std::chrono_literals;

namespace {

constexpr int kAttempts = 64;
constexpr std::size_t kHeldLimit = 512 * 1024;
// Buffers and objects of one attempt, without what its instance has sent, and the 16 KiB that are read at
// once.
constexpr std::size_t kAttemptBytes = 24 * 1024;
// A growing string takes up to twice its content.
constexpr std::size_t kHeapLimit = 2 * kHeldLimit + kAttempts * kAttemptBytes;
constexpr core::Duration kTimeout = 10s;

// Records how an attempt ends.
struct Events : core::AttemptEvents {
  std::optional<core::Verdict> verdict;
  std::string data;
  int ends = 0;
  void on_written() override {}
  void on_data(std::string bytes) override { data += bytes; }
  void on_ended(core::AttemptResult result) override {
    verdict = result.verdict;
    ++ends;
  }
};

// An instance that answers requests for `/usual` as they expect, and all others with `answer`, after which it
// keeps the connection open.
struct BadInstance {
  const std::string answer, usual_answer;
  EventLog log;
  ScriptedServer server{[this](TestConnection& wire) {
    const auto request = wire.receive();
    if (!request) return;
    const bool usual = request->first.find("/usual") != std::string::npos;
    wire.send(usual ? usual_answer : answer);
    log.add("answered");
    while (wire.receive()) {
    }
  }};
};

struct CrowdedClient {
  net::Loop loop;
  net::InstanceClient client;
  core::Target target;
  bool streamed;
  std::vector<std::unique_ptr<Events>> events;
  std::vector<std::unique_ptr<core::Attempt>> attempts;
  std::size_t peak = 0;  // bytes of the heap beyond those before the first answer

  CrowdedClient(const BadInstance& instance, net::Dialect dialect, bool streamed_answers)
      : client(loop, {.connect_timeout = 5s, .held_bytes = kHeldLimit}, dialect), streamed(streamed_answers) {
    target.address = instance.server.address();
  }
  Events& start(const std::string& path) {
    auto payload = std::make_shared<core::Payload>();
    payload->method = "POST";
    payload->target = path;
    payload->id = "request-" + std::to_string(events.size());
    payload->streamed = streamed;
    events.push_back(std::make_unique<Events>());
    attempts.push_back(client.start(
        target, payload, loop.now() + 60s, {}, [] { return true; }, *events.back()));
    return *events.back();
  }
  void start_all() {
    const std::size_t before = heap_bytes();
    for (int i = 0; i < kAttempts; ++i) (void)start("/bad");
    run_until([this, before] {
      peak = std::max(peak, heap_bytes() - std::min(before, heap_bytes()));
      return std::ranges::count_if(events, [](const auto& e) { return e->verdict.has_value(); }) >=
             kAttempts / 2;
    });
  }
  // Runs the loop until `done` or, at most, for the timeout.
  bool run_until(const std::function<bool()>& done) {
    const core::Time end = loop.now() + kTimeout;
    while (!done() && loop.now() < end) {
      loop.soon([this] { loop.stop(); });
      loop.run();
    }
    return done();
  }
};

const std::string kEndlessBody = std::string(900 * 1024, 'x');

void check_bounded(const std::string& answer, const std::string& usual_answer, net::Dialect dialect,
                   bool streamed, core::Verdict usual_verdict) {
  const BadInstance instance{answer, usual_answer, {}};
  CrowdedClient crowd(instance, dialect, streamed);
  crowd.start_all();
  CHECK(crowd.peak < kHeapLimit);
  Events& usual = crowd.start("/usual");
  REQUIRE(crowd.run_until([&usual] { return usual.verdict.has_value(); }));
  CHECK(*usual.verdict == usual_verdict);
  for (const auto& events : crowd.events) {
    if (events.get() != &usual && events->verdict) CHECK(*events->verdict == core::Verdict::broken);
  }
}

}  // namespace

// Guards against conductors killed for memory by instances whose answers do not end.
TEST_CASE("Memory: answers whose body does not end are given up above the limit, and others are served") {
  check_bounded("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 1000000\r\n\r\n" +
                    kEndlessBody,
                plain_response("202 Accepted", "{\"cached_tokens\":0}"), net::Dialect::platform, true,
                core::Verdict::state_held);
}

// Guards against events that grow beyond the memory, although each of them is within its own limit.
TEST_CASE("Memory: streams whose event does not end are given up above the limit, and others are served") {
  check_bounded("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + kEndlessBody,
                event_stream({"{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},"
                              "\"finish_reason\":\"stop\"}]}",
                              "[DONE]"}),
                net::Dialect::openai, true, core::Verdict::served);
}

// Guards against answers that are not streamed, which may be long, and of which there may be many.
TEST_CASE("Memory: answers that are not streamed share the limit, and small ones are served") {
  check_bounded(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000000\r\n\r\n" + kEndlessBody,
      plain_response("200 OK", "{\"choices\":[],\"usage\":{}}"), net::Dialect::openai, false,
      core::Verdict::served);
}

// Guards against an attempt that ends a second time, as broken, because its complete answer still counts
// while the core has not destroyed it yet.
TEST_CASE("Memory: complete answers no longer count, and each attempt ends once") {
  constexpr std::size_t kAnswerBytes = 100 * 1024;
  const BadInstance instance{
      "",
      plain_response("200 OK", "{\"usage\":{},\"a\":\"" + std::string(kAnswerBytes, 'x') + "\"}",
                     "Connection: close\r\n"),
      {}};
  CrowdedClient crowd(instance, net::Dialect::openai, false);
  for (int i = 0; i < kAttempts; ++i) {
    Events& events = crowd.start("/usual");
    REQUIRE(crowd.run_until([&events] { return events.verdict.has_value(); }));
  }
  for (const auto& events : crowd.events) {
    CHECK(*events->verdict == core::Verdict::served);
    CHECK(events->ends == 1);
  }
}
