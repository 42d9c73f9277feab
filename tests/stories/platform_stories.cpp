// The platform's protocol, one story for each way in which it can go wrong. No bench.
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>

#include "platform_world.hpp"

using namespace stories;

namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// Keeps a connection and answers each request by `reply`; notes method and target.
Peer::Script instance(Record& seen, const std::function<bool(Wire&, const Message&)>& reply) {
  return [&seen, reply](Wire& wire) {
    while (const auto request = wire.receive()) {
      seen.add(request->first.substr(0, request->first.rfind(' ')));
      if (request->first.starts_with("DELETE")) {
        wire.send(simple("204 No Content"));
      } else if (!reply(wire, *request)) {
        return;
      }
    }
  };
}

// After which a connection that was kept carries another request.
constexpr std::chrono::milliseconds kSettled{60};

const std::string kChat = "POST /v1/chat/completions?v=2";

}  // namespace

TEST_CASE("A request is read at a reader, its place held ahead, and answered by a writer, unchanged") {
  Record seen;
  Message read, written;
  Peer reader(instance(seen, [&](Wire& wire, const Message& m) {
    read = m;
    if (!seen.wait_for("POST /bootstrap/rooms/t1")) return false;  // the place is asked for while it reads
    wire.send(simple("202 Accepted", "{\"cached_tokens\":0}"));
    return true;
  }));
  Peer writer(instance(seen, [&](Wire& wire, const Message& m) {
    if (m.first.starts_with("POST /bootstrap")) {
      wire.send(simple("200 OK"));
    } else {
      written = m;
      wire.send(events({"{\"x\":1}", "[DONE]"}));
    }
    return true;
  }));
  nlohmann::json site = site_settings();
  site["categories"][0]["targetS"] = 0.1;  // the read takes most of it, so that a place is worth its price
  Platform platform({{"r", "lectura", reader.address()}, {"w", "escritura", writer.address()}}, site);
  const std::string body = "{\"model\":\"chat\", \"odd\":  [1,\t2]}";
  const std::string answer =
      platform.ask(client_request("t1", "consulta", 5000, 3000, "X-Own: a b  c\r\n", body));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(has(answer, "data: {\"x\":1}\n\n"));
  CHECK(answer.ends_with("0\r\n\r\n"));
  CHECK(seen.count(kChat) == 2);
  CHECK(seen.count("POST /bootstrap/rooms/t1") == 1);
  CHECK(seen.all().size() == 3);
  for (const Message& m : {read, written}) {
    CHECK(m.body == body);
    CHECK(m.headers.at("x-txn") == "t1");
    CHECK(m.headers.at("x-own") == "a b  c");
    CHECK(std::stoi(m.headers.at("x-remaining-ms")) <= 5000);
  }
}

// All told under the first tenant's name, the others would go beyond its share and wait behind everyone.
TEST_CASE("X-Org tells the tenant by the name that the settings give it") {
  Record seen;
  Peer writer(instance(seen, [&](Wire& wire, const Message&) {
    wire.send(events({"{\"x\":1}", "[DONE]"}));
    return true;
  }));
  nlohmann::json settings = site_settings();
  settings["tenants"] = {{{"name", "first"}, {"quotaRps", 9.0}, {"fraction", 0.5}},
                         {{"name", "second"}, {"quotaRps", 9.0}, {"fraction", 0.5}}};
  Platform platform({{"w", "escritura", writer.address()}}, settings);
  for (const char* org : {"second", "first", "nobody"}) {
    CHECK(platform.ask(client_request(org, "consulta", 5000, 100, std::string("X-Org: ") + org + "\r\n"))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(platform.ask(client_request("t9", "consulta", 5000, 100, "X-Org: " + std::string(200, 'x') + "\r\n"))
            .starts_with("HTTP/1.1 400"));
  platform.program().terminate();
  platform.program().wait();
  const std::string log = platform.program().output();
  for (const char* told : {"\"second\"", "\"first\"", "2"}) {  // the last has no share
    CHECK(has(log, "\"tenant\":" + std::string(told)));
  }
}

TEST_CASE("A client that leaves while its read is out ends the read at once, and its state is let go") {
  Record seen;
  Peer reader(instance(seen, [&](Wire& wire, const Message&) {
    if (wire.closed_within(3000)) seen.add("read ended");
    return false;
  }));
  Peer writer(instance(seen, [](Wire& wire, const Message&) {
    wire.send(simple("409 Conflict"));
    return true;
  }));
  Platform platform({{"r", "lectura", reader.address()}, {"w", "escritura", writer.address()}});
  const auto client = platform.connect();
  client->send(client_request("t2", "ajuste", 5000, 3000));
  REQUIRE(seen.wait_for(kChat));
  client->close();
  CHECK(seen.wait_for("read ended"));
  CHECK(seen.wait_for("DELETE /bootstrap/rooms/t2"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("An ajuste that may have run is not sent again, also not on a connection that was kept") {
  Record seen;
  Peer writer(instance(seen, [&](Wire& wire, const Message&) {
    if (seen.count(kChat) == 1) {
      wire.send(events({"[DONE]"}));
      return true;
    }
    wire.reset();
    return false;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
  CHECK(platform.ask(client_request("t3", "ajuste", 5000, 100)).starts_with("HTTP/1.1 200"));
  std::this_thread::sleep_for(kSettled);
  CHECK(platform.ask(client_request("t4", "ajuste", 5000, 100)).starts_with("HTTP/1.1 502"));
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE("A consulta is tried at another instance after a reset") {
  Record seen;
  const auto reply = [&](Wire& wire, const Message&) {
    if (seen.count(kChat) == 1) {
      wire.reset();
      return false;
    }
    wire.send(events({"[DONE]"}));
    return true;
  };
  Peer one(instance(seen, reply)), two(instance(seen, reply));
  Platform platform({{"w1", "mixto", one.address()}, {"w2", "mixto", two.address()}});
  CHECK(platform.ask(client_request("t5", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE("An ajuste whose last byte was never written never ran, and may go elsewhere") {
  Record seen;
  // This one's buffers hold less than the request; it reads nothing and breaks off.
  Peer stuck(
      [&](Wire& wire) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        seen.add("broken off");
        wire.reset();
      },
      4096);
  Peer well(instance(seen, [](Wire& wire, const Message&) {
    wire.send(events({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w1", "mixto", stuck.address()}});
  const auto client = platform.connect();
  // Larger than what both sides of the connection buffer.
  client->send(client_request("t6", "ajuste", 8000, 100, "", std::string(250 * 1024, 'x')));
  platform.push(Platform::line(2, false, {{"w2", "mixto", well.address()}}));
  CHECK(has(client->receive_all(), "HTTP/1.1 200"));
  CHECK(seen.all() == std::vector<std::string>{"broken off", kChat});
}

TEST_CASE("A stream that breaks ends without the last chunk") {
  Record seen;
  Peer writer(instance(seen, [](Wire& wire, const Message&) {
    wire.send(stream_head() + chunk("data: {\"x\":1}\n\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return false;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
  const std::string answer = platform.ask(client_request("t7", "consulta", 5000, 100));
  CHECK(has(answer, "data: {\"x\":1}\n\n"));
  CHECK_FALSE(has(answer, "\r\n0\r\n"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("Events pass on as they come, not at the end") {
  Record seen;
  Peer writer(instance(seen, [&](Wire& wire, const Message&) {
    wire.send(stream_head() + chunk("data: one\n\n"));
    seen.wait_for("client has one");
    wire.send(chunk("data: two\n\n") + "0\r\n\r\n");
    return true;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
  const auto client = platform.connect();
  client->send(client_request("t8", "consulta", 5000, 100));
  CHECK(has(client->receive_until("data: one\n\n"), "data: one"));
  seen.add("client has one");
  CHECK(has(client->receive_all(), "data: two\n\n"));
}

TEST_CASE("With a silent instance the client gets one answer at its deadline, and the attempt is closed") {
  Record seen;
  Peer writer(instance(seen, [&](Wire& wire, const Message&) {
    if (wire.closed_within(5000)) seen.add("attempt closed");
    return false;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
  const auto client = platform.connect();
  client->send(client_request("t9", "ajuste", 400, 100));
  const std::string answer = client->receive_all();
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.find("HTTP/1.1", 8) == std::string::npos);
  CHECK(seen.wait_for("attempt closed"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("A release is tried until it has arrived") {
  Record seen;
  Peer reader([&](Wire& wire) {
    const auto request = wire.receive();
    if (!request) return;
    seen.add(request->first.substr(0, request->first.find(' ')));
    if (request->first.starts_with("POST")) {
      if (wire.closed_within(3000)) seen.add("read ended");
    } else if (seen.count("DELETE") < 3) {
      wire.reset();  // lost twice
    } else {
      wire.send(simple("204 No Content"));
    }
  });
  Peer writer(instance(seen, [](Wire& wire, const Message&) {
    wire.send(simple("409 Conflict"));
    return true;
  }));
  Platform platform({{"r", "lectura", reader.address()}, {"w", "escritura", writer.address()}});
  const auto client = platform.connect();
  client->send(client_request("t10", "consulta", 5000, 3000));
  REQUIRE(seen.wait_for("POST"));
  client->close();
  CHECK(seen.wait_for("DELETE", 3));
}

TEST_CASE("A refusal by full instances is passed on with advice when to come back") {
  Record seen;
  Peer writer(instance(seen, [](Wire& wire, const Message&) {
    wire.send(simple("503 Service Unavailable", "", "X-Turned-Away: 1\r\n"));
    return true;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
  const std::string answer = platform.ask(client_request("t11", "ajuste", 700, 100));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(has(answer, "Retry-After: "));
}

TEST_CASE("What is not as the protocol says gets 400 or 413, and the program lives on") {
  Record seen;
  Peer writer(instance(seen, [](Wire& wire, const Message&) {
    wire.send(events({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
  const std::string good = client_request("t12", "consulta", 5000, 100);
  const auto without = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::pair<const char*, std::string> bad[] = {
      {"X-Txn", without("X-Txn: t12\r\n", "")},
      {"X-Txn", without("X-Txn: t12", "X-Txn: ../../x")},
      {"X-Lane", without("X-Lane: consulta", "X-Lane: other")},
      {"X-Entity", without("X-Entity: s-t12\r\n", "")},
      {"X-Remaining-Ms", without("X-Remaining-Ms: 5000", "X-Remaining-Ms: soon")},
      {"X-Remaining-Ms", without("X-Remaining-Ms: 5000", "X-Remaining-Ms: -1")},
      {"prompt_len", without("prompt_len=100", "prompt_len=99999999999999999999")},
      {"X-Labels", without("prompt_len=100", "nonsense")},
  };
  for (const auto& [name, request] : bad) {
    const std::string answer = platform.ask(request);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(has(answer, name));
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
    "A drain that was told stops new work, and a broken line keeps the list, and a broken watch is opened "
    "again") {
  Record seen;
  const auto noting = [&seen](const std::string& name) {
    return [&seen, name](Wire& wire) {
      while (wire.receive()) {
        seen.add(name);
        wire.send(events({"[DONE]"}));
      }
    };
  };
  Peer one(noting("one")), two(noting("two"));
  const Platform::Instance w1{"w1", "mixto", one.address()}, w2{"w2", "mixto", two.address()};
  Platform platform({w1});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  CHECK(platform.ask(client_request("a1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  platform.push(Platform::line(2, false, {w2}));
  platform.push(Platform::line(3, false, {w1}, "DRAINING"));
  platform.push("{\"version\":4,\"full\":true,\"servers\":[{\"id\":7}]}");
  // The line that makes no sense is asked for again, from the last version that did.
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=3 HTTP/1.1"));
  for (int i = 0; i < 5; ++i) {
    CHECK(platform.ask(client_request("b" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.all() == std::vector<std::string>{"one", "two", "two", "two", "two", "two"});
  platform.break_watch();
  CHECK(platform.watches.wait_for("GET /api/targets?follow=1&since=3 HTTP/1.1", 2));
  // One of the two is there at every moment, whichever line the program has come to.
  platform.push(Platform::line(5, false, {w1}));
  platform.push(Platform::line(6, false, {w2}, "DELETED"));
  for (int i = 0; i < 100 && seen.count("one") < 2; ++i) {
    CHECK(platform.ask(client_request("c" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.count("one") == 2);
  CHECK(platform.ask(client_request("d1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
}

// What an agent has counts as told from the moment it is back. A wait that grew with the fleet left a
// conductor blind for 10 s after that, and it sent to a box 1.3 s past its drain's grace.
TEST_CASE("A silent discovery is called again soon, however large the fleet, and its news counts at once") {
  Record first, second;
  const auto serves = [](Wire& wire, const Message&) {
    wire.send(events({"{\"x\":1}", "[DONE]"}));
    return true;
  };
  Peer a(instance(first, serves)), b(instance(second, serves));
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
  std::this_thread::sleep_for(std::chrono::milliseconds(900));  // less than the drain's grace
  for (int i = 0; i < 6; ++i) {
    CHECK(platform.ask(client_request("q" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(first.all().empty());
  CHECK(second.count(kChat) == 6);
}

TEST_CASE("A discovery that turns every call away is called ever less often, and the watch comes back") {
  Record seen;
  Peer one([&seen](Wire& wire) {
    while (wire.receive()) {
      seen.add("one");
      wire.send(events({"[DONE]"}));
    }
  });
  const Platform::Instance w1{"w1", "mixto", one.address()};
  Platform platform({{"w0", "mixto", "127.0.0.1:1"}});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  // A hundred conductors that each called again after a fixed 100 ms kept an overbooked discovery full.
  platform.refuse_watches(true);
  platform.watches.clear();
  platform.break_watch();
  std::this_thread::sleep_for(std::chrono::milliseconds(1600));
  const int calls = int(platform.watches.all().size());
  CHECK(calls >= 2);
  CHECK(calls <= 5);  // waits of at least 50, 100, 200, 400 and 800 ms
  platform.refuse_watches(false);
  platform.push(Platform::line(2, true, {w1}));
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1", calls + 1, 4000));
  CHECK(platform.ask(client_request("d1", "consulta", 5000, 100)).starts_with("HTTP/1.1 200"));
  CHECK(seen.all() == std::vector<std::string>{"one"});
}

// Kept, the connection of a stream that ends after the word to end would bring a request there is no time
// for.
TEST_CASE("SIGTERM: a connection ends with the stream that it carries, and takes no next request") {
  Record seen;
  Peer writer(instance(seen, [&](Wire& wire, const Message&) {
    wire.send(stream_head() + chunk("data: 1\n\n"));
    if (!seen.wait_for("told")) return false;
    wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
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

// Killed with it, the process would leave a state pinned and a client without a word.
TEST_CASE("SIGTERM: what has not begun is given up before the kill, with what is held for it") {
  Record seen;
  Peer reader(instance(seen, [&](Wire& wire, const Message&) {
    (void)wire.closed_within(9000);  // reads for ever
    return false;
  }));
  Peer writer(instance(seen, [](Wire& wire, const Message&) {
    wire.send(simple("409 Conflict"));
    return true;
  }));
  Platform platform({{"r", "lectura", reader.address()}, {"w", "escritura", writer.address()}});
  const auto client = platform.connect();
  client->send(client_request("stuck", "ajuste", 11000, 3000));
  REQUIRE(seen.wait_for(kChat));
  const auto told = std::chrono::steady_clock::now();
  platform.program().terminate();
  CHECK(client->receive_all().starts_with("HTTP/1.1 503"));  // a read has no effect: it may come again
  CHECK(platform.program().wait() == 0);
  CHECK(std::chrono::steady_clock::now() - told < std::chrono::milliseconds(3700));
  CHECK(seen.wait_for("DELETE /bootstrap/rooms/stuck"));
}

TEST_CASE("SIGTERM: what was taken is answered, late connections too, then the program ends well") {
  Record seen;
  Peer writer(instance(seen, [&](Wire& wire, const Message& m) {
    if (m.headers.at("x-txn") == "slow") seen.wait_for("late one answered");
    wire.send(events({"[DONE]"}));
    return true;
  }));
  Platform platform({{"w", "mixto", writer.address()}});
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
    "Connections that ask once and stay, or say nothing, make room for others, and half a request gets 408") {
  Platform platform({});
  const std::string ask = "GET /-/ready HTTP/1.1\r\n\r\n";
  const auto half = platform.connect();
  half->send("POST /v1/chat/completions HTTP/1.1\r\nX-Txn:");
  std::vector<std::unique_ptr<Wire>> kept;
  const auto keep = [&](int count, const std::string& request) {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      kept.push_back(platform.connect());
      kept.back()->send(request);
      if (!request.empty() && kept.back()->receive_head().status() == 200) ++answered;
    }
    return answered;
  };
  CHECK(keep(220, ask) == 220);  // of about 250 that the limits of this platform leave for clients
  keep(60, "");
  CHECK(half->receive_head().status() == 408);
  CHECK(kept.back()->closed_within(3000));
  CHECK(keep(220, ask) == 220);
}

TEST_CASE("Once a kept connection has broken under a request, no ajuste is written to another one") {
  Record seen;
  // Answers once on each connection and resets it when the next request has come.
  Peer only([&](Wire& wire) {
    for (int asked = 0; const auto request = wire.receive(); ++asked) {
      if (request->first.starts_with("DELETE")) {
        wire.send(simple("204 No Content"));
        continue;
      }
      if (asked > 0) {
        seen.add("broke");
        return wire.reset();
      }
      wire.send(events({"[DONE]"}));
    }
  });
  Platform platform({{"w", "mixto", only.address()}});
  for (int i = 0; i < 2; ++i) {
    CHECK(platform.ask(client_request("c" + std::to_string(i), "consulta", 5000, 100))
              .starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(kSettled);
  }
  CHECK(seen.count("broke") == 1);
  for (int i = 0; i < 4; ++i) {
    CHECK(platform.ask(client_request("a" + std::to_string(i), "ajuste", 5000, 100))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.count("broke") == 1);
}

TEST_CASE(
    "A spoilt answer is a failed attempt that may have run, and one spoilt after its first event ends the "
    "client") {
  Record seen;
  const std::map<std::string, std::string> spoilt = {
      {"noise", "\x16\x03 noise"},
      {"unending", "HTTP/1.1 200 OK\r\nX-More: "},
      {"huge", stream_head() + "c0000000\r\ndata: x\n\n"},
      {"late", stream_head() + chunk("data: 1\n\n")},
  };
  const auto script = [&](Wire& wire, const Message& m) {
    const std::string& txn = m.headers.at("x-txn");
    const std::string kind = txn.substr(txn.find('-') + 1);
    const bool first = seen.count(kChat) == 1;
    if (spoilt.contains(kind) && first) {
      wire.send(spoilt.at(kind));
      if (kind == "late") {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));  // what comes with it was not passed on
        wire.send("zz\r\n");
      }
      if (wire.closed_within(4000)) seen.add("closed");
      return false;
    }
    // More than belongs to it: interim answers ahead, a second answer behind.
    wire.send("HTTP/1.1 102 Processing\r\n\r\n" + events({"[DONE]"}) + events({"stray"}));
    return true;
  };
  Peer one(instance(seen, script)), two(instance(seen, script));
  for (const auto& [kind, text] : spoilt) {
    CAPTURE(kind);
    Platform platform({{"a", "mixto", one.address()}, {"b", "mixto", two.address()}});
    seen.clear();
    const std::string safe = platform.ask(client_request("c-" + kind, "consulta", 5000, 100));
    CHECK(seen.wait_for("closed"));
    CHECK(seen.count(kChat) == (kind == "late" ? 1 : 2));
    CHECK(safe.ends_with("0\r\n\r\n") == (kind != "late"));
    CHECK_FALSE(has(safe, "stray"));
    seen.clear();
    const std::string once = platform.ask(client_request("a-" + kind, "ajuste", 5000, 100));
    CHECK(seen.wait_for("closed"));
    CHECK(seen.count(kChat) == 1);
    CHECK(once.starts_with(kind == "late" ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    CHECK_FALSE(once.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE(
    "Where connections are nearly used up, none is kept beyond its answer, and before that they are kept") {
  Platform platform({});
  std::vector<std::unique_ptr<Wire>> kept;
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
  CHECK(last_answer_ends_it(120));  // of about 250 that the limits of this platform leave for clients
  CHECK(kept.front()->closed_within(0) == false);
}

TEST_CASE("What a client got wrong costs no instance its good name, and no other client its request") {
  Record seen;
  std::atomic<bool> go_on{false};
  Peer only(instance(seen, [&](Wire& wire, const Message& m) {
    if (m.headers.at("x-txn") == "w") {
      for (int i = 0; i < 500 && !go_on; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const bool odd = m.headers.at("x-txn").starts_with("odd");
    wire.send(odd ? simple("404 Not Found", "no use\n") : events({"[DONE]"}));
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
  CHECK(platform.ask(client_request("w", "ajuste", 5000, 100)).starts_with("HTTP/1.1 200"));
}

TEST_CASE("SIGHUP: a faulty file changes nothing, and a good one moves the watch, and no request is lost") {
  Record seen, watches, last_watches;
  std::atomic<bool> go_on{false};
  Peer old_box(instance(seen, [&](Wire& wire, const Message&) {
    wire.send(stream_head() + chunk("data: 1\n\n"));
    for (int i = 0; i < 500 && !go_on; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  Peer new_box(instance(seen, [&](Wire& wire, const Message&) {
    wire.send(events({"new", "[DONE]"}));
    return true;
  }));
  Peer newest_box(instance(seen, [&](Wire& wire, const Message&) {
    wire.send(events({"newest", "[DONE]"}));
    return true;
  }));
  // Discoveries that count their versions from below what the program knows.
  const auto discovery_with = [](Record& watched, const Peer& box) {
    return [&](Wire& wire) {
      const auto request = wire.receive();
      wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk(Platform::line(0, true, {{"n", "mixto", box.address()}}) + "\n"));
      watched.add(request ? request->first : "");
      while (!wire.closed_within(1000)) {
      }
    };
  };
  Peer moved(discovery_with(watches, new_box));
  Peer moved_again(discovery_with(last_watches, newest_box));
  Platform platform({{"o", "mixto", old_box.address()}});
  REQUIRE(platform.watches.wait_for("GET /api/targets?follow=1&since=1 HTTP/1.1"));
  const auto client = platform.connect();
  client->send(client_request("h1", "ajuste"));
  CHECK(has(client->receive_until("data: 1"), " 200 "));

  platform.reload("{\"discovery\": 7");
  CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
  CHECK(platform.watches.all().size() == 1);

  nlohmann::json fresh = platform.config();
  fresh["discovery"] = moved.address();
  platform.reload(fresh.dump());
  platform.reload(fresh.dump());
  REQUIRE(watches.wait_for("GET /api/targets?follow=1 HTTP/1.1"));
  // Its answer comes after every signal sent before it was handled, so that the next reload opens one watch,
  // and what that watch was sent is read before the stream ends.
  CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
  fresh["discovery"] = moved_again.address();
  platform.reload(fresh.dump());
  REQUIRE(last_watches.wait_for("GET /api/targets?follow=1 HTTP/1.1"));
  go_on = true;
  CHECK(client->receive_all().ends_with("0\r\n\r\n"));
  CHECK(has(platform.ask(client_request("h2", "consulta")), "data: newest"));

  platform.program().terminate();
  platform.program().send_signal(SIGHUP);
  CHECK(platform.program().wait() == 0);
}
