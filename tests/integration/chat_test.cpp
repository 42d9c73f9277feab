// The chat API against scripted instances and hostile clients: streams that break off at any byte, slow
// clients, oversized and malformed requests, and many clients at once.
#include <atomic>
#include <catch2/catch.hpp>
#include <random>

#include "appliance_fixture.hpp"

using namespace integration;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

const std::string kEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"ok\"}}]}\n\n";

std::string whole_stream() { return stream_head() + chunk(kEvent) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"; }

ScriptedServer::Script answering(EventLog& seen) {
  return instance_script(seen, [](TestConnection& wire, const Message& m) {
    if (json::parse(m.body).value("stream", false)) {
      wire.send(whole_stream());
    } else {
      wire.send(plain_response("200 OK", "{\"choices\":[]}"));
    }
    return true;
  });
}

}  // namespace

TEST_CASE("Chat: a stream cut at any byte gives complete events, then the error event, never half a line") {
  EventLog seen;
  const std::string cut_event = "data: {\"choices\":[{\"delta\":{\"content\":\"never whole\"}}]}\n\n";
  std::atomic<std::size_t> cut{0};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk(kEvent) + (cut > 0 ? chunk(cut_event.substr(0, cut)) : ""));
    return false;
  }));
  Appliance appliance({one.address()});
  for (cut = 0; cut < cut_event.size(); ++cut) {
    const std::string answer = appliance.chat(Appliance::body("m-ajuste", true));
    INFO("cut at " << cut << ": " << answer);
    CHECK(contains(answer, kEvent));
    CHECK_FALSE(contains(answer, "never"));
    CHECK(contains(answer, "\r\ndata: {\"error\""));  // at the beginning of a chunk, and therefore of a line
    CHECK(contains(answer, "stream_broken"));
    CHECK_FALSE(contains(answer, "\r\n0\r\n"));
  }
  CHECK(seen.count(kChat) == int(cut_event.size()));
}

TEST_CASE("Chat: a stream end that is split within its last line end reaches the client complete") {
  EventLog seen;
  const std::string first = "data: {\"choices\":[]}\r\n\r\n", last = "data: [DONE]\r\n\r\n";
  for (std::size_t cut = last.size() - 4; cut < last.size(); ++cut) {
    EventLog client_progress;
    ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
      wire.send(stream_head() + chunk(first) + chunk(last.substr(0, cut)));
      if (!client_progress.wait_for("has the first")) return false;
      wire.send(chunk(last.substr(cut)) + "0\r\n\r\n");
      return true;
    }));
    Appliance appliance({one.address()});
    const auto client = appliance.connect();
    client->send(Appliance::request(Appliance::body("m-consulta", true)));
    std::string answer = client->receive_until(first);
    client_progress.add("has the first");
    answer += client->receive_all();
    INFO("cut at " << cut << ": " << answer);
    CHECK(contains(answer, last + "\r\n0\r\n\r\n"));
  }
}

TEST_CASE("Chat: a slow client applies back-pressure to its instance and still receives every byte") {
  EventLog seen;
  constexpr std::size_t kEvents = 4000, kSize = 8192;  // 32 MB
  std::atomic<std::size_t> sent{0};
  const std::string event = "data: {\"x\":\"" + std::string(kSize, 'x') + "\"}\n\n";
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head());
    for (std::size_t i = 0; i < kEvents; ++i) {
      wire.send(chunk(event));
      ++sent;
    }
    wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  Appliance appliance({one.address()});
  const auto client = appliance.connect();
  client->send(Appliance::request(Appliance::body("m-consulta", true)));
  // Wait until the instance can send no more: the data in flight then fills socket buffers and the program's.
  std::size_t before = 1;
  while (before != sent) {
    before = sent;
    std::this_thread::sleep_for(300ms);
  }
  CHECK(sent < kEvents / 2);
  const std::string answer = client->receive_all();
  CHECK(sent == kEvents);
  CHECK(answer.size() > kEvents * kSize);
  CHECK(contains(answer, "[DONE]"));
  CHECK_FALSE(contains(answer, "stream_broken"));
}

TEST_CASE("Chat: a consulta that fails at one instance is retried at the idle one every time") {
  EventLog good, bad;
  ScriptedServer failing(instance_script(bad, [](TestConnection& wire, const Message&) {
    wire.send(plain_response("500 Internal Server Error", "{\"error\":{\"message\":\"x\"}}"));
    return true;
  }));
  ScriptedServer serves(answering(good));
  Appliance appliance({failing.address(), serves.address()});
  for (int i = 0; i < 10; ++i) {
    CHECK(appliance.chat(Appliance::body("m-consulta", false)).starts_with("HTTP/1.1 200"));
  }
  CHECK(good.count(kChat) == 10);
}

// Guards against an ajuste that runs for a client whose time was up before its request was read.
TEST_CASE(
    "Chat: a request whose time was up while the process was held up is refused and reaches no instance") {
  constexpr std::chrono::milliseconds kDeadline{400}, kHoldUp{700};
  EventLog seen;
  ScriptedServer one(answering(seen));
  const json ajuste = {{"name", "ajuste"}, {"repeat", "never"}, {"deadline_s", kDeadline.count() / 1000.0}};
  const json consulta = {{"name", "consulta"}, {"repeat", "safe"}, {"deadline_s", 3}};
  Appliance appliance({one.address()}, {{"classes", {consulta, ajuste}}});
  const auto client = appliance.connect();
  appliance.program().send_signal(SIGSTOP);
  client->send(Appliance::request(Appliance::body("m-ajuste", true)));
  std::this_thread::sleep_for(kHoldUp);
  appliance.program().send_signal(SIGCONT);
  const std::string refused = client->receive_all();
  CHECK(refused.starts_with("HTTP/1.1 504"));
  CHECK(contains(refused, "no_box_in_time"));
  CHECK(seen.count(kChat) == 0);
  CHECK(appliance.chat(Appliance::body("m-ajuste", true)).starts_with("HTTP/1.1 200"));
}

// Guards against a client that waits for the time of all its tokens (140 s with the deploy file) because its
// instance has fallen silent within the answer.
TEST_CASE(
    "Chat: an instance that falls silent within an answer that is not streamed is given up within 5 s") {
  constexpr std::chrono::milliseconds kMinSilence = 4500ms, kMaxSilence = 5s, kSlack = 500ms;
  const std::string answer =
      plain_response("200 OK", "{\"choices\":[]}", "Content-Type: application/json\r\n");
  for (const auto& [model, expected] :
       {std::pair{"m-consulta", "HTTP/1.1 200"}, std::pair{"m-ajuste", "HTTP/1.1 502"}}) {
    EventLog seen;
    std::atomic<bool> silent{true};
    const auto script = instance_script(seen, [&](TestConnection& wire, const Message&) {
      if (!silent.exchange(false)) {
        wire.send(answer);
        return true;
      }
      wire.send(answer.substr(0, answer.size() - 1));
      return !wire.closed_within(60000);
    });
    ScriptedServer one(script), two(script);
    Appliance appliance({one.address(), two.address()});
    const auto begun = std::chrono::steady_clock::now();
    CHECK(appliance.chat(Appliance::body(model, false)).starts_with(expected));
    const auto waited = std::chrono::steady_clock::now() - begun;
    // A consulta's attempt is given up sooner where another box may serve it.
    if (model == std::string("m-ajuste")) CHECK(waited >= kMinSilence);
    CHECK(waited < kMaxSilence + kSlack);
  }
}

TEST_CASE("Chat: a client that sends 12 MB before it reads still receives its 413") {
  EventLog seen;
  ScriptedServer one(answering(seen));
  Appliance appliance({one.address()});
  const auto client = appliance.connect();
  client->send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 12582912\r\n\r\n");
  client->send(std::string(12582912, 'x'));
  const std::string answer = client->receive_all();
  CHECK(answer.starts_with("HTTP/1.1 413"));
  CHECK(json_body(answer)["error"]["code"] == "body_too_large");
  CHECK(contains(answer, "x-should-retry: false"));
  CHECK(seen.all().empty());
}

TEST_CASE(
    "Chat: prompts of 6 MB are served until body memory is used up, and then one gets 503 with Retry-After") {
  EventLog seen;
  ScriptedServer one(instance_script(seen, [](TestConnection& wire, const Message&) {
    std::this_thread::sleep_for(400ms);
    wire.send(plain_response("200 OK", "{\"choices\":[]}"));
    return true;
  }));
  Appliance appliance({one.address()}, {{"memory_mb", 64}});  // of which 12.8 MB are for bodies
  json body = json::parse(Appliance::body("m-consulta", false));
  body["messages"][0]["content"] = std::string(6 * 1024 * 1024, 'x');
  const std::string text = body.dump();
  std::vector<std::string> answers(3);
  std::vector<std::thread> clients;
  for (std::string& answer : answers) clients.emplace_back([&] { answer = appliance.chat(text); });
  for (std::thread& client : clients) client.join();
  const auto count = [&](const char* begin) {
    return std::ranges::count_if(answers, [&](const std::string& a) { return a.starts_with(begin); });
  };
  CHECK(count("HTTP/1.1 200") == 2);
  CHECK(count("HTTP/1.1 503") == 1);
  for (const std::string& answer : answers) {
    if (answer.starts_with("HTTP/1.1 503")) CHECK(contains(answer, "Retry-After-Ms: "));
  }
  CHECK(seen.count(kChat) == 2);
}

// Guards against one request that takes more memory than the process has: a parsed value takes many times the
// memory of its text.
TEST_CASE("Chat: the number of values in a request is limited by the memory") {
  constexpr int kValues = 100'000;
  EventLog seen;
  ScriptedServer one(instance_script(seen, [](TestConnection& wire, const Message&) {
    wire.send(plain_response("200 OK", "{\"choices\":[]}"));
    return true;
  }));
  json body = json::parse(Appliance::body("m-consulta", false));
  // A schema of a tool may hold anything.
  body["tools"] = {
      {{"type", "function"},
       {"function", {{"name", "f"}, {"parameters", {{"enum", json(std::vector<int>(kValues, 0))}}}}}}};
  Appliance small({one.address()}, {{"memory_mb", 32}, {"max_body_mib", 6}}), usual({one.address()});
  const std::string answer = small.chat(body.dump());
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(contains(answer, "values"));
  CHECK(seen.all().empty());
  CHECK(usual.chat(body.dump()).starts_with("HTTP/1.1 200"));
}

TEST_CASE("Chat: 10,000 malformed requests each get an error or a close, and none reaches an instance") {
  EventLog seen;
  ScriptedServer one(answering(seen));
  Appliance appliance({one.address()});
  std::mt19937 random(20261201);
  const std::string good = Appliance::body("m-ajuste", true);
  const auto draw = [&random](std::size_t most) { return std::size_t(random() % most); };
  // Every request is certainly malformed, in a randomly chosen way.
  const auto malformed_request = [&]() -> std::string {
    std::string body = good;
    json value = json::parse(good);
    static const json kWrong[] = {json::array(), json::object(), "x", -1, 1.5, true};
    static const char* const kHeads[] = {"Content-Length: +5",
                                         "Content-Length: -1",
                                         "Content-Length: 5, 5",
                                         "Transfer-Encoding: gzip",
                                         "X-A : b",
                                         " folded: x"};
    switch (draw(7)) {
      case 0:
        return Appliance::request(body.substr(0, draw(body.size())));
      case 1:
        body[draw(body.size() - 2) + 1] = char(0x80 + draw(64));
        return Appliance::request(body);
      case 2:
        value["messages"][0]["role"] = kWrong[draw(6)];
        return Appliance::request(value.dump());
      case 3:
        value["messages"][0]["content"] = kWrong[3 + draw(3)];
        return Appliance::request(value.dump());
      case 4:
        value["model"] = kWrong[draw(6)];
        return Appliance::request(value.dump());
      case 5:
        return "POST /v1/chat/completions HTTP/1.1\r\n" + std::string(kHeads[draw(6)]) + "\r\n\r\n" + body;
      default: {
        std::string noise;
        for (std::size_t i = draw(200) + 1; i > 0; --i) noise += char(draw(256));
        return "\x01" + noise;
      }
    }
  };
  int answered = 0, closed = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string text = malformed_request();
    const auto client = appliance.connect();
    REQUIRE(client != nullptr);
    client->send(text);
    const std::string answer = client->receive_all();
    if (answer.empty()) {
      ++closed;
      continue;
    }
    ++answered;
    const int status = std::stoi(answer.substr(9, 3));
    if (status < 400 || status > 505) FAIL_CHECK("served: " << text << "\n" << answer);
  }
  CHECK(answered + closed == 10'000);
  CHECK(answered > 9'000);
  CHECK(seen.all().empty());
  CHECK(contains(appliance.chat(good), "[DONE]"));
  // A build with sanitizers reports its findings at exit.
  appliance.program().terminate();
  CHECK(appliance.program().wait() == 0);
}

TEST_CASE(
    "Chat: 300 clients at once, a third hostile, one instance stops, one drains: valid ones are served") {
  EventLog seen;
  ScriptedServer first(answering(seen)), third(answering(seen));
  auto stopped = std::make_unique<ScriptedServer>(answering(seen));
  Appliance appliance({first.address(), stopped->address(), third.address()}, {{"idle_timeout_s", 1}});
  std::atomic<bool> finished{false};
  std::atomic<int> hostile_connected{0};
  std::vector<std::thread> clients;
  const std::string good = Appliance::request(Appliance::body("m-consulta", true));
  for (int i = 0; i < 100; ++i) {
    clients.emplace_back([&, i] {
      const auto wire = appliance.connect();
      ++hostile_connected;
      if (wire == nullptr) return;
      if (i % 4 == 0)
        wire->send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" +
                   std::string(1'000'000, 'x'));
      if (i % 4 == 1) wire->send(good.substr(0, good.size() / 2));
      for (std::size_t at = 0; i % 4 == 2 && at < good.size() && !finished; ++at) {
        wire->send(good.substr(at, 1));
        std::this_thread::sleep_for(20ms);
      }
      while (!finished) std::this_thread::sleep_for(10ms);  // the remaining clients send nothing at all
    });
  }
  std::atomic<int> served{0};
  EventLog other_answers;
  const auto run_valid_clients = [&] {
    std::vector<std::thread> valid_clients;
    for (int i = 0; i < 100; ++i) {
      valid_clients.emplace_back([&] {
        const std::string answer = Appliance::exchange(appliance.chat_address(), good);
        contains(answer, "[DONE]") ? void(++served) : other_answers.add(answer);
      });
    }
    for (std::thread& client : valid_clients) client.join();
  };
  while (hostile_connected < 100) std::this_thread::sleep_for(1ms);
  run_valid_clients();
  CHECK(appliance.page("POST", "/-/boxes/b3/drain").starts_with("HTTP/1.1 204"));
  stopped.reset();
  run_valid_clients();
  finished = true;
  for (std::thread& client : clients) client.join();
  CHECK(other_answers.all() == std::vector<std::string>{});
  CHECK(served == 200);
}
