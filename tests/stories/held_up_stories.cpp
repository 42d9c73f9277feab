// What a loop does that was held up: it hears of limits before it hears of the bytes that came within them,
// for it is told of a few dozen connections in a turn. Two timers that strike in one turn, and this, cannot
// be forced from outside a process, so the stories run the loop themselves and hold it up.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "net/http/http_server.hpp"
#include "net/instances/instance_pool.hpp"
#include "net/loop/loop.hpp"
#include "platform_world.hpp"

using namespace bankmux;
using namespace stories;
using namespace std::chrono_literals;

namespace {

constexpr core::ConnectionTerms kAnyConnection{true, true};

struct Ending : net::Exchange::Events {
  explicit Ending(net::Loop& loop) : loop(loop) {}
  bool may_write() override { return true; }
  void on_written() override {}
  void on_body(std::string) override {}
  void on_end(bool now_whole) override {
    whole = now_whole;
    loop.stop();
  }
  net::Loop& loop;
  std::optional<bool> whole;
};

}  // namespace

TEST_CASE(
    "Pool: a kept connection's rest ends in the turn of the loop that takes it: the request is served") {
  Record seen;
  Peer instance([&seen](Wire& wire) {
    seen.add("connection");
    while (const auto request = wire.receive()) {
      seen.add(request->first);
      wire.send(simple("200 OK", "ok"));
    }
  });
  constexpr core::Duration kIdle = 100ms;
  net::Loop loop;
  net::InstancePool pool(loop, {.idle = kIdle});
  const auto get = [&](Ending& ending) {
    return std::make_unique<net::Exchange>(pool, instance.address(),
                                           "GET / HTTP/1.1\r\nHost: instance\r\n\r\n", nullptr,
                                           kAnyConnection, ending);
  };

  Ending first(loop), second(loop);
  std::unique_ptr<net::Exchange> exchange = get(first);
  loop.run();
  REQUIRE(first.whole == true);
  exchange.reset();
  REQUIRE(pool.open() == 1);

  // The loop is held up until both the next request's time and the rest's end are past; they strike in order.
  const core::Time kept = loop.now();
  const auto asked = loop.at(kept + kIdle / 2, [&] { exchange = get(second); });
  const auto held_up = loop.at(kept + kIdle / 4, [&] { std::this_thread::sleep_for(kIdle * 2); });
  const auto hangs = loop.at(kept + 5s, [&] { loop.stop(); });
  loop.run();
  CHECK(second.whole == true);
  CHECK(exchange->response().status() == 200);
  CHECK(seen.all() == std::vector<std::string>{"connection", "GET / HTTP/1.1", "GET / HTTP/1.1"});
}

TEST_CASE("Pool: dials that come up while the loop is held up past their limit are used") {
  Peer instance([](Wire& wire) {
    while (wire.receive()) wire.send(simple("200 OK", "ok"));
  });
  constexpr core::Duration kConnect = 50ms;
  constexpr int kRequests = 60;  // more than the loop is told of in one turn, fewer than a listener's queue
  struct Served : net::Exchange::Events {
    bool may_write() override { return true; }
    void on_written() override {}
    void on_body(std::string) override {}
    void on_end(bool now_whole) override {
      ++ended;
      whole += now_whole ? 1 : 0;
    }
    int ended = 0, whole = 0;
  } served;
  net::Loop loop;
  net::InstancePool pool(loop, {.connect = kConnect});
  std::vector<std::unique_ptr<net::Exchange>> exchanges;
  const auto asked = loop.at(loop.now(), [&] {
    for (int i = 0; i < kRequests; ++i) {
      exchanges.push_back(std::make_unique<net::Exchange>(pool, instance.address(),
                                                          "GET / HTTP/1.1\r\nHost: instance\r\n\r\n", nullptr,
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
  CHECK(served.whole == kRequests);
}

TEST_CASE("Server: requests that come while the loop is held up past their time are answered") {
  constexpr auto kRequestTime = 2500ms;
  constexpr int kClients = 200;
  net::Loop loop;
  const std::string address = own_address();
  net::HttpServer server(
      loop, address, [](std::unique_ptr<net::Incoming> incoming) { incoming->answer(200, {}, "ok"); },
      net::ServerLimits{});
  std::vector<std::unique_ptr<Wire>> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(Wire::to(address));
  const auto held_up = loop.at(loop.now() + 50ms, [&] {
    std::this_thread::sleep_for(kRequestTime);
    for (const auto& client : clients) client->send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  });
  const auto over = loop.at(loop.now() + 50ms + kRequestTime + 300ms, [&] { loop.stop(); });
  loop.run();
  int answered = 0;
  for (const auto& client : clients) answered += client->receive_all().starts_with("HTTP/1.1 200") ? 1 : 0;
  CHECK(answered == kClients);
}
