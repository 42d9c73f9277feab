// End-to-end tests of the platform protocol: each provokes one kind of failure between clients, conductor,
// instances and discovery.
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>

#include "platform_fixture.hpp"

using namespace integration;

namespace {

bool contains_text(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Instance that answers requests on a kept connection through `reply`, and records their method and target.
ScriptedServer::Script scripted_instance(EventLog& seen,
                                         const std::function<bool(TestConnection&, const Message&)>& reply) {
  return [&seen, reply](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      seen.add(request->first.substr(0, request->first.rfind(' ')));
      if (request->first.starts_with("DELETE")) {
        wire.send(plain_response("204 No Content"));
      } else if (!reply(wire, *request)) {
        return;
      }
    }
  };
}

// Time after which a kept connection may be reused by any request.
constexpr std::chrono::milliseconds kReusableAfter{60};

const std::string kChat = "POST /v1/chat/completions?v=2";

}  // namespace

TEST_CASE(
    "A request is prefilled, its decode instance claimed early, and decoded, with its content unchanged") {
  EventLog seen;
  Message prefill_request, decode_request;
  ScriptedServer prefill_instance(scripted_instance(seen, [&](TestConnection& wire, const Message& m) {
    prefill_request = m;
    if (!seen.wait_for("POST /bootstrap/rooms/t1")) return false;  // the claim is sent during the prefill
    wire.send(plain_response("202 Accepted", "{\"cached_tokens\":0}"));
    return true;
  }));
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message& m) {
    if (m.first.starts_with("POST /bootstrap")) {
      wire.send(plain_response("200 OK"));
    } else {
      decode_request = m;
      wire.send(event_stream({"{\"x\":1}", "[DONE]"}));
    }
    return true;
  }));
  nlohmann::json site = site_settings();
  // The prefill takes most of the target, so that claiming early pays off.
  site["categories"][0]["targetS"] = 0.1;
  Platform platform(
      {{"r", "lectura", prefill_instance.address()}, {"w", "escritura", decode_instance.address()}}, site);
  const std::string body = "{\"model\":\"chat\", \"odd\":  [1,\t2]}";
  const std::string answer =
      platform.ask(client_request("t1", "consulta", 5000, 3000, "X-Own: a b  c\r\n", body));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(contains_text(answer, "data: {\"x\":1}\n\n"));
  CHECK(answer.ends_with("0\r\n\r\n"));
  CHECK(seen.count(kChat) == 2);
  CHECK(seen.count("POST /bootstrap/rooms/t1") == 1);
  CHECK(seen.all().size() == 3);
  for (const Message& m : {prefill_request, decode_request}) {
    CHECK(m.body == body);
    CHECK(m.headers.at("x-txn") == "t1");
    CHECK(m.headers.at("x-own") == "a b  c");
    CHECK(std::stoi(m.headers.at("x-remaining-ms")) <= 5000);
  }
}

// Guards against requests of all tenants counting under the first tenant's name: they would exceed its share
// and be queued behind all others.
TEST_CASE("X-Org selects the tenant by its name in the settings") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    wire.send(event_stream({"{\"x\":1}", "[DONE]"}));
    return true;
  }));
  nlohmann::json settings = site_settings();
  settings["tenants"] = {{{"name", "first"}, {"quotaRps", 9.0}, {"fraction", 0.5}},
                         {{"name", "second"}, {"quotaRps", 9.0}, {"fraction", 0.5}}};
  Platform platform({{"w", "escritura", decode_instance.address()}}, settings);
  for (const char* org : {"second", "first", "nobody"}) {
    CHECK(platform.ask(client_request(org, "consulta", 5000, 100, std::string("X-Org: ") + org + "\r\n"))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(platform.ask(client_request("t9", "consulta", 5000, 100, "X-Org: " + std::string(200, 'x') + "\r\n"))
            .starts_with("HTTP/1.1 400"));
  platform.program().terminate();
  platform.program().wait();
  const std::string log = platform.program().output();
  for (const char* expected :
       {"\"second\"", "\"first\"", "2"}) {  // the last one is the index without a share
    CHECK(contains_text(log, "\"tenant\":" + std::string(expected)));
  }
}

TEST_CASE("A client that leaves during the prefill ends it at once, and the held KV cache is released") {
  EventLog seen;
  ScriptedServer prefill_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    if (wire.closed_within(3000)) seen.add("read ended");
    return false;
  }));
  ScriptedServer decode_instance(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(plain_response("409 Conflict"));
    return true;
  }));
  Platform platform(
      {{"r", "lectura", prefill_instance.address()}, {"w", "escritura", decode_instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("t2", "ajuste", 5000, 3000));
  REQUIRE(seen.wait_for(kChat));
  client->close();
  CHECK(seen.wait_for("read ended"));
  CHECK(seen.wait_for("DELETE /bootstrap/rooms/t2"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("An ajuste that may have run is not retried, even if a kept connection broke") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    if (seen.count(kChat) == 1) {
      wire.send(event_stream({"[DONE]"}));
      return true;
    }
    wire.reset();
    return false;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  CHECK(platform.ask(client_request("t3", "ajuste", 5000, 100)).starts_with("HTTP/1.1 200"));
  std::this_thread::sleep_for(kReusableAfter);
  CHECK(platform.ask(client_request("t4", "ajuste", 5000, 100)).starts_with("HTTP/1.1 502"));
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE("A consulta is retried at another instance after a reset") {
  EventLog seen;
  const auto reply = [&](TestConnection& wire, const Message&) {
    if (seen.count(kChat) == 1) {
      wire.reset();
      return false;
    }
    wire.send(event_stream({"[DONE]"}));
    return true;
  };
  ScriptedServer one(scripted_instance(seen, reply)), two(scripted_instance(seen, reply));
  Platform platform({{"w1", "mixto", one.address()}, {"w2", "mixto", two.address()}});
  CHECK(platform.ask(client_request("t5", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE("An ajuste whose last byte was never written has not run and is retried elsewhere") {
  EventLog seen;
  // Its socket buffers are smaller than the request; it reads nothing and then resets the connection.
  ScriptedServer stuck(
      [&](TestConnection& wire) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        seen.add("broken off");
        wire.reset();
      },
      4096);
  ScriptedServer well(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(event_stream({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w1", "mixto", stuck.address()}});
  const auto client = platform.connect();
  // Larger than the socket buffers of both sides together.
  client->send(client_request("t6", "ajuste", 8000, 100, "", std::string(250 * 1024, 'x')));
  platform.push(Platform::line(2, false, {{"w2", "mixto", well.address()}}));
  CHECK(contains_text(client->receive_all(), "HTTP/1.1 200"));
  CHECK(seen.all() == std::vector<std::string>{"broken off", kChat});
}

TEST_CASE("A stream that breaks ends without the final chunk") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk("data: {\"x\":1}\n\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return false;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const std::string answer = platform.ask(client_request("t7", "consulta", 5000, 100));
  CHECK(contains_text(answer, "data: {\"x\":1}\n\n"));
  CHECK_FALSE(contains_text(answer, "\r\n0\r\n"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("Events are forwarded as they arrive, not at the end of the stream") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk("data: one\n\n"));
    seen.wait_for("client has one");
    wire.send(chunk("data: two\n\n") + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("t8", "consulta", 5000, 100));
  CHECK(contains_text(client->receive_until("data: one\n\n"), "data: one"));
  seen.add("client has one");
  CHECK(contains_text(client->receive_all(), "data: two\n\n"));
}

TEST_CASE("With a silent instance, the client gets one answer at its deadline and the attempt is closed") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    if (wire.closed_within(5000)) seen.add("attempt closed");
    return false;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("t9", "ajuste", 400, 100));
  const std::string answer = client->receive_all();
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.find("HTTP/1.1", 8) == std::string::npos);
  CHECK(seen.wait_for("attempt closed"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("A release is retried until it is answered") {
  EventLog seen;
  ScriptedServer prefill_instance([&](TestConnection& wire) {
    const auto request = wire.receive();
    if (!request) return;
    seen.add(request->first.substr(0, request->first.find(' ')));
    if (request->first.starts_with("POST")) {
      if (wire.closed_within(3000)) seen.add("read ended");
    } else if (seen.count("DELETE") < 3) {
      wire.reset();  // the first two are lost
    } else {
      wire.send(plain_response("204 No Content"));
    }
  });
  ScriptedServer decode_instance(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(plain_response("409 Conflict"));
    return true;
  }));
  Platform platform(
      {{"r", "lectura", prefill_instance.address()}, {"w", "escritura", decode_instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("t10", "consulta", 5000, 3000));
  REQUIRE(seen.wait_for("POST"));
  client->close();
  CHECK(seen.wait_for("DELETE", 3));
}

TEST_CASE("A refusal by overloaded instances is passed on with Retry-After") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(plain_response("503 Service Unavailable", "", "X-Turned-Away: 1\r\n"));
    return true;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const std::string answer = platform.ask(client_request("t11", "ajuste", 700, 100));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(contains_text(answer, "Retry-After: "));
}

TEST_CASE("Requests that violate the protocol get 400 or 413, and the program keeps serving") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(event_stream({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const std::string good = client_request("t12", "consulta", 5000, 100);
  const auto with_replacement = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::pair<const char*, std::string> bad[] = {
      {"X-Txn", with_replacement("X-Txn: t12\r\n", "")},
      {"X-Txn", with_replacement("X-Txn: t12", "X-Txn: ../../x")},
      {"X-Lane", with_replacement("X-Lane: consulta", "X-Lane: other")},
      {"X-Entity", with_replacement("X-Entity: s-t12\r\n", "")},
      {"X-Remaining-Ms", with_replacement("X-Remaining-Ms: 5000", "X-Remaining-Ms: soon")},
      {"X-Remaining-Ms", with_replacement("X-Remaining-Ms: 5000", "X-Remaining-Ms: -1")},
      {"prompt_len", with_replacement("prompt_len=100", "prompt_len=99999999999999999999")},
      {"X-Labels", with_replacement("prompt_len=100", "nonsense")},
  };
  for (const auto& [name, request] : bad) {
    const std::string answer = platform.ask(request);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(contains_text(answer, name));
  }
  CHECK(platform.ask("NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(platform.ask("POST / HTTP/1.1\r\nContent-Length: minus\r\n\r\n").starts_with("HTTP/1.1 400"));
  const auto large = platform.connect();
  large->send(client_request("t13", "consulta", 5000, 100, "", std::string(256 * 1024 + 1, 'x')));
  CHECK(large->receive_head().status() == 413);
  CHECK(seen.all().empty());
  CHECK(platform.ask(good).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "A drain stops new work, and a malformed line leaves the list unchanged, "
    "and a broken watch is reopened") {
  EventLog seen;
  const auto record_requests = [&seen](const std::string& name) {
    return [&seen, name](TestConnection& wire) {
      while (wire.receive()) {
        seen.add(name);
        wire.send(event_stream({"[DONE]"}));
      }
    };
  };
  ScriptedServer one(record_requests("one")), two(record_requests("two"));
  const Platform::Instance w1{"w1", "mixto", one.address()}, w2{"w2", "mixto", two.address()};
  Platform platform({w1});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  CHECK(platform.ask(client_request("a1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  platform.push(Platform::line(2, false, {w2}));
  platform.push(Platform::line(3, false, {w1}, "DRAINING"));
  platform.push("{\"version\":4,\"full\":true,\"servers\":[{\"id\":7}]}");
  // After the malformed line, the watch is reopened from the last valid version.
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=3 HTTP/1.1"));
  for (int i = 0; i < 5; ++i) {
    CHECK(platform.ask(client_request("b" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.all() == std::vector<std::string>{"one", "two", "two", "two", "two", "two"});
  platform.break_watch();
  CHECK(platform.watches.wait_for("GET /api/targets?follow=1&since=3 HTTP/1.1", 2));
  // At any version of the list, one of the two instances is available.
  platform.push(Platform::line(5, false, {w1}));
  platform.push(Platform::line(6, false, {w2}, "DELETED"));
  for (int i = 0; i < 100 && seen.count("one") < 2; ++i) {
    CHECK(platform.ask(client_request("c" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.count("one") == 2);
  CHECK(platform.ask(client_request("d1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
}

// Guards against conductors killed for memory by a list: parsed values take many times the memory of their
// text.
TEST_CASE("A list with more values than the longest one has is refused, and the longest one is accepted") {
  constexpr int kMaxEntries = 4096;
  EventLog seen;
  ScriptedServer one(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(event_stream({"[DONE]"}));
    return true;
  }));
  const Platform::Instance w1{"w1", "mixto", one.address()};
  Platform platform({w1});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  std::string values = "0";
  for (int i = 0; i < 13 * kMaxEntries; ++i) values += ",0";
  platform.push("{\"version\":2,\"full\":true,\"servers\":[],\"more\":[" + values + "]}");
  // The list would be valid otherwise, and leave no instance.
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1", 2));
  CHECK(platform.ask(client_request("a1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  platform.break_watch();
  std::vector<Platform::Instance> longest{w1};
  while (longest.size() < kMaxEntries)
    longest.push_back({"w" + std::to_string(longest.size() + 1), "mixto", one.address()});
  platform.push(Platform::line(3, true, longest));
  platform.push("{\"version\":4,\"full\":true,\"servers\":[{\"id\":7}]}");
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=3 HTTP/1.1"));
}

// An agent's changes must take effect as soon as it is back. When the wait grew with the fleet, a conductor
// missed changes for 10 s and sent a request to an instance 1.3 s after its drain grace.
TEST_CASE(
    "A silent discovery is soon called again in any size of fleet, and its changes take effect at once") {
  EventLog first, second;
  const auto serves = [](TestConnection& wire, const Message&) {
    wire.send(event_stream({"{\"x\":1}", "[DONE]"}));
    return true;
  };
  ScriptedServer a(scripted_instance(first, serves)), b(scripted_instance(second, serves));
  nlohmann::json site = site_settings();
  site["nInstances"] = 300;
  const Platform::Instance w1{"w1", "mixto", a.address()}, w2{"w2", "mixto", b.address()};
  Platform platform({w1, w2}, site);
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1", 1, 4000));
  platform.watches.clear();
  platform.silence(true);
  platform.break_watch();
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  CHECK(platform.watches.all().size() >= 2);
  platform.push(Platform::line(2, false, {w1}, "DRAINING"));
  platform.silence(false);
  std::this_thread::sleep_for(std::chrono::milliseconds(900));  // less than the drain grace
  for (int i = 0; i < 6; ++i) {
    CHECK(platform.ask(client_request("q" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(first.all().empty());
  CHECK(second.count(kChat) == 6);
}

TEST_CASE("A discovery that refuses calls is called at growing intervals, and the watch is reopened later") {
  EventLog seen;
  ScriptedServer one([&seen](TestConnection& wire) {
    while (wire.receive()) {
      seen.add("one");
      wire.send(event_stream({"[DONE]"}));
    }
  });
  const Platform::Instance w1{"w1", "mixto", one.address()};
  Platform platform({{"w0", "mixto", "127.0.0.1:1"}});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  // A hundred conductors that each retried after a fixed 100 ms kept an overloaded discovery service full.
  platform.refuse_watches(true);
  platform.watches.clear();
  platform.break_watch();
  std::this_thread::sleep_for(std::chrono::milliseconds(1600));
  const int calls = int(platform.watches.all().size());
  CHECK(calls >= 2);
  CHECK(calls <= 5);  // the waits are at least 50, 100, 200, 400 and 800 ms
  platform.refuse_watches(false);
  platform.push(Platform::line(2, true, {w1}));
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1", calls + 1, 4000));
  CHECK(platform.ask(client_request("d1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  CHECK(seen.all() == std::vector<std::string>{"one"});
}

// If the connection of a stream that ends during the shutdown were kept, it could bring a request for which
// there is no time left.
TEST_CASE("SIGTERM: a connection closes with the end of its stream and takes no further request") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk("data: 1\n\n"));
    if (!seen.wait_for("told")) return false;
    wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const auto client = platform.connect();
  std::string request = client_request("first", "consulta", 5000, 100);
  request.erase(request.find("Connection: close\r\n"), 19);
  client->send(request);
  (void)client->receive_until("data: 1");
  platform.program().terminate();
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  client->send(client_request("second", "consulta", 5000, 100));
  seen.add("told");
  CHECK(client->receive_all().ends_with("0\r\n\r\n"));
  CHECK(platform.program().wait() == 0);
  CHECK(seen.count(kChat) == 1);
}

// If such requests were left until the process is killed, a KV cache would stay held and the client would get
// no response.
TEST_CASE("SIGTERM: unanswered requests are ended in time, and their held KV caches are released") {
  EventLog seen;
  ScriptedServer prefill_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    (void)wire.closed_within(9000);  // never answers
    return false;
  }));
  ScriptedServer decode_instance(scripted_instance(seen, [](TestConnection& wire, const Message&) {
    wire.send(plain_response("409 Conflict"));
    return true;
  }));
  Platform platform(
      {{"r", "lectura", prefill_instance.address()}, {"w", "escritura", decode_instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("stuck", "ajuste", 11000, 3000));
  REQUIRE(seen.wait_for(kChat));
  const auto expected = std::chrono::steady_clock::now();
  platform.program().terminate();
  // A prefill has no lasting effect, so the client may retry.
  CHECK(client->receive_all().starts_with("HTTP/1.1 503"));
  CHECK(platform.program().wait() == 0);
  CHECK(std::chrono::steady_clock::now() - expected < std::chrono::milliseconds(3700));
  CHECK(seen.wait_for("DELETE /bootstrap/rooms/stuck"));
}

TEST_CASE("SIGTERM: accepted requests and late connections are answered, then the program exits with 0") {
  EventLog seen;
  ScriptedServer decode_instance(scripted_instance(seen, [&](TestConnection& wire, const Message& m) {
    if (m.headers.at("x-txn") == "slow") seen.wait_for("late one answered");
    wire.send(event_stream({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w", "mixto", decode_instance.address()}});
  const auto idle = platform.connect();
  idle->send("GET /-/ready HTTP/1.1\r\n\r\n");
  CHECK(idle->receive()->status() == 200);
  const auto slow = platform.connect();
  slow->send(client_request("slow", "consulta", 5000, 100));
  REQUIRE(seen.wait_for(kChat));
  platform.program().terminate();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(platform.ask(client_request("late", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  seen.add("late one answered");
  CHECK(slow->receive_all().ends_with("0\r\n\r\n"));
  CHECK(idle->closed_within(3000));
  CHECK(platform.program().wait() == 0);
}

TEST_CASE(
    "Idle and silent connections are closed to make room for others, and an incomplete request gets 408") {
  Platform platform({});
  const std::string ask = "GET /-/ready HTTP/1.1\r\n\r\n";
  const auto half = platform.connect();
  half->send("POST /v1/chat/completions HTTP/1.1\r\nX-Txn:");
  std::vector<std::unique_ptr<TestConnection>> kept;
  const auto open_connections = [&](int count, const std::string& request) {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      kept.push_back(platform.connect());
      kept.back()->send(request);
      if (!request.empty() && kept.back()->receive_head().status() == 200) ++answered;
    }
    return answered;
  };
  CHECK(open_connections(220, ask) == 220);  // the limits of this platform leave about 250 for clients
  open_connections(60, "");
  CHECK(half->receive_head().status() == 408);
  CHECK(kept.back()->closed_within(3000));
  CHECK(open_connections(220, ask) == 220);
}

TEST_CASE("After a kept connection has broken under a request, an ajuste is sent on new connections only") {
  EventLog seen;
  // Answers the first request of each connection and resets the connection at the second one.
  ScriptedServer only([&](TestConnection& wire) {
    for (int asked = 0; const auto request = wire.receive(); ++asked) {
      if (request->first.starts_with("DELETE")) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      if (asked > 0) {
        seen.add("broke");
        return wire.reset();
      }
      wire.send(event_stream({"[DONE]"}));
    }
  });
  Platform platform({{"w", "mixto", only.address()}});
  for (int i = 0; i < 2; ++i) {
    CHECK(platform.ask(client_request("c" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(kReusableAfter);
  }
  CHECK(seen.count("broke") == 1);
  for (int i = 0; i < 4; ++i) {
    CHECK(platform.ask(client_request("a" + std::to_string(i), "ajuste", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.count("broke") == 1);
}

TEST_CASE(
    "A malformed response is a failed attempt that may have run, and malformed input "
    "after the first event ends the stream") {
  constexpr int kClientTimeMs = 5000;
  EventLog seen;
  const std::map<std::string, std::string> spoilt = {
      {"noise", "\x16\x03 noise"},
      {"unending", "HTTP/1.1 200 OK\r\nX-More: "},
      {"huge", stream_head() + "c0000000\r\ndata: x\n\n"},
      {"late", stream_head() + chunk("data: 1\n\n")},
  };
  const auto script = [&](TestConnection& wire, const Message& m) {
    const std::string& txn = m.headers.at("x-txn");
    const std::string kind = txn.substr(txn.find('-') + 1);
    const bool first = seen.count(kChat) == 1;
    if (spoilt.contains(kind) && first) {
      wire.send(spoilt.at(kind));
      if (kind == "late") {
        // Input that arrives together with the error would not be forwarded.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        wire.send("zz\r\n");
      }
      // A head that has begun is waited for as long as the client waits.
      if (wire.closed_within(kind == "unending" ? kClientTimeMs + 200 : 4000)) seen.add("closed");
      return false;
    }
    // Surplus responses: an interim one before the answer, a second answer after it.
    wire.send("HTTP/1.1 102 Processing\r\n\r\n" + event_stream({"[DONE]"}) + event_stream({"stray"}));
    return true;
  };
  ScriptedServer one(scripted_instance(seen, script)), two(scripted_instance(seen, script));
  for (const auto& [kind, text] : spoilt) {
    CAPTURE(kind);
    Platform platform({{"a", "mixto", one.address()}, {"b", "mixto", two.address()}});
    seen.clear();
    const std::string safe = platform.ask(client_request("c-" + kind, "consulta", kClientTimeMs, 100));
    CHECK(seen.wait_for("closed"));
    CHECK(seen.count(kChat) == (kind == "late" ? 1 : 2));
    CHECK(safe.ends_with("0\r\n\r\n") == (kind != "late"));
    CHECK_FALSE(contains_text(safe, "stray"));
    seen.clear();
    const std::string once = platform.ask(client_request("a-" + kind, "ajuste", kClientTimeMs, 100));
    CHECK(seen.wait_for("closed"));
    CHECK(seen.count(kChat) == 1);
    CHECK(once.starts_with(kind == "late" ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    CHECK_FALSE(once.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE("Connections are kept after their response unless the connection limit is nearly reached") {
  Platform platform({});
  std::vector<std::unique_ptr<TestConnection>> kept;
  const auto last_answer_ends_it = [&](int count) {
    Message answer;
    for (int i = 0; i < count; ++i) {
      kept.push_back(platform.connect());
      kept.back()->send("GET /-/ready HTTP/1.1\r\n\r\n");
      answer = kept.back()->receive_head();
    }
    return answer.status() == 200 && answer.headers.contains("connection") &&
           kept.back()->closed_within(3000);
  };
  CHECK_FALSE(last_answer_ends_it(100));
  CHECK(last_answer_ends_it(120));  // the limits of this platform leave about 250 for clients
  CHECK(kept.front()->closed_within(0) == false);
}

TEST_CASE(
    "Faulty requests of one client affect neither the health of an instance nor other clients' requests") {
  EventLog seen;
  std::atomic<bool> go_on{false};
  ScriptedServer only(scripted_instance(seen, [&](TestConnection& wire, const Message& m) {
    if (m.headers.at("x-txn") == "w") {
      for (int i = 0; i < 500 && !go_on; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const bool odd = m.headers.at("x-txn").starts_with("odd");
    wire.send(odd ? plain_response("404 Not Found", "no use\n") : event_stream({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w", "mixto", only.address()}});
  for (int i = 0; i < 5; ++i) {
    const std::string answer = platform.ask(client_request("odd" + std::to_string(i), "consulta", 5000, 100));
    CHECK(answer.starts_with("HTTP/1.1 404"));
    CHECK(answer.ends_with("no use\n"));
  }
  CHECK(seen.count(kChat) == 5);
  const auto open = platform.connect();
  open->send(client_request("w", "ajuste", 5000, 100));
  REQUIRE(seen.wait_for(kChat, 6));
  CHECK(platform.ask(client_request("w", "ajuste", 5000, 100)).starts_with("HTTP/1.1 409"));
  CHECK(
      platform
          .ask("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\n\r\n" +
               client_request("hidden", "consulta"))
          .starts_with("HTTP/1.1 400"));
  go_on = true;
  CHECK(open->receive_all().ends_with("0\r\n\r\n"));
  CHECK(seen.count(kChat) == 6);
  CHECK(platform.ask(client_request("w", "ajuste", 5000, 100)).starts_with("HTTP/1.1 409"));
  CHECK(platform.ask(client_request("next", "ajuste", 5000, 100)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count(kChat) == 7);
}

TEST_CASE("SIGHUP: a faulty file changes nothing, a valid one moves the watch, and no request is lost") {
  EventLog seen, watches, last_watches;
  std::atomic<bool> go_on{false};
  ScriptedServer old_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk("data: 1\n\n"));
    for (int i = 0; i < 500 && !go_on; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  ScriptedServer new_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    wire.send(event_stream({"new", "[DONE]"}));
    return true;
  }));
  ScriptedServer newest_instance(scripted_instance(seen, [&](TestConnection& wire, const Message&) {
    wire.send(event_stream({"newest", "[DONE]"}));
    return true;
  }));
  // Discovery services whose version numbers are lower than those that the program has seen.
  const auto discovery_with = [](EventLog& watched, const ScriptedServer& instance) {
    return [&](TestConnection& wire) {
      const auto request = wire.receive();
      wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk(Platform::line(0, true, {{"n", "mixto", instance.address()}}) + "\n"));
      watched.add(request ? request->first : "");
      while (!wire.closed_within(1000)) {
      }
    };
  };
  ScriptedServer moved(discovery_with(watches, new_instance));
  ScriptedServer moved_again(discovery_with(last_watches, newest_instance));
  Platform platform({{"o", "mixto", old_instance.address()}});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  const auto client = platform.connect();
  client->send(client_request("h1", "ajuste"));
  CHECK(contains_text(client->receive_until("data: 1"), " 200 "));

  platform.reload("{\"discovery\": 7");
  CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
  CHECK(platform.watches.all().size() == 1);

  nlohmann::json fresh = platform.config();
  fresh["discovery"] = moved.address();
  platform.reload(fresh.dump());
  platform.reload(fresh.dump());
  REQUIRE(watches.wait_for("GET /api/targets?follow=1 HTTP/1.1"));
  // This answer comes after the signals sent before it have been handled, so that the next reload opens one
  // watch, and the data sent to that watch is read before the stream ends.
  CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
  fresh["discovery"] = moved_again.address();
  platform.reload(fresh.dump());
  REQUIRE(last_watches.wait_for("GET /api/targets?follow=1 HTTP/1.1"));
  go_on = true;
  CHECK(client->receive_all().ends_with("0\r\n\r\n"));
  CHECK(contains_text(platform.ask(client_request("h2", "consulta")), "data: newest"));

  platform.program().terminate();
  platform.program().send_signal(SIGHUP);
  CHECK(platform.program().wait() == 0);
}
