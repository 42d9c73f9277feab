// Process-level tests over loopback of the platform conductor's management address and of an upgrade to a new
// process under load.
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "managed_conductor.hpp"
#include "net/handover/request_id_locks.hpp"
#include "net/handover/stream_socket.hpp"

using namespace integration;

namespace {

// Script of an instance for prefill and decode that answers every request and records its own name for each.
ScriptedServer::Script answering_instance(EventLog& seen, const std::string& name) {
  return [&seen, name](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (request->first.starts_with("POST /v1")) seen.add(name);
      wire.send(request->first.starts_with("POST /v1") ? event_stream({"[DONE]"})
                                                       : plain_response("204 No Content"));
    }
  };
}

}  // namespace

TEST_CASE("The management address answers only its own calls and silent connections do not block it") {
  EventLog seen;
  ScriptedServer a(answering_instance(seen, "a"));
  ManagedConductor conductor({{"a", "mixto", a.address()}});
  std::vector<std::unique_ptr<TestConnection>> silent_connections;
  for (int i = 0; i < 40; ++i) {  // more than the limit of connections
    silent_connections.push_back(TestConnection::to(conductor.mgmt));
    if (silent_connections.back() != nullptr && i % 2 == 1) silent_connections.back()->send("GET /-/metr");
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
    CHECK(conductor.status(line) == status);
  }
  CHECK(conductor.ask("r1").starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "Without a management address the client address answers readiness checks but no management calls") {
  Platform platform({{"a", "mixto", "127.0.0.1:1"}});
  CHECK(platform.ask("GET /-/metrics HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 404"));
  CHECK(platform.ask("POST /-/drain HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 404"));
  CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("Metrics match known traffic") {
  EventLog seen;
  ScriptedServer a(answering_instance(seen, "a"));
  ScriptedServer broken([](TestConnection& wire) {
    while (wire.receive()) wire.send(plain_response("500 Internal Server Error"));
  });
  ManagedConductor conductor({{"a", "mixto", a.address()}, {"b", "mixto", "127.0.0.1:1"}});
  for (int i = 0; i < 5; ++i) CHECK(conductor.ask("t" + std::to_string(i)).starts_with("HTTP/1.1 200"));
  CHECK(conductor.metric("fulfilled.consulta") == 5);
  CHECK(conductor.metric("throttled.consulta") == 0);
  CHECK(conductor.metric("fulfilled.ajuste") == 0);
  CHECK(conductor.metric("relayed") == 5);  // attempts that never reached b are not counted
  CHECK(conductor.metric("open_requests") == 0);
  CHECK(conductor.metric("registry_entries") == 2);
  conductor.platform.push(Platform::line(2, true, {{"c", "mixto", broken.address()}}));
  for (int i = 0; i < 100 && conductor.metric("registry_entries") != 1; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(conductor.platform.ask(client_request("x", "ajuste", 5000, 100)).starts_with("HTTP/1.1 5"));
  CHECK(conductor.metric("faulted.ajuste") == 1);
  CHECK(conductor.metric("relayed") == 6);
}

TEST_CASE("A disabled instance gets no requests until it is enabled once, whatever discovery lists") {
  EventLog seen;
  ScriptedServer a(answering_instance(seen, "a")), b(answering_instance(seen, "b"));
  const std::vector<Platform::Instance> both{{"a", "mixto", a.address()}, {"b", "mixto", b.address()}};
  ManagedConductor conductor(both);
  CHECK(conductor.status("POST /-/instances/a/disable") == 200);
  CHECK(conductor.status("POST /-/instances/a/disable") == 200);
  CHECK(conductor.metric("out_of_rotation") == 1);
  conductor.platform.push(Platform::line(2, true, both));
  for (int i = 0; i < 12; ++i) CHECK(conductor.ask("t" + std::to_string(i)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count("a") == 0);
  CHECK(conductor.status("POST /-/instances/a/enable") == 200);
  CHECK(conductor.metric("out_of_rotation") == 0);
  CHECK(conductor.status("POST /-/instances/b/disable") == 200);  // so that only a is left
  for (int i = 0; i < 50 && seen.count("a") == 0; ++i) {
    (void)conductor.ask("u" + std::to_string(i));
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  CHECK(seen.count("a") > 0);
}

TEST_CASE(
    "A drained conductor is not ready, closes idle connections, still answers requests and can be resumed") {
  EventLog seen;
  ScriptedServer a(answering_instance(seen, "a"));
  ManagedConductor conductor({{"a", "mixto", a.address()}});
  const std::string ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto idle = conductor.platform.connect();
  idle->send(ready);
  CHECK(idle->receive()->status() == 200);
  CHECK(conductor.status("POST /-/drain") == 200);
  CHECK(conductor.platform.ask(ready).starts_with("HTTP/1.1 503"));
  CHECK(conductor.status("GET /-/ready") == 503);
  CHECK(conductor.ask("late").starts_with("HTTP/1.1 200"));
  CHECK(idle->closed_within(2000));
  CHECK(conductor.status("POST /-/resume") == 200);
  const auto kept = conductor.platform.connect();
  kept->send(ready);
  CHECK(kept->receive()->status() == 200);
  CHECK_FALSE(kept->closed_within(900));
  CHECK(conductor.status("GET /-/ready") == 200);
}

TEST_CASE("A new process takes over the passed socket without failed requests and keeps instances disabled") {
  EventLog seen;
  ScriptedServer a(answering_instance(seen, "a"));
  ScriptedServer slow([&seen](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      seen.add("slow");
      wire.send(stream_head() + chunk("data: 1\n\n"));
      if (!seen.wait_for("go on")) return;
      wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    }
  });
  ManagedConductor conductor({{"s", "mixto", slow.address()}}, true);
  const auto held = conductor.platform.connect();
  held->send(client_request("held", "consulta", 5000, 100));
  REQUIRE(seen.wait_for("slow"));
  const std::vector<Platform::Instance> both{{"a", "mixto", a.address()}, {"s", "mixto", slow.address()}};
  conductor.platform.push(Platform::line(2, true, both));
  CHECK(conductor.status("POST /-/instances/s/disable") == 200);

  const std::string second = unique_address();
  const auto next = conductor.platform.start({{"PROXY_MGMT", second}});
  REQUIRE(Program::listens(second));
  bool ready = false;
  for (int i = 0; i < 200 && !ready; ++i) {
    ready = ManagedConductor::call(second, "GET /-/ready").starts_with("HTTP/1.1 200");
    if (!ready) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(ready);
  conductor.platform.program().terminate();
  for (int i = 0; i < 30; ++i) CHECK(conductor.ask("n" + std::to_string(i)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count("slow") == 1);  // still disabled in the new process
  seen.add("go on");
  CHECK(held->receive_all().ends_with("0\r\n\r\n"));
  CHECK(conductor.platform.program().wait() == 0);
  CHECK(ManagedConductor::call(second, "POST /-/instances/s/enable").starts_with("HTTP/1.1 200"));
  next->terminate();
}

namespace {

// Script of an instance that starts a stream, waits for "go on" in the record, and then sends the rest byte
// by byte or, with `breaks`, closes the connection.
ScriptedServer::Script slow_instance(EventLog& seen, bool breaks = false) {
  return [&seen, breaks](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
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

// The concatenated contents of a chunked answer.
std::string chunk_contents(const std::string& wire) {
  std::string text;
  for (std::size_t at = wire.find("\r\n\r\n") + 4; at < wire.size();) {
    const std::size_t size = std::stoul(wire.substr(at), nullptr, 16);
    at = wire.find("\r\n", at) + 2;
    text += wire.substr(at, size);
    at += size + 2;
  }
  return text;
}

}  // namespace

TEST_CASE("Running streams and their client connections continue in the next process without loss") {
  EventLog seen;
  ScriptedServer slow(slow_instance(seen));
  ManagedConductor conductor({{"s", "mixto", slow.address()}}, true);
  constexpr int kStreams = 40;
  std::vector<std::unique_ptr<TestConnection>> clients;
  std::vector<std::string> begun;
  for (int i = 0; i < kStreams; ++i) {
    clients.push_back(conductor.platform.connect());
    clients.back()->send(keep_alive_request("held-" + std::to_string(i)));
    begun.push_back(clients.back()->receive_until("data: 1\n\n"));
  }
  const std::string second = unique_address();
  const auto next = next_version(conductor, second);
  conductor.platform.program().terminate();
  CHECK(conductor.platform.program().wait() == 0);  // exits before any stream has ended
  seen.add("go on");
  for (int i = 0; i < kStreams; ++i) {
    const std::string whole = begun[i] + clients[i]->receive_until("0\r\n\r\n");
    CHECK(chunk_contents(whole) == "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
  }
  CHECK(seen.count("asked") == kStreams);  // no request was sent twice
  clients[0]->send(keep_alive_request("another"));
  CHECK(clients[0]->receive_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
  const std::string figures = ManagedConductor::call(second, "GET /-/metrics");
  CHECK(figures.find("svc.fulfilled.ajuste=" + std::to_string(kStreams + 1) + "\n") != std::string::npos);
  CHECK(figures.find("svc.open_requests=0\n") != std::string::npos);
  next->terminate();
  CHECK(next->wait() == 0);
}

TEST_CASE("Whole: a handed-over stream is whole by its end marker, whichever process has read that") {
  const std::string first = "data: 1\n\n", done = "data: [DONE]\n\n";
  for (const auto& [before, after, whole] :
       {std::tuple(first + done, std::string(), true), std::tuple(first, done, true),
        std::tuple(first + done.substr(0, 9), done.substr(9), true),
        std::tuple(first, std::string("data: 2\n\n"), false), std::tuple(first, std::string(), false)}) {
    CAPTURE(before, after);
    EventLog seen;
    ScriptedServer instance([&, before = before, after = after](TestConnection& wire) {
      if (!wire.receive()) return;
      wire.send(stream_head() + chunk(before));
      if (!seen.wait_for("go on", 1, 20000)) return;
      wire.send((after.empty() ? "" : chunk(after)) + "0\r\n\r\n");
      (void)wire.closed_within(2000);
    });
    ManagedConductor conductor({{"s", "mixto", instance.address()}}, true);
    const auto client = conductor.platform.connect();
    client->send(client_request("held", "ajuste", 5000, 100));
    const std::string begun = client->receive_until(before);
    REQUIRE(begun.ends_with(before));
    const auto next = next_version(conductor, unique_address());
    conductor.platform.program().terminate();
    CHECK(conductor.platform.program().wait() == 0);
    seen.add("go on");
    CHECK(client->receive_all().ends_with("0\r\n\r\n") == whole);
    next->terminate();
    CHECK(next->wait() == 0);
  }
}

// Guards against an ajuste that runs twice because the other process of an upgrade does not know its id.
TEST_CASE("During an upgrade the id of a request that is open in one process is refused by the other") {
  EventLog seen;
  ScriptedServer slow(slow_instance(seen));
  ManagedConductor conductor({{"s", "mixto", slow.address()}}, true);
  Program& old_process = conductor.platform.program();
  const auto stream = conductor.platform.connect();
  stream->send(keep_alive_request("of-old"));
  const std::string begun = stream->receive_until("data: 1\n\n");
  const auto next = next_version(conductor, unique_address());
  const auto status_of = [&conductor](const std::string& txn) {
    return conductor.platform.ask(client_request(txn, "ajuste", 5000, 100)).substr(0, 12);
  };
  // A stopped process accepts no connections, so that the other one gets the request.
  old_process.send_signal(SIGSTOP);
  CHECK(status_of("of-old") == "HTTP/1.1 409");
  const auto at_next = conductor.platform.connect();
  at_next->send(keep_alive_request("of-next"));
  REQUIRE(at_next->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
  next->send_signal(SIGSTOP);
  old_process.send_signal(SIGCONT);
  CHECK(status_of("of-next") == "HTTP/1.1 409");
  next->send_signal(SIGCONT);
  old_process.terminate();
  CHECK(old_process.wait() == 0);
  CHECK(status_of("of-old") == "HTTP/1.1 409");
  CHECK(seen.count("asked") == 2);
  seen.add("go on");
  CHECK(chunk_contents(begun + stream->receive_until("0\r\n\r\n")) ==
        "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
  CHECK(at_next->receive_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
  CHECK(status_of("of-old") == "HTTP/1.1 409");
  CHECK(seen.count("asked") == 2);
  next->terminate();
  CHECK(next->wait() == 0);
}

// Guards against an id that is free between the end of a handed-over stream in one process and its start in
// the next.
TEST_CASE("The id of a stream that was handed over stays reserved while the first process runs") {
  EventLog seen;
  ScriptedServer slow([&seen](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
      } else if (request->headers.at("x-txn") == "stream") {
        wire.send(stream_head() + chunk("data: 1\n\n"));
      } else {
        seen.add("unanswered");
      }
    }
  });
  ManagedConductor conductor({{"s", "mixto", slow.address()}}, true);
  Program& process = conductor.platform.program();
  const auto stream = conductor.platform.connect(), unanswered = conductor.platform.connect();
  stream->send(keep_alive_request("stream"));
  REQUIRE(stream->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
  unanswered->send(keep_alive_request("unanswered"));  // keeps the process running after the handover
  REQUIRE(seen.wait_for("unanswered"));
  bankmux::net::Loop loop;
  const std::string prefix = std::string(conductor.directory) + "/bankmux-n1";
  bankmux::net::RequestIdLocks ids(prefix + "-ids");
  std::vector<bankmux::net::Descriptor> connections;
  bankmux::net::StreamReceiver receiver(loop, prefix + "-streams", [&](const auto& passed) {
    connections.emplace_back(passed.stream.client.descriptor);
    connections.emplace_back(passed.stream.instance.descriptor);
    loop.stop();
  });
  process.terminate();
  const auto limit = loop.at(loop.now() + std::chrono::seconds(5), [&loop] { loop.stop(); });
  loop.run();
  REQUIRE(connections.size() == 2);
  // Each of these calls is answered by the process after it has detached the stream.
  for (int i = 0; i < 3; ++i) CHECK(conductor.metric("open_requests") == 1);
  CHECK_FALSE(ids.reserve("stream"));
  CHECK(ids.reserve("another"));
  unanswered->close();
  CHECK(process.wait() == 0);
  CHECK(ids.reserve("stream"));
}

// Guards against a request whose time begins anew because another process read the stream before it.
TEST_CASE("A request behind a handed-over stream on its connection is told what is left from its last byte") {
  constexpr int kRemainingMs = 5000, kSlackMs = 150;
  constexpr std::chrono::milliseconds kWait{800};
  EventLog seen;
  std::atomic<int> told_ms{0};
  ScriptedServer instance([&](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
      } else if (request->headers.at("x-txn") == "stream") {
        wire.send(stream_head() + chunk("data: 1\n\n"));
        (void)seen.wait_for("go on", 1, 20000);
        wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
      } else {
        told_ms = std::stoi(request->headers.at("x-remaining-ms"));
        wire.send(event_stream({"[DONE]"}));
      }
    }
  });
  ManagedConductor conductor({{"s", "mixto", instance.address()}}, true);
  const auto client = conductor.platform.connect();
  client->send(keep_alive_request("stream"));
  REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
  const auto next = next_version(conductor, unique_address());
  conductor.platform.program().terminate();
  CHECK(conductor.platform.program().wait() == 0);
  client->send(keep_alive_request("behind"));
  std::this_thread::sleep_for(kWait);
  seen.add("go on");
  REQUIRE(client->receive_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
  CHECK(client->receive_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
  CHECK(told_ms > 0);
  CHECK(told_ms <= kRemainingMs - kWait.count() + kSlackMs);
  next->terminate();
  CHECK(next->wait() == 0);
}

TEST_CASE("A handed-over stream whose instance fails is cut off without a final chunk") {
  EventLog seen;
  ScriptedServer slow(slow_instance(seen, true));
  ManagedConductor conductor({{"s", "mixto", slow.address()}}, true);
  const auto client = conductor.platform.connect();
  client->send(keep_alive_request("held"));
  REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
  const auto next = next_version(conductor, unique_address());
  conductor.platform.program().terminate();
  CHECK(conductor.platform.program().wait() == 0);
  seen.add("go on");
  CHECK_FALSE(client->receive_all().ends_with("0\r\n\r\n"));
  CHECK(seen.count("asked") == 1);
}

TEST_CASE(
    "Without a next process a stream ends in its own and only a passed socket opens the handover socket") {
  EventLog seen;
  ScriptedServer slow(slow_instance(seen));
  for (const bool passed : {true, false}) {
    ManagedConductor conductor({{"s", "mixto", slow.address()}}, passed);
    const auto name = std::filesystem::path(conductor.directory) / "bankmux-n1-streams";
    const auto client = conductor.platform.connect();
    client->send(keep_alive_request("held"));
    REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
    // Checked only after the first event: a passed socket accepts connections before the program has started.
    CHECK(std::filesystem::exists(name) == passed);
    conductor.platform.program().terminate();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    seen.add("go on");
    CHECK(client->receive_all().ends_with("0\r\n\r\n"));
    CHECK(conductor.platform.program().wait() == 0);
    seen.clear();
  }
}
