// How long requests have waited unread, and how soon they are read while other clients fill the connections.
#include <dlfcn.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "net/http/http_server.hpp"
#include "net/http/input_times.hpp"
#include "net/loop/loop.hpp"
#include "platform_fixture.hpp"

using namespace bankmux;
using namespace integration;
using namespace std::chrono_literals;

namespace {

const std::string kRequest = "GET / HTTP/1.1\r\n\r\n";
const std::string kHalfRequest = "GET / HTTP/1.1\r\nX-A: ";
// STANDING: the slack of the time that an attempt tells its instance.
constexpr core::Duration kSlack = 150ms;

constexpr int kNoInjection = -1;

// What the kernel says of the time since the last input of any connection, instead of the truth.
std::atomic<int>& injected_age_ms() {
  static std::atomic<int> age{kNoInjection};
  return age;
}

// A server that answers each request and records how long it had waited.
struct AgeServer {
  explicit AgeServer(std::size_t connections)
      : server(loop, address,
               [this](std::unique_ptr<net::IncomingRequest> incoming) {
                 waited.push_back(incoming->waited());
                 incoming->answer(200, {}, "ok");
               },
               {.connections = connections}) {}

  std::unique_ptr<TestConnection> send(const std::string& text) const {
    auto client = TestConnection::to(address);
    client->send(text);
    return client;
  }
  // Runs the loop until so many requests have been answered; false after `limit`.
  bool run_until_answered(std::size_t count, core::Duration limit = 5s) {
    const core::Time until = loop.now() + limit;
    while (waited.size() < count && loop.now() < until) run_for(5ms);
    return waited.size() >= count;
  }
  void run_for(core::Duration time) {
    const auto over = loop.at(loop.now() + time, [this] { loop.stop(); });
    loop.run();
  }

  net::Loop loop;
  std::string address = unique_address();
  std::vector<core::Duration> waited;
  net::HttpServer server;
};

// A server whose answers the test gives, and one client whose first request is open.
struct HeldAnswers {
  HeldAnswers() {
    run_for(300ms);  // from then on, the server knows that nothing waits from before its start
    client->send(kRequest);
    REQUIRE(run_until_open(1));
  }
  void run_for(core::Duration time) {
    const auto over = loop.at(loop.now() + time, [this] { loop.stop(); });
    loop.run();
  }
  // Runs the loop until so many requests have been read.
  bool run_until_open(std::size_t count) {
    const core::Time limit = loop.now() + 5s;
    while (requests.size() < count && loop.now() < limit) run_for(5ms);
    return requests.size() >= count;
  }
  void answer_next() { requests[answered++]->answer(200, {}, "ok"); }

  net::Loop loop;
  std::string address = unique_address();
  std::vector<std::unique_ptr<net::IncomingRequest>> requests;
  std::vector<core::Duration> waited;  // of each request
  std::size_t answered = 0;
  net::HttpServer server{loop, address,
                         [this](std::unique_ptr<net::IncomingRequest> incoming) {
                           waited.push_back(incoming->waited());
                           requests.push_back(std::move(incoming));
                         },
                         net::ServerLimits{}};
  std::unique_ptr<TestConnection> client = TestConnection::to(address);
};

// The program with one instance, which records the id and the remaining time of each request.
struct HeldUpPlatform {
  EventLog ids;
  std::atomic<int> told_ms{0};
  ScriptedServer instance{[this](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      told_ms = std::stoi(request->headers.at("x-remaining-ms"));
      ids.add(request->headers.at("x-txn"));
      wire.send(event_stream({"[DONE]"}));
    }
  }};
  Platform platform{{{"w", "mixto", instance.address()}}};

  // The answer to a request that the program, stopped for `time`, reads only then.
  std::string ask_held_up(const std::string& id, int remaining_ms, std::chrono::milliseconds time) {
    const auto client = platform.connect();
    platform.program().send_signal(SIGSTOP);
    client->send(client_request(id, "ajuste", remaining_ms, 100));
    std::this_thread::sleep_for(time);
    platform.program().send_signal(SIGCONT);
    return client->receive_all();
  }
};

}  // namespace

extern "C" int getsockopt(int socket, int level, int option, void* value, socklen_t* size) noexcept {
  using GetOption = int (*)(int, int, int, void*, socklen_t*);
  static const auto kReal = reinterpret_cast<GetOption>(dlsym(RTLD_NEXT, "getsockopt"));
  const int result = kReal(socket, level, option, value, size);
  const bool injected = level == IPPROTO_TCP && option == TCP_INFO && injected_age_ms() != kNoInjection;
  if (result == 0 && injected)
    static_cast<tcp_info*>(value)->tcpi_last_data_recv = std::uint32_t(injected_age_ms());
  return result;
}

// Guards against requests whose time begins anew when they are read.
TEST_CASE("Request age: an attempt is told what is left from the last byte of a request that waited unread") {
  HeldUpPlatform test;
  for (const auto time : {150ms, 1000ms, 2000ms}) {
    const std::string id = std::to_string(time.count());
    CAPTURE(id);
    CHECK(test.ask_held_up(id, 5000, time).starts_with("HTTP/1.1 200"));
    CHECK(test.told_ms <= (5000ms - time + kSlack) / 1ms);
  }
}

// Guards against an ajuste that runs for a client whose time was up before its request was read.
TEST_CASE("Request age: a request whose time was up before it was read is refused and sent to no instance") {
  HeldUpPlatform test;
  CHECK(test.ask_held_up("late", 300, 600ms).starts_with("HTTP/1.1 503"));
  CHECK(test.platform.ask(client_request("next", "ajuste", 5000, 100)).starts_with("HTTP/1.1 200"));
  CHECK(test.ids.all() == std::vector<std::string>{"next"});
}

TEST_CASE("Request age: a request that is read late after a hold-up of the loop has its age") {
  AgeServer test(100);
  constexpr std::size_t kClients = 60;  // more than the loop reports in one turn
  std::vector<std::unique_ptr<TestConnection>> clients;
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(test.send(kRequest));
  REQUIRE(test.run_until_answered(kClients));
  for (const auto& client : clients) client->send(kRequest);
  std::this_thread::sleep_for(400ms);
  REQUIRE(test.run_until_answered(2 * kClients));
  for (std::size_t i = kClients; i < 2 * kClients; ++i) CHECK(test.waited[i] >= 300ms);
}

// Guards against a request whose time begins anew as the one before it on its connection ends.
TEST_CASE("Request age: a request that waited behind another one on its connection has its age") {
  HeldAnswers test;
  test.client->send(kRequest);
  test.run_for(800ms);
  test.answer_next();
  REQUIRE(test.run_until_open(2));
  CHECK(test.waited[1] >= 800ms - kSlack);
}

// Guards against a request that counts as young as the input after it.
TEST_CASE("Request age: a request that waited behind another one is not younger for what was sent after it") {
  HeldAnswers test;
  test.client->send(kRequest);
  test.run_for(500ms);
  test.client->send(kHalfRequest);
  test.run_for(300ms);
  test.answer_next();
  REQUIRE(test.run_until_open(2));
  CHECK(test.waited[1] >= 800ms - kSlack);

  // The third request's last byte comes now, and another half request after it.
  test.client->send("x\r\n\r\n");
  test.run_for(200ms);
  test.client->send(kHalfRequest);
  test.run_for(200ms);
  test.answer_next();
  REQUIRE(test.run_until_open(3));
  CHECK(test.waited[2] >= 400ms - kSlack);
  CHECK(test.waited[2] <= 400ms + kSlack);
}

TEST_CASE("Request age: requests that came at once on one connection have one age") {
  HeldAnswers test;
  test.client->send(kRequest + kRequest);
  test.run_for(400ms);
  test.answer_next();
  REQUIRE(test.run_until_open(2));
  test.run_for(400ms);
  test.answer_next();
  REQUIRE(test.run_until_open(3));
  CHECK(test.waited[1] >= 400ms - kSlack);
  CHECK(test.waited[2] >= 800ms - kSlack);
}

TEST_CASE("Request age: of the input that waits, the time of each read is kept, up to a limit") {
  net::InputTimes times;
  CHECK(times.consume(10) == std::nullopt);
  times.add(100, core::Time{1'000'000});
  times.add(150, core::Time{1'010'000});  // so soon after the first that it counts as one with it
  times.add(200, core::Time{2'000'000});
  CHECK(times.consume(150) == core::Time{1'000'000});
  CHECK(times.consume(20) == core::Time{2'000'000});
  times.add(60, core::Time{3'000'000});
  CHECK(times.consume(40) == core::Time{3'000'000});
  CHECK(times.consume(30) == std::nullopt);  // more than was added
  for (int i = 1; i <= 1000; ++i) times.add(std::size_t(i), core::Time{i * 1'000'000});
  CHECK(times.consume(1000) == core::Time{64'000'000});
  CHECK(times.consume(1) == std::nullopt);
}

// Guards against a figure of the kernel's clock for input that cannot have been left unread for so long.
TEST_CASE("Request age: it is at most the time for which the process may have left input unread") {
  AgeServer test(100);
  const auto client = test.send(kRequest);
  REQUIRE(test.run_until_answered(1));
  test.run_for(1s);
  injected_age_ms() = 5000;
  client->send(kRequest);
  const bool answered = test.run_until_answered(2);
  injected_age_ms() = kNoInjection;
  REQUIRE(answered);
  CHECK(test.waited[1] < 1s);
}

// Guards against a late request that is served during a shutdown, because the kernel's clock has moved on by
// a tick since it came.
TEST_CASE("Request age: during a shutdown, a tick of the kernel's clock does not make a request older") {
  constexpr int kLongestTickMs = 10;
  AgeServer test(100);
  test.server.close_after_responses();
  injected_age_ms() = kLongestTickMs;
  const auto new_client = test.send(kRequest);
  const bool new_one_answered = test.run_until_answered(1);
  injected_age_ms() = 1000;
  const auto old_client = test.send(kRequest);
  const bool old_one_answered = test.run_until_answered(2);
  injected_age_ms() = kNoInjection;
  REQUIRE(new_one_answered);
  REQUIRE(old_one_answered);
  CHECK(test.waited[0] == 0ms);
  CHECK(test.waited[1] == 1000ms - std::chrono::milliseconds(kLongestTickMs));
}

// Guards against requests that wait for seconds behind clients that stop in the middle of theirs and stay.
TEST_CASE("Request age: connections that stop in the middle of a request make room for those that wait") {
  constexpr std::size_t kConnections = 4, kStalled = 4 * kConnections;
  AgeServer test(kConnections);
  std::vector<std::unique_ptr<TestConnection>> stalled;
  for (std::size_t i = 0; i < kStalled; ++i) stalled.push_back(test.send(kHalfRequest));
  const auto client = test.send(kRequest);
  const core::Time sent = test.loop.now();
  REQUIRE(test.run_until_answered(1, 3s));
  const core::Duration waited = test.loop.now() - sent;
  CHECK(waited < 2s);  // the shortest time that the pages give a client
  CHECK(test.waited[0] >= waited - kSlack);
}

// Guards against the same rule taking slow clients for stalled ones.
TEST_CASE("Request age: a client that goes on sending slowly is not closed for those that wait") {
  AgeServer test(4);
  const auto slow = test.send(kHalfRequest);
  std::vector<std::unique_ptr<TestConnection>> stalled;
  for (int i = 0; i < 3; ++i) stalled.push_back(test.send(kHalfRequest));
  test.run_for(20ms);
  const auto waiting = test.send(kRequest);
  for (int i = 0; i < 8; ++i) {
    slow->send("x");
    test.run_for(50ms);
  }
  slow->send("\r\n\r\n");
  REQUIRE(test.run_until_answered(2));
  CHECK(slow->receive_head().first == "HTTP/1.1 200 OK");
  CHECK(waiting->receive_head().first == "HTTP/1.1 200 OK");
}
