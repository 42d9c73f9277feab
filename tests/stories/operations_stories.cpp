// The platform's second address and a new version under load, over loopback.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "platform_world.hpp"

using namespace stories;

namespace {

// A mixed instance that answers every request and says in the record which one it was.
Peer::Script box(Record& seen, const std::string& name) {
  return [&seen, name](Wire& wire) {
    while (const auto request = wire.receive()) {
      if (request->first.starts_with("POST /v1")) seen.add(name);
      wire.send(request->first.starts_with("POST /v1") ? events({"[DONE]"}) : simple("204 No Content"));
    }
  };
}

struct Operated {
  explicit Operated(const std::vector<Platform::Instance>& known, bool passed = false)
      : socket(passed ? listening_socket(listen) : -1), platform(known, site_settings(), environment()) {
    REQUIRE(Program::listens(mgmt));
  }
  ~Operated() {
    if (socket >= 0) close(socket);
    std::filesystem::remove_all(folder);
  }
  std::map<std::string, std::string> environment() {
    REQUIRE(mkdtemp(folder) != nullptr);
    std::map<std::string, std::string> all{
        {"PROXY_MGMT", mgmt}, {"PROXY_LISTEN", listen}, {"TMPDIR", folder}};
    if (socket >= 0) all["PROXY_PASSED_SOCKET"] = std::to_string(socket);
    return all;
  }
  static std::string call(const std::string& at, const std::string& line, const std::string& more = "") {
    const auto wire = Wire::to(at);
    if (wire == nullptr) return "";
    wire->send(line + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n");
    return wire->receive_all();  // one call per connection: it closes
  }
  int status(const std::string& line) { return std::atoi(call(mgmt, line).substr(9, 3).c_str()); }
  long figure(const std::string& name) {
    const std::string text = call(mgmt, "GET /-/metrics");
    const std::size_t at = text.find("svc." + name + "=");
    return at == std::string::npos ? -1 : std::atol(text.c_str() + at + name.size() + 5);
  }
  std::string ask(const std::string& txn) { return platform.ask(client_request(txn, "consulta", 5000, 100)); }

  std::string listen = own_address(), mgmt = own_address();
  char folder[32] = "/tmp/bankmux-ops-XXXXXX";
  int socket;
  Platform platform;
};

}  // namespace

TEST_CASE("The second address answers its calls and no others, and who says nothing holds up nobody") {
  Record seen;
  Peer a(box(seen, "a"));
  Operated o({{"a", "mixto", a.address()}});
  std::vector<std::unique_ptr<Wire>> mute;
  for (int i = 0; i < 40; ++i) {  // more than there is room for
    mute.push_back(Wire::to(o.mgmt));
    if (mute.back() != nullptr && i % 2 == 1) mute.back()->send("GET /-/metr");
  }
  const std::vector<std::pair<std::string, int>> calls{{"GET /-/ready", 200},
                                                       {"GET /-/metrics", 200},
                                                       {"GET /-/nothing", 404},
                                                       {"POST /-/ready", 405},
                                                       {"GET /-/drain", 405},
                                                       {"GET /-/instances/a/disable", 405},
                                                       {"POST /-/instances/nobody/disable", 404},
                                                       {"POST /-/instances/nobody/enable", 404},
                                                       {"POST /-/instances/a/stop", 404},
                                                       {"POST /-/instances/a%20b/disable", 400},
                                                       {"POST /-/instances//disable", 404},
                                                       {"not http", 400},
                                                       {"GET /" + std::string(100'000, 'x'), 400}};
  for (const auto& [line, status] : calls) {
    INFO(line.substr(0, 50));
    CHECK(o.status(line) == status);
  }
  CHECK(o.ask("r1").starts_with("HTTP/1.1 200"));
}

TEST_CASE("Without a second address in the settings nobody listens there and nothing is written") {
  Platform platform({{"a", "mixto", "127.0.0.1:1"}});
  CHECK(platform.ask("GET /-/metrics HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 404"));
  CHECK(platform.ask("POST /-/drain HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 404"));
  CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("Figures are those of known traffic") {
  Record seen;
  Peer a(box(seen, "a"));
  Peer broken([](Wire& wire) {
    while (wire.receive()) wire.send(simple("500 Internal Server Error"));
  });
  Operated o({{"a", "mixto", a.address()}, {"b", "mixto", "127.0.0.1:1"}});
  for (int i = 0; i < 5; ++i) CHECK(o.ask("t" + std::to_string(i)).starts_with("HTTP/1.1 200"));
  CHECK(o.figure("fulfilled.consulta") == 5);
  CHECK(o.figure("throttled.consulta") == 0);
  CHECK(o.figure("fulfilled.ajuste") == 0);
  CHECK(o.figure("relayed") == 5);  // what never reached b was not written
  CHECK(o.figure("open_requests") == 0);
  CHECK(o.figure("registry_entries") == 2);
  o.platform.push(Platform::line(2, true, {{"c", "mixto", broken.address()}}));
  for (int i = 0; i < 100 && o.figure("registry_entries") != 1; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(o.platform.ask(client_request("x", "ajuste", 5000, 100)).starts_with("HTTP/1.1 5"));
  CHECK(o.figure("faulted.ajuste") == 1);
  CHECK(o.figure("relayed") == 6);
}

TEST_CASE(
    "A disabled instance gets nothing until the call back, whatever discovery says, and one call is enough") {
  Record seen;
  Peer a(box(seen, "a")), b(box(seen, "b"));
  const std::vector<Platform::Instance> both{{"a", "mixto", a.address()}, {"b", "mixto", b.address()}};
  Operated o(both);
  CHECK(o.status("POST /-/instances/a/disable") == 200);
  CHECK(o.status("POST /-/instances/a/disable") == 200);
  CHECK(o.figure("out_of_rotation") == 1);
  o.platform.push(Platform::line(2, true, both));
  for (int i = 0; i < 12; ++i) CHECK(o.ask("t" + std::to_string(i)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count("a") == 0);
  CHECK(o.status("POST /-/instances/a/enable") == 200);
  CHECK(o.figure("out_of_rotation") == 0);
  CHECK(o.status("POST /-/instances/b/disable") == 200);  // so that a is all there is
  for (int i = 0; i < 50 && seen.count("a") == 0; ++i) {
    (void)o.ask("u" + std::to_string(i));
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  CHECK(seen.count("a") > 0);
}

TEST_CASE(
    "A drained conductor says no, closes what is idle, answers what comes, and takes clients when resumed") {
  Record seen;
  Peer a(box(seen, "a"));
  Operated o({{"a", "mixto", a.address()}});
  const std::string ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto idle = o.platform.connect();
  idle->send(ready);
  CHECK(idle->receive()->status() == 200);
  CHECK(o.status("POST /-/drain") == 200);
  CHECK(o.platform.ask(ready).starts_with("HTTP/1.1 503"));
  CHECK(o.status("GET /-/ready") == 503);
  CHECK(o.ask("late").starts_with("HTTP/1.1 200"));
  CHECK(idle->closed_within(2000));
  CHECK(o.status("POST /-/resume") == 200);
  const auto kept = o.platform.connect();
  kept->send(ready);
  CHECK(kept->receive()->status() == 200);
  CHECK_FALSE(kept->closed_within(900));
  CHECK(o.status("GET /-/ready") == 200);
}

TEST_CASE(
    "A new version takes over on the passed socket, no request is turned back, and what is out stays out") {
  Record seen;
  Peer a(box(seen, "a"));
  Peer slow([&seen](Wire& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(simple("204 No Content"));
        continue;
      }
      seen.add("slow");
      wire.send(stream_head() + chunk("data: 1\n\n"));
      if (!seen.wait_for("go on")) return;
      wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    }
  });
  Operated o({{"s", "mixto", slow.address()}}, true);
  const auto held = o.platform.connect();
  held->send(client_request("held", "consulta", 5000, 100));
  REQUIRE(seen.wait_for("slow"));
  const std::vector<Platform::Instance> both{{"a", "mixto", a.address()}, {"s", "mixto", slow.address()}};
  o.platform.push(Platform::line(2, true, both));
  CHECK(o.status("POST /-/instances/s/disable") == 200);

  const std::string second = own_address();
  const auto next = o.platform.start({{"PROXY_MGMT", second}});
  REQUIRE(Program::listens(second));
  bool ready = false;
  for (int i = 0; i < 200 && !ready; ++i) {
    ready = Operated::call(second, "GET /-/ready").starts_with("HTTP/1.1 200");
    if (!ready) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(ready);
  o.platform.program().terminate();
  for (int i = 0; i < 30; ++i) CHECK(o.ask("n" + std::to_string(i)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count("slow") == 1);  // out in the new process too
  seen.add("go on");
  CHECK(held->receive_all().ends_with("0\r\n\r\n"));
  CHECK(o.platform.program().wait() == 0);
  CHECK(Operated::call(second, "POST /-/instances/s/enable").starts_with("HTTP/1.1 200"));
  next->terminate();
}

namespace {

// Begins a stream, waits for the word, and then gives the rest: in pieces that end nowhere in particular, or
// not at all.
Peer::Script slow_box(Record& seen, bool breaks = false) {
  return [&seen, breaks](Wire& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(simple("204 No Content"));
        continue;
      }
      seen.add("asked");
      const std::string rest = chunk("data: 2\n\n") + chunk("data: [DONE]\n\n") + "0\r\n\r\n";
      wire.send(stream_head() + chunk("data: 1\n\n") + rest.substr(0, 7));
      if (!seen.wait_for("go on", 1, 20000) || breaks) return;
      for (const char letter : rest.substr(7)) wire.send(std::string(1, letter));
    }
  };
}

// What the chunks of an answer hold.
std::string contents(const std::string& wire) {
  std::string text;
  for (std::size_t at = wire.find("\r\n\r\n") + 4; at < wire.size();) {
    const std::size_t size = std::stoul(wire.substr(at), nullptr, 16);
    at = wire.find("\r\n", at) + 2;
    text += wire.substr(at, size);
    at += size + 2;
  }
  return text;
}

std::string kept_request(const std::string& txn) {
  std::string text = client_request(txn, "ajuste", 5000, 100);
  const std::string close = "Connection: close\r\n";
  return text.erase(text.find(close), close.size());
}

// The next version, once it takes clients.
std::unique_ptr<Program> next_version(const Operated& o, const std::string& second) {
  auto next = o.platform.start({{"PROXY_MGMT", second}});
  REQUIRE(Program::listens(second));
  for (int i = 0; i < 300 && !Operated::call(second, "GET /-/ready").starts_with("HTTP/1.1 200"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return next;
}

}  // namespace

TEST_CASE("Streams that run go on in the next process, whole, with their clients' connections") {
  Record seen;
  Peer slow(slow_box(seen));
  Operated o({{"s", "mixto", slow.address()}}, true);
  constexpr int kStreams = 40;
  std::vector<std::unique_ptr<Wire>> clients;
  std::vector<std::string> begun;
  for (int i = 0; i < kStreams; ++i) {
    clients.push_back(o.platform.connect());
    clients.back()->send(kept_request("held-" + std::to_string(i)));
    begun.push_back(clients.back()->receive_until("data: 1\n\n"));
  }
  const std::string second = own_address();
  const auto next = next_version(o, second);
  o.platform.program().terminate();
  CHECK(o.platform.program().wait() == 0);  // before any stream has ended
  seen.add("go on");
  for (int i = 0; i < kStreams; ++i) {
    const std::string whole = begun[i] + clients[i]->receive_until("0\r\n\r\n");
    CHECK(contents(whole) == "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
  }
  CHECK(seen.count("asked") == kStreams);  // not one was sent again
  clients[0]->send(kept_request("another"));
  CHECK(clients[0]->receive_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
  const std::string figures = Operated::call(second, "GET /-/metrics");
  CHECK(figures.find("svc.fulfilled.ajuste=" + std::to_string(kStreams + 1) + "\n") != std::string::npos);
  CHECK(figures.find("svc.open_requests=0\n") != std::string::npos);
  next->terminate();
  CHECK(next->wait() == 0);
}

TEST_CASE("A stream that went on in the next process and whose box breaks is cut, not ended") {
  Record seen;
  Peer slow(slow_box(seen, true));
  Operated o({{"s", "mixto", slow.address()}}, true);
  const auto client = o.platform.connect();
  client->send(kept_request("held"));
  REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
  const auto next = next_version(o, own_address());
  o.platform.program().terminate();
  CHECK(o.platform.program().wait() == 0);
  seen.add("go on");
  CHECK_FALSE(client->receive_all().ends_with("0\r\n\r\n"));
  CHECK(seen.count("asked") == 1);
}

TEST_CASE(
    "Without a next process a stream ends where it began, and without a passed socket nothing listens") {
  Record seen;
  Peer slow(slow_box(seen));
  for (const bool passed : {true, false}) {
    Operated o({{"s", "mixto", slow.address()}}, passed);
    const auto name = std::filesystem::path(o.folder) / "bankmux-n1-streams";
    const auto client = o.platform.connect();
    client->send(kept_request("held"));
    REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
    // Only now: a passed socket listens before the program does.
    CHECK(std::filesystem::exists(name) == passed);
    o.platform.program().terminate();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    seen.add("go on");
    CHECK(client->receive_all().ends_with("0\r\n\r\n"));
    CHECK(o.platform.program().wait() == 0);
    seen.clear();
  }
}
