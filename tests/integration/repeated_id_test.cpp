// Process-level tests of requests that come again under an id that may have been executed.
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>

#include "managed_conductor.hpp"

using namespace integration;

namespace {

// How a client's first request under an id ends for it.
enum class FirstEnd { closed_open, half_closed_open, closed_answered, half_closed_answered, stays_answered };

// An instance that counts its executions and answers once "answer" is in the record.
ScriptedServer::Script executing(EventLog& seen) {
  return [&seen](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      seen.add("executed");
      wire.send(stream_head() + chunk("data: 1\n\n"));
      if (!seen.wait_for("answer", 1, 20000)) return;
      wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    }
  };
}

std::string status_of(const Platform& platform, const std::string& txn, const std::string& lane = "ajuste") {
  return platform.ask(client_request(txn, lane, 5000, 100)).substr(0, 12);
}

// Waits until the first client's request is over in the process at the management address.
bool becomes_idle(const std::string& mgmt) {
  for (int i = 0; i < 250; ++i) {
    if (ManagedConductor::call(mgmt, "GET /-/metrics").find("svc.open_requests=0\n") != std::string::npos)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

}  // namespace

TEST_CASE("Repeated id: an ajuste is executed once, however its client's first request under the id ended") {
  for (const FirstEnd end : {FirstEnd::closed_open, FirstEnd::half_closed_open, FirstEnd::closed_answered,
                             FirstEnd::half_closed_answered, FirstEnd::stays_answered}) {
    CAPTURE(int(end));
    EventLog seen;
    ScriptedServer instance(executing(seen));
    ManagedConductor conductor({{"w", "mixto", instance.address()}});
    const auto client = conductor.platform.connect();
    client->send(keep_alive_request("t"));
    REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
    const bool open = end == FirstEnd::closed_open || end == FirstEnd::half_closed_open;
    if (!open) {
      seen.add("answer");
      REQUIRE(client->receive_until("0\r\n\r\n").ends_with("0\r\n\r\n"));
    }
    if (end == FirstEnd::closed_open || end == FirstEnd::closed_answered) client->close();
    if (end == FirstEnd::half_closed_open || end == FirstEnd::half_closed_answered) client->half_close();
    if (open) REQUIRE(becomes_idle(conductor.mgmt));
    seen.add("answer");
    CHECK(status_of(conductor.platform, "t") == "HTTP/1.1 409");
    CHECK(status_of(conductor.platform, "t", "consulta") == "HTTP/1.1 409");
    if (end == FirstEnd::stays_answered) {
      client->send(keep_alive_request("t"));
      CHECK(client->receive_head().status() == 409);
    }
    CHECK(status_of(conductor.platform, "another") == "HTTP/1.1 200");
    CHECK(seen.count("executed") == 2);
    CHECK(conductor.platform.program().output().find("an id that came again") != std::string::npos);
  }
}

TEST_CASE("Repeated id: an ajuste that proved not to have run is executed when it comes again") {
  EventLog seen;
  std::atomic<bool> full{true};
  ScriptedServer instance([&](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
      } else if (full) {
        wire.send(plain_response("503 Service Unavailable", "", "X-Turned-Away: 1\r\n"));
      } else {
        seen.add("executed");
        wire.send(event_stream({"[DONE]"}));
      }
    }
  });
  Platform platform({{"w", "mixto", instance.address()}});
  REQUIRE(platform.ask(client_request("t", "ajuste", 300, 100)).starts_with("HTTP/1.1 503"));
  full = false;
  std::string status;
  for (int i = 0; i < 100 && status != "HTTP/1.1 200"; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    status = status_of(platform, "t");  // refused while the instance is avoided as a full one
    CHECK(status != "HTTP/1.1 409");
  }
  CHECK(status == "HTTP/1.1 200");
  CHECK(status_of(platform, "t") == "HTTP/1.1 409");
  CHECK(seen.count("executed") == 1);
}

TEST_CASE("Repeated id: a consulta may be executed again under its id") {
  EventLog seen;
  ScriptedServer instance(executing(seen));
  Platform platform({{"w", "mixto", instance.address()}});
  seen.add("answer");
  for (int i = 0; i < 2; ++i) CHECK(status_of(platform, "t", "consulta") == "HTTP/1.1 200");
  CHECK(seen.count("executed") == 2);
}

TEST_CASE("Repeated id: what one process of an upgrade has executed is not executed by the other") {
  EventLog seen;
  ScriptedServer instance(executing(seen));
  ManagedConductor conductor({{"w", "mixto", instance.address()}}, true);
  Program& old_process = conductor.platform.program();
  // Open and abandoned before the next process starts, while both run, and after the old one was killed.
  const auto abandon = [&](const std::string& txn, const std::string& mgmt) {
    const auto client = conductor.platform.connect();
    client->send(keep_alive_request(txn));
    REQUIRE(client->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
    client->close();
    REQUIRE(becomes_idle(mgmt));
  };
  abandon("before", conductor.mgmt);
  const std::string second = unique_address();
  const auto next = next_version(conductor, second);
  // A stopped process accepts no connections, so that the other one gets the request.
  next->send_signal(SIGSTOP);
  abandon("at-old", conductor.mgmt);
  const auto killed = conductor.platform.connect();
  killed->send(keep_alive_request("killed"));
  REQUIRE(killed->receive_until("data: 1\n\n").ends_with("data: 1\n\n"));
  old_process.send_signal(SIGSTOP);
  next->send_signal(SIGCONT);
  abandon("at-next", second);
  for (const char* txn : {"before", "at-old", "killed", "at-next"}) {
    CAPTURE(txn);
    CHECK(status_of(conductor.platform, txn) == "HTTP/1.1 409");
  }
  next->send_signal(SIGSTOP);
  old_process.send_signal(SIGCONT);
  CHECK(status_of(conductor.platform, "at-next") == "HTTP/1.1 409");
  old_process.send_signal(SIGKILL);
  CHECK(old_process.wait() == -1);
  next->send_signal(SIGCONT);
  for (const char* txn : {"before", "at-old", "killed", "at-next"}) {
    CAPTURE(txn);
    CHECK(status_of(conductor.platform, txn) == "HTTP/1.1 409");
  }
  seen.add("answer");
  CHECK(status_of(conductor.platform, "another") == "HTTP/1.1 200");
  CHECK(seen.count("executed") == 5);
}
