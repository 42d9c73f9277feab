// Failures of accept4, injected in this test binary only: the listener recovers soon, never busy-loops, and
// at shutdown the connections in its backlog are still answered.
#include <dlfcn.h>
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <memory>
#include <vector>

#include "net/appliance/agent_check.hpp"
#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"
#include "platform_fixture.hpp"

using namespace bankmux;
using namespace integration;
using namespace std::chrono_literals;

namespace {

struct AcceptFailures {
  std::atomic<int> error{0};
  std::atomic<int> remaining{0};  // number of calls that will still fail
  std::atomic<int> calls{0};      // calls made while failures were injected
};

AcceptFailures& failures() {
  static AcceptFailures failures;
  return failures;
}

// Makes the next `count` calls fail, at most until its destruction.
class InjectedFailures {
 public:
  InjectedFailures(int error, int count) {
    failures().error = error;
    failures().calls = 0;
    failures().remaining = count;
  }
  ~InjectedFailures() { failures().remaining = 0; }
  InjectedFailures(const InjectedFailures&) = delete;
  InjectedFailures& operator=(const InjectedFailures&) = delete;
};

constexpr int kAlways = 1'000'000;
constexpr int kClients = 3;

// Errors that Linux documents for accept: of a single connection or a signal, and of exhausted resources.
constexpr int kTransient[] = {EINTR,     ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT,
                              EHOSTDOWN, ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
constexpr int kExhausted[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};

struct TestServer {
  net::Loop loop;
  std::string address = unique_address();
  net::HttpServer server{
      loop, address, [](std::unique_ptr<net::IncomingRequest> incoming) { incoming->answer(200, {}, "ok"); },
      net::ServerLimits{}};
  std::vector<std::unique_ptr<TestConnection>> clients;

  void ask() {
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(TestConnection::to(address));
      clients.back()->send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
  }
  void run(core::Duration time) {
    const auto over = loop.at(loop.now() + time, [this] { loop.stop(); });
    loop.run();
  }
  int answered() {
    int count = 0;
    for (const auto& client : clients) count += client->receive_all().starts_with("HTTP/1.1 200") ? 1 : 0;
    return count;
  }
};

}  // namespace

extern "C" int accept4(int listener, sockaddr* address, socklen_t* length, int flags) {
  using Accept = int (*)(int, sockaddr*, socklen_t*, int);
  static const auto kReal = reinterpret_cast<Accept>(dlsym(RTLD_NEXT, "accept4"));
  if (failures().remaining > 0) {
    ++failures().calls;
    --failures().remaining;
    errno = failures().error;
    return -1;
  }
  return kReal(listener, address, length, flags);
}

TEST_CASE("Accept: an error of one connection does not affect those behind it when the listener closes") {
  for (const int error : kTransient) {
    for (const int count : {1, 5}) {
      TestServer test;
      test.ask();
      {
        const InjectedFailures injected(error, count);
        CHECK(test.server.stop_listening());
      }
      test.run(200ms);
      CHECK(test.answered() == kClients);
    }
  }
}

TEST_CASE("Accept: a listener without descriptors at shutdown is asked again and answers all connections") {
  for (const int error : kExhausted) {
    TestServer test;
    test.ask();
    {
      const InjectedFailures injected(error, 1);
      CHECK_FALSE(test.server.stop_listening());
    }
    CHECK(test.server.stop_listening());
    test.run(200ms);
    CHECK(test.answered() == kClients);
  }
}

TEST_CASE("Accept: permanent errors do not delay the closing of the listener") {
  TestServer test;
  const InjectedFailures injected(ECONNABORTED, kAlways);
  CHECK_FALSE(test.server.stop_listening());
  CHECK(failures().calls <= 2000);
}

TEST_CASE("Accept: the listener recovers at once after an error and does not busy-loop while one lasts") {
  for (const int error : kTransient) {
    TestServer test;
    test.ask();
    const InjectedFailures injected(error, 3);
    test.run(50ms);
    CHECK(test.answered() == kClients);
  }
  for (const int error : kExhausted) {
    TestServer test;
    test.ask();
    {
      const InjectedFailures injected(error, kAlways);
      test.run(450ms);
      CHECK(failures().calls >= 2);
      CHECK(failures().calls <= 10);
    }
    test.run(300ms);
    CHECK(test.answered() == kClients);
  }
}

TEST_CASE("Accept: the agent check does not busy-loop without descriptors and answers once there are some") {
  net::Loop loop;
  net::AgentCheck agent(loop, "127.0.0.1:0", [] { return net::HealthStatus{}; });
  const auto balancer = TestConnection::to("127.0.0.1:" + std::to_string(agent.port()));
  const auto run = [&](core::Duration time) {
    const auto over = loop.at(loop.now() + time, [&] { loop.stop(); });
    loop.run();
  };
  {
    const InjectedFailures injected(EMFILE, kAlways);
    run(450ms);
    CHECK(failures().calls <= 10);
  }
  run(300ms);
  CHECK_FALSE(balancer->receive_until("\n").empty());
}
