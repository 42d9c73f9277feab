// Behaviour of a delayed event loop. After a delay, expired timers run before input that arrived in time,
// because the loop handles a few dozen connections per iteration. Neither this nor two timers that expire in
// one iteration can be forced from outside the process, so these tests run the loop themselves and delay it.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "net/http/http_server.hpp"
#include "net/http/payload.hpp"
#include "net/instances/instance_client.hpp"
#include "net/instances/instance_pool.hpp"
#include "net/loop/loop.hpp"
#include "platform_fixture.hpp"

using namespace bankmux;
using namespace integration;
using namespace std::chrono_literals;

namespace {

constexpr core::ConnectionTerms kAnyConnection{true};

std::string get_head() { return "GET / HTTP/1.1\r\nHost: instance\r\n\r\n"; }

struct EndRecorder : net::Exchange::Events {
  explicit EndRecorder(net::Loop& loop) : loop(loop) {}
  bool may_write() override { return true; }
  void on_written() override {}
  void on_body(std::string) override {}
  void on_end(net::ExchangeEnd end) override {
    complete = end == net::ExchangeEnd::complete;
    loop.stop();
  }
  net::Loop& loop;
  std::optional<bool> complete;
};

constexpr core::Duration kLinger = 100ms;

// How long a server that is shutting down keeps the connection of a client that sends `text` and does not
// close: of ten clients, the longest time but for two, which other processes may have delayed.
core::Duration usual_linger_time(const std::string& text) {
  constexpr int kClients = 10, kDelayedByOtherProcesses = 2;
  net::Loop loop;
  const std::string address = unique_address();
  core::Time answered{0};
  net::HttpServer server(
      loop, address,
      [&](std::unique_ptr<net::IncomingRequest> incoming) {
        incoming->answer(200, {}, "ok");
        answered = loop.now();
      },
      net::ServerLimits{});
  server.close_after_responses();
  std::vector<core::Duration> times;
  for (int i = 0; i < kClients; ++i) {
    const auto client = TestConnection::to(address);
    client->send(text);
    const core::Time until = loop.now() + 5s;
    answered = core::Time{0};
    while ((answered == core::Time{0} || server.connections() > 0) && loop.now() < until) {
      const auto turn = loop.at(loop.now() + 1ms, [&] { loop.stop(); });
      loop.run();
    }
    times.push_back(loop.now() - answered);
  }
  std::ranges::sort(times);
  return times[kClients - 1 - kDelayedByOtherProcesses];
}

}  // namespace

TEST_CASE(
    "Pool: a request is served even if the idle timeout of its connection expires in the same iteration") {
  EventLog seen;
  ScriptedServer instance([&seen](TestConnection& wire) {
    seen.add("connection");
    while (const auto request = wire.receive()) {
      seen.add(request->first);
      wire.send(plain_response("200 OK", "ok"));
    }
  });
  constexpr core::Duration kIdle = 100ms;
  net::Loop loop;
  net::InstancePool pool(loop, {.idle_timeout = kIdle});
  const auto get = [&](EndRecorder& ending) {
    return std::make_unique<net::Exchange>(pool, instance.address(), get_head, nullptr, kAnyConnection,
                                           ending);
  };

  EndRecorder first(loop), second(loop);
  std::unique_ptr<net::Exchange> exchange = get(first);
  loop.run();
  REQUIRE(first.complete == true);
  exchange.reset();
  REQUIRE(pool.open() == 1);

  // Delays the loop until the second request and the idle timeout are both due; they then run in order.
  const core::Time kept = loop.now();
  const auto asked = loop.at(kept + kIdle / 2, [&] { exchange = get(second); });
  const auto delay = loop.at(kept + kIdle / 4, [&] { std::this_thread::sleep_for(kIdle * 2); });
  const auto test_limit = loop.at(kept + 5s, [&] { loop.stop(); });
  loop.run();
  CHECK(second.complete == true);
  CHECK(exchange->response().status() == 200);
  CHECK(seen.all() == std::vector<std::string>{"connection", "GET / HTTP/1.1", "GET / HTTP/1.1"});
}

// Guards against an attempt that is written long after its head has stated the client's remaining time.
TEST_CASE("Pool: a request on a kept connection is written as its head is made, not an iteration later") {
  const auto body = std::make_shared<const std::string>(1000, 'x');
  EventLog received;
  ScriptedServer instance([&received](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      received.add(request->body.empty() ? "without a body" : "with a body");
      wire.send(plain_response("200 OK", "ok"));
    }
  });
  struct CountingEvents : net::Exchange::Events {
    explicit CountingEvents(net::Loop& loop) : loop(loop) {}
    bool may_write() override { return true; }
    void on_written() override {}
    void on_body(std::string) override {}
    void on_end(net::ExchangeEnd) override {
      if (++ended == 2) loop.stop();
    }
    net::Loop& loop;
    int ended = 0;
  };
  net::Loop loop;
  net::InstancePool pool(loop, {});
  const auto test_limit = loop.at(loop.now() + 5s, [&] { loop.stop(); });
  CountingEvents filled(loop), events(loop);
  {
    const net::Exchange one(pool, instance.address(), get_head, nullptr, kAnyConnection, filled),
        two(pool, instance.address(), get_head, nullptr, kAnyConnection, filled);
    loop.run();
  }
  REQUIRE(pool.open() == 2);
  std::optional<bool> first_received;
  int heads = 0;
  // Both requests begin in one iteration. The second head holds it up until the first request is received.
  const auto head = [&] {
    if (++heads == 2) first_received = received.wait_for("with a body");
    return "POST / HTTP/1.1\r\nHost: instance\r\nContent-Length: " + std::to_string(body->size()) +
           "\r\n\r\n";
  };
  const net::Exchange one(pool, instance.address(), head, body, kAnyConnection, events),
      two(pool, instance.address(), head, body, kAnyConnection, events);
  loop.run();
  CHECK(pool.open() == 2);
  CHECK(first_received == true);
  CHECK(events.ended == 2);
}

TEST_CASE("Pool: connections established while the loop is delayed beyond the connect timeout are used") {
  ScriptedServer instance([](TestConnection& wire) {
    while (wire.receive()) wire.send(plain_response("200 OK", "ok"));
  });
  constexpr core::Duration kConnect = 50ms;
  constexpr int kRequests = 60;  // more than the loop reports per iteration, fewer than a listener's backlog
  struct CountingEvents : net::Exchange::Events {
    bool may_write() override { return true; }
    void on_written() override {}
    void on_body(std::string) override {}
    void on_end(net::ExchangeEnd end) override {
      ++ended;
      complete += end == net::ExchangeEnd::complete ? 1 : 0;
    }
    int ended = 0, complete = 0;
  } served;
  net::Loop loop;
  net::InstancePool pool(loop, {.connect_timeout = kConnect});
  std::vector<std::unique_ptr<net::Exchange>> exchanges;
  const auto asked = loop.at(loop.now(), [&] {
    for (int i = 0; i < kRequests; ++i) {
      exchanges.push_back(std::make_unique<net::Exchange>(pool, instance.address(), get_head, nullptr,
                                                          kAnyConnection, served));
    }
    std::this_thread::sleep_for(kConnect * 2);
  });
  const core::Time until = loop.now() + 5s;
  while (served.ended < kRequests && loop.now() < until) {
    const auto turn = loop.at(loop.now() + 5ms, [&] { loop.stop(); });
    loop.run();
  }
  CHECK(served.ended == kRequests);
  CHECK(served.complete == kRequests);
}

TEST_CASE("Server: requests that arrive while the loop is delayed beyond the request timeout are answered") {
  constexpr auto kRequestTime = 2500ms;
  constexpr int kClients = 200;
  net::Loop loop;
  const std::string address = unique_address();
  net::HttpServer server(
      loop, address, [](std::unique_ptr<net::IncomingRequest> incoming) { incoming->answer(200, {}, "ok"); },
      net::ServerLimits{});
  std::vector<std::unique_ptr<TestConnection>> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(TestConnection::to(address));
  const auto delay = loop.at(loop.now() + 50ms, [&] {
    std::this_thread::sleep_for(kRequestTime);
    for (const auto& client : clients) client->send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  });
  const auto over = loop.at(loop.now() + 50ms + kRequestTime + 300ms, [&] { loop.stop(); });
  loop.run();
  int answered = 0;
  for (const auto& client : clients) answered += client->receive_all().starts_with("HTTP/1.1 200") ? 1 : 0;
  CHECK(answered == kClients);
}

// The header used to be written before the connect, so an instance that was reached late was given time that
// had already passed.
TEST_CASE(
    "Attempt: the remaining time sent to an instance is that at the first byte, not before the connect") {
  constexpr core::Duration kTimeLeft = 2s, kDelay = 400ms;
  EventLog received;
  ScriptedServer instance([&received](TestConnection& wire) {
    const auto request = wire.receive();
    if (!request) return;
    received.add(request->headers.at("x-remaining-ms"));
    wire.send(event_stream({"[DONE]"}));
  });
  struct CountingEvents : core::AttemptEvents {
    explicit CountingEvents(net::Loop& l) : loop(l) {}
    void on_written() override {}
    void on_data(std::string) override {}
    void on_ended(core::AttemptResult result) override {
      verdict = result.verdict;
      loop.stop();
    }
    net::Loop& loop;
    core::Verdict verdict = core::Verdict::broken;
  };
  net::Loop loop;
  CountingEvents served(loop);
  net::InstanceClient client(loop, {.connect_timeout = 2s}, net::Dialect::platform);
  auto payload = std::make_shared<core::Payload>();
  payload->id = "a";
  payload->method = "POST";
  payload->target = "/v1/chat/completions";
  std::unique_ptr<core::Attempt> attempt;
  const auto asked = loop.at(loop.now(), [&] {
    attempt = client.start(
        {1, "w", instance.address()}, payload, loop.now() + kTimeLeft, kAnyConnection, [] { return true; },
        served);
    std::this_thread::sleep_for(kDelay);  // the connect is reported only after this
  });
  loop.run();
  CHECK(served.verdict == core::Verdict::served);
  REQUIRE(received.all().size() == 1);
  const core::Duration remaining = std::chrono::milliseconds(std::stoi(received.all().front()));
  CHECK(remaining <= kTimeLeft - kDelay);
  CHECK(remaining >= 500ms);
}

namespace {

enum class Callback { written, data, ended };

// Destroys its attempt within one of its callbacks, and counts those that follow.
struct DestroyingEvents : core::AttemptEvents {
  DestroyingEvents(net::Loop& loop, Callback when) : loop(loop), when(when) {}
  void on_written() override { called(Callback::written); }
  void on_data(std::string) override { called(Callback::data); }
  void on_ended(core::AttemptResult result) override {
    last_data = std::move(result.last_data);
    called(Callback::ended);
  }
  void called(Callback callback) {
    if (destroyed) ++calls_after;
    if (callback != when || destroyed) return;
    destroyed = true;
    attempt.reset();
    stop = loop.at(loop.now() + 50ms, [this] { loop.stop(); });
  }
  net::Loop& loop;
  Callback when;
  std::unique_ptr<core::Attempt> attempt;
  std::unique_ptr<core::Timer> stop;
  std::string last_data;
  bool destroyed = false;
  int calls_after = 0;
};

}  // namespace

// Guards against a use after free: the end of an answer used to be passed on in two calls, of which the first
// could destroy the attempt. The sanitizers find it.
TEST_CASE("Attempt: it may be destroyed within each of its callbacks, whatever the instance answers") {
  const std::string finished =
      "data: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n";
  struct Answer {
    net::Dialect dialect;
    bool streamed;
    std::string bytes, last_data;
  };
  const Answer answers[] = {
      {net::Dialect::openai, true, stream_head() + chunk(finished) + "0\r\n\r\n", "data: [DONE]\n\n"},
      {net::Dialect::openai, true, event_stream({finished + "data: [DONE]\n\n"}), ""},
      {net::Dialect::openai, false, plain_response("200 OK", "{}", "Content-Type: application/json\r\n"),
       "{}"},
      {net::Dialect::platform, true, event_stream({finished, "data: [DONE]\n\n"}), ""},
      {net::Dialect::platform, true, plain_response("503 Service Unavailable", "", "X-Turned-Away: 1\r\n"),
       ""}};
  for (const Answer& answer : answers) {
    for (const Callback when : {Callback::written, Callback::data, Callback::ended}) {
      CAPTURE(answer.bytes, int(when));
      ScriptedServer instance([&answer](TestConnection& wire) {
        if (wire.receive()) wire.send(answer.bytes);
        (void)wire.closed_within(1000);
      });
      net::Loop loop;
      DestroyingEvents events(loop, when);
      net::InstanceClient client(loop, {.connect_timeout = 2s}, answer.dialect);
      auto payload = std::make_shared<core::Payload>();
      payload->id = "a";
      payload->method = "POST";
      payload->target = "/v1/chat/completions";
      payload->streamed = answer.streamed;
      events.attempt = client.start(
          {1, "w", instance.address()}, payload, loop.now() + 5s, kAnyConnection, [] { return true; },
          events);
      const auto limit = loop.at(loop.now() + 2s, [&] { loop.stop(); });
      loop.run();
      const bool has_data = answer.bytes.find("text/event-stream") != std::string::npos;
      CHECK(events.destroyed == (when != Callback::data || has_data));
      CHECK(events.calls_after == 0);
      if (when == Callback::ended) CHECK(events.last_data == answer.last_data);
    }
  }
}

// Guards against a process that ends too late after SIGTERM: the linger time used to end only with the next
// sweep.
TEST_CASE("Server: in a shutdown, a client that does not close is waited for during the linger time alone") {
  // The byte after the request is input that a close would answer with a reset.
  CHECK(usual_linger_time("GET / HTTP/1.1\r\n\r\nx") < kLinger + kLinger / 2);
}

// Guards against a process that waits for clients that have received all that it sent.
TEST_CASE("Server: in a shutdown, a client that has received everything is not waited for") {
  CHECK(usual_linger_time("GET / HTTP/1.1\r\n\r\n") < kLinger / 2);
}

TEST_CASE("Server: a client's close is detected through the kernel before the loop has reported it") {
  net::Loop loop;
  const std::string address = unique_address();
  std::unique_ptr<net::IncomingRequest> request;
  net::HttpServer server(
      loop, address,
      [&](std::unique_ptr<net::IncomingRequest> incoming) {
        request = std::move(incoming);
        loop.stop();
      },
      net::ServerLimits{});
  auto client = TestConnection::to(address);
  client->send("GET / HTTP/1.1\r\n\r\n");
  loop.run();
  REQUIRE(request != nullptr);
  CHECK_FALSE(request->client_closed());
  client->send("GET /next HTTP/1.1\r\n\r\n");  // the client's close follows input that nobody has read
  CHECK_FALSE(request->client_closed());
  client.reset();
  CHECK(request->client_closed());
}
