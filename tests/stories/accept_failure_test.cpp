// Failures of accept4, injected in this test binary alone: the listener comes back soon, never spins, and at
// shutdown what lies in its queue is still answered.
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
#include "platform_world.hpp"

using namespace bankmux;
using namespace stories;
using namespace std::chrono_literals;

namespace {

struct AcceptFailures {
  std::atomic<int> error{0};
  std::atomic<int> left{0};   // calls that still fail
  std::atomic<int> calls{0};  // while failures were asked for
};

AcceptFailures& failures() {
  static AcceptFailures failures;
  return failures;
}

// Makes the next `count` calls fail, until this ends.
class Failing {
 public:
  Failing(int error, int count) {
    failures().error = error;
    failures().calls = 0;
    failures().left = count;
  }
  ~Failing() { failures().left = 0; }
  Failing(const Failing&) = delete;
  Failing& operator=(const Failing&) = delete;
};

constexpr int kAlways = 1'000'000;
constexpr int kClients = 3;

// What Linux documents for accept: of one connection or a signal, and of the machine's means.
constexpr int kTransient[] = {EINTR,     ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT,
                              EHOSTDOWN, ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
constexpr int kExhausted[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};

struct Served {
  net::Loop loop;
  std::string address = own_address();
  net::HttpServer server{loop, address,
                         [](std::unique_ptr<net::Incoming> incoming) { incoming->answer(200, {}, "ok"); },
                         net::ServerLimits{}};
  std::vector<std::unique_ptr<Wire>> clients;

  void ask() {
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(Wire::to(address));
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
  if (failures().left > 0) {
    ++failures().calls;
    --failures().left;
    errno = failures().error;
    return -1;
  }
  return kReal(listener, address, length, flags);
}

TEST_CASE("Accept: an error of one connection costs those behind it nothing when the listener ends") {
  for (const int error : kTransient) {
    for (const int count : {1, 5}) {
      Served served;
      served.ask();
      {
        const Failing failing(error, count);
        CHECK(served.server.stop_listening());
      }
      served.run(200ms);
      CHECK(served.answered() == kClients);
    }
  }
}

TEST_CASE("Accept: a listener that finds no descriptor at its end is told again and answers all") {
  for (const int error : kExhausted) {
    Served served;
    served.ask();
    {
      const Failing failing(error, 1);
      CHECK_FALSE(served.server.stop_listening());
    }
    CHECK(served.server.stop_listening());
    served.run(200ms);
    CHECK(served.answered() == kClients);
  }
}

TEST_CASE("Accept: errors without an end do not hold the listener's end up") {
  Served served;
  const Failing failing(ECONNABORTED, kAlways);
  CHECK_FALSE(served.server.stop_listening());
  CHECK(failures().calls <= 2000);
}

TEST_CASE("Accept: the listener serves again at once after an error, and does not spin while one lasts") {
  for (const int error : kTransient) {
    Served served;
    served.ask();
    const Failing failing(error, 3);
    served.run(50ms);
    CHECK(served.answered() == kClients);
  }
  for (const int error : kExhausted) {
    Served served;
    served.ask();
    {
      const Failing failing(error, kAlways);
      served.run(450ms);
      CHECK(failures().calls >= 2);
      CHECK(failures().calls <= 10);
    }
    served.run(300ms);
    CHECK(served.answered() == kClients);
  }
}

TEST_CASE("Accept: the agent check does not spin without descriptors, and answers when there are some") {
  net::Loop loop;
  net::AgentCheck agent(loop, "127.0.0.1:0", [] { return net::Standing{}; });
  const auto balancer = Wire::to("127.0.0.1:" + std::to_string(agent.port()));
  const auto run = [&](core::Duration time) {
    const auto over = loop.at(loop.now() + time, [&] { loop.stop(); });
    loop.run();
  };
  {
    const Failing failing(EMFILE, kAlways);
    run(450ms);
    CHECK(failures().calls <= 10);
  }
  run(300ms);
  CHECK_FALSE(balancer->receive_until("\n").empty());
}
