// Process-level tests of the appliance: the OpenAI-style front, its instances, load balancer checks and
// console.
#include <catch2/catch.hpp>
#include <csignal>

#include "app/console.hpp"
#include "appliance_fixture.hpp"

using namespace integration;
using nlohmann::json;

TEST_CASE("Chat: streamed and complete answers are forwarded unchanged") {
  EventLog seen;
  ScriptedServer one(instance_script(seen, [](TestConnection& wire, const Message& m) {
    if (json::parse(m.body)["stream"] == true) {
      wire.send(event_stream({"{\"choices\":[{\"delta\":{\"content\":\"ok\"}}]}", "[DONE]"}));
    } else {
      wire.send(
          plain_response("200 OK", "{\"object\":\"chat.completion\"}", "Content-Type: application/json\r\n"));
    }
    return true;
  }));
  Appliance appliance({one.address()});
  const std::string streamed = appliance.chat(Appliance::body("m-consulta", true));
  CHECK(contains(streamed, "text/event-stream"));
  CHECK(contains(streamed, "data: {\"choices\":[{\"delta\":{\"content\":\"ok\"}}]}\n\n"));
  CHECK(contains(streamed, "data: [DONE]\n\n"));
  const std::string whole = appliance.chat(Appliance::body("m-ajuste", false));
  CHECK(whole.starts_with("HTTP/1.1 200"));
  CHECK(json_body(whole)["object"] == "chat.completion");
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE("Chat: models are listed and an invalid request gets a 400 or 404 that names the field") {
  EventLog seen;
  ScriptedServer one(instance_script(seen, [](TestConnection&, const Message&) { return false; }));
  Appliance appliance({one.address()});
  CHECK(json_body(appliance.get("/v1/models"))["data"][1]["id"] == "m-ajuste");
  CHECK(json_body(appliance.get("/v1/models/m-ajuste"))["object"] == "model");
  CHECK(appliance.get("/v1/models/other").starts_with("HTTP/1.1 404"));
  CHECK(appliance.get("/v1/chat/completions").starts_with("HTTP/1.1 405"));
  const std::pair<const char*, json> invalid[] = {
      {R"({"model": )", nullptr},
      {R"([1, 2])", nullptr},
      {R"({"messages": [{"role": "user", "content": "x"}]})", "model"},
      {R"({"model": "other", "messages": [{"role": "user", "content": "x"}]})", "model"},
      {R"({"model": "m-ajuste"})", "messages"},
      {R"({"model": "m-ajuste", "messages": []})", "messages"},
      {R"({"model": "m-ajuste", "messages": [{"content": "x"}]})", "messages[0].role"},
      {R"({"model": "m-ajuste", "messages": [{"role": "user", "content": 7}]})", "messages[0].content"},
      {R"({"model": "m-ajuste", "stream": 1, "messages": [{"role": "user", "content": "x"}]})", "stream"},
      {R"({"model": "m-ajuste", "max_tokens": -1, "messages": [{"role": "user", "content": "x"}]})",
       "max_tokens"},
  };
  for (const auto& [body, param] : invalid) {
    const std::string answer = appliance.chat(body);
    CHECK(answer.starts_with(contains(body, "other") ? "HTTP/1.1 404" : "HTTP/1.1 400"));
    const json error = json_body(answer)["error"];
    CHECK(error["type"] == "invalid_request_error");
    CHECK(error["param"] == param);
  }
  CHECK(seen.all().empty());
}

TEST_CASE(
    "Chat: a client disconnect during a stream ends the attempt and a request with effect is not retried") {
  EventLog seen;
  const auto chat = [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk("data: {\"x\":1}\n\n"));
    if (wire.closed_within(3000)) seen.add("stream ended");
    return false;
  };
  ScriptedServer one(instance_script(seen, chat)), two(instance_script(seen, chat));
  Appliance appliance({one.address(), two.address()});
  const auto client = appliance.connect();
  client->send(Appliance::request(Appliance::body("m-ajuste", true)));
  CHECK(contains(client->receive_until("data: {\"x\":1}\n\n"), "data: "));
  client->close();
  CHECK(seen.wait_for("stream ended"));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(seen.all() == std::vector<std::string>{kChat, "stream ended"});
}

TEST_CASE("Chat: an error event after partial output is forwarded and no other answer follows") {
  EventLog seen;
  const std::string error = R"({"error":{"message":"out of memory","type":"server_error"}})";
  const auto chat = [&](TestConnection& wire, const Message&) {
    wire.send(event_stream({"{\"x\":1}", error}));
    return true;
  };
  ScriptedServer one(instance_script(seen, chat)), two(instance_script(seen, chat));
  Appliance appliance({one.address(), two.address()});
  const std::string answer = appliance.chat(Appliance::body("m-consulta", true));
  CHECK(contains(answer, "data: {\"x\":1}\n\n"));
  CHECK(contains(answer, "data: " + error + "\n\n"));
  CHECK(count_responses(answer) == 1);
  CHECK_FALSE(contains(answer, "\r\n0\r\n"));  // an incomplete stream has no final chunk
  CHECK(seen.count(kChat) == 1);
  CHECK(json_body(appliance.page("GET", "/-/status"))["requests"]["broken"] == 1);
}

TEST_CASE("Chat: a stream that ends early gets an error event from the conductor") {
  EventLog seen;
  ScriptedServer one(instance_script(seen, [](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk("data: {\"x\":1}\n\n"));
    return false;
  }));
  Appliance appliance({one.address()});
  const std::string answer = appliance.chat(Appliance::body("m-ajuste", true));
  CHECK(contains(answer, "data: {\"x\":1}\n\n"));
  CHECK(contains(answer, "\"code\":\"stream_broken\""));
  CHECK_FALSE(contains(answer, "\r\n0\r\n"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("Chat: the client gets exactly one final answer for each kind of instance error") {
  struct Case {
    const char* status;
    const char* headers;
    const char* model;
    int answer;
    int min_attempts, max_attempts;
    bool may_retry;  // whether the client may retry
  };
  const Case cases[] = {
      {"400 Bad Request", "", "m-ajuste", 400, 1, 1,
       false},  // invalid request: the instance's answer is final
      {"500 Internal Server Error", "", "m-ajuste", 502, 1, 1, false},  // may have run: not retried
      {"500 Internal Server Error", "", "m-consulta", 502, 2, 3, true},
      {"503 Service Unavailable", "", "m-ajuste", 502, 1, 1, false},  // does not prove that it was not run
      {"429 Too Many Requests", "", "m-ajuste", 503, 1, 3, true},     // proves that it was not run
      {"503 Service Unavailable", "X-Turned-Away: 1\r\n", "m-ajuste", 503, 1, 3, true},
  };
  for (const Case& c : cases) {
    for (const bool stream : {true, false}) {
      EventLog seen;
      const auto chat = [&](TestConnection& wire, const Message&) {
        wire.send(plain_response(c.status, "{\"error\":{\"message\":\"no\"}}", c.headers));
        return true;
      };
      ScriptedServer one(instance_script(seen, chat)), two(instance_script(seen, chat));
      Appliance appliance({one.address(), two.address()});
      const std::string answer = appliance.chat(Appliance::body(c.model, stream));
      INFO(c.status << " " << c.model << " " << answer);
      CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(c.answer)));
      CHECK(count_responses(answer) == 1);
      CHECK(json_body(answer).contains("error"));
      CHECK(contains(answer, "Retry-After: ") == c.may_retry);
      CHECK(contains(answer, std::string("x-should-retry: ") + (c.may_retry ? "true" : "false")));
      CHECK(contains(answer, "nothing was run") == (c.answer == 503));
      CHECK(seen.count(kChat) >= c.min_attempts);
      CHECK(seen.count(kChat) <= c.max_attempts);
    }
  }
}

TEST_CASE("Chat: an unstreamed answer that ends early is retried if the class permits") {
  EventLog seen;
  const auto chat = [&](TestConnection& wire, const Message&) {
    if (seen.count(kChat) == 1) {
      wire.send("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"half\":");
      return false;
    }
    wire.send(plain_response("200 OK", "{\"whole\":1}"));
    return true;
  };
  ScriptedServer one(instance_script(seen, chat)), two(instance_script(seen, chat));
  Appliance appliance({one.address(), two.address()});
  CHECK(json_body(appliance.chat(Appliance::body("m-consulta", false)))["whole"] == 1);
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE("Checks: agent-check, health and console reflect instance state, drains and shutdown") {
  EventLog seen;
  ScriptedServer one(instance_script(seen, [](TestConnection&, const Message&) { return false; }));
  auto two = std::make_unique<ScriptedServer>(
      instance_script(seen, [](TestConnection&, const Message&) { return false; }));
  Appliance appliance({one.address(), two->address()});
  CHECK(appliance.agent_reports("up 100%\n"));
  CHECK(appliance.get("/-/healthy").starts_with("HTTP/1.1 200"));

  CHECK(appliance.page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 204"));
  CHECK(appliance.page("POST", "/-/boxes/other/drain").starts_with("HTTP/1.1 404"));
  CHECK(appliance.agent() == "up 50%\n");
  Program console({"console", "--once", "--connect", appliance.page_address()}, {});
  CHECK(console.wait() == 0);
  CHECK(contains(console.output(), "caja   up 50%"));
  CHECK(contains(console.output(), "b1"));
  CHECK(contains(console.output(), "drain"));

  two.reset();  // the instance stops
  CHECK(appliance.agent_reports("down\n"));
  CHECK(appliance.get("/-/healthy").starts_with("HTTP/1.1 503"));
  CHECK(appliance.page("POST", "/-/boxes/b1/resume").starts_with("HTTP/1.1 204"));
  CHECK(appliance.agent() == "up 50%\n");
  CHECK(appliance.page("POST", "/-/drain").starts_with("HTTP/1.1 204"));
  CHECK(appliance.agent() == "drain\n");
  CHECK(appliance.page("POST", "/-/resume").starts_with("HTTP/1.1 204"));
  appliance.program().terminate();
  CHECK(appliance.agent_reports("drain\n"));
  CHECK(appliance.program().wait() == 0);
}

TEST_CASE("A drained instance gets no new requests and the others do") {
  EventLog seen;
  const auto recording_script = [&seen](const std::string& name) {
    return [&seen, name](TestConnection& wire, const Message&) {
      seen.add(name);
      wire.send(event_stream({"[DONE]"}));
      return true;
    };
  };
  EventLog requests;
  ScriptedServer one(instance_script(requests, recording_script("one"))),
      two(instance_script(requests, recording_script("two")));
  Appliance appliance({one.address(), two.address()});
  CHECK(appliance.page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 204"));
  for (int i = 0; i < 4; ++i) {
    CHECK(appliance.chat(Appliance::body("m-consulta", true)).starts_with("HTTP/1.1 200"));
  }
  CHECK(seen.all() == std::vector<std::string>(4, "two"));
}

TEST_CASE("SIGHUP: the appliance reloads instances and models, keeps drains and ignores an invalid file") {
  EventLog first_seen, second_seen;
  const auto answer = [](TestConnection& wire, const Message&) {
    wire.send(event_stream({"{}", "[DONE]"}));
    return true;
  };
  ScriptedServer one(instance_script(first_seen, answer)), two(instance_script(second_seen, answer));
  Appliance appliance({one.address()});
  CHECK(appliance.page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 204"));
  json new_file = appliance.file();
  new_file["boxes"].push_back({{"id", "b2"}, {"address", two.address()}});
  new_file["models"].push_back({{"name", "m-new"}, {"class", "consulta"}});
  appliance.reload(new_file);
  for (int i = 0; i < 250 && !contains(appliance.get("/v1/models"), "m-new"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(contains(appliance.chat(Appliance::body("m-new", true)), "[DONE]"));
  CHECK(first_seen.count(kChat) == 0);
  CHECK(second_seen.count(kChat) == 1);
  new_file["boxes"] = json::array();
  appliance.reload(new_file);
  CHECK(contains(appliance.chat(Appliance::body("m-new", true)), "[DONE]"));
}

// Guards against requests to a machine that an operator has taken out, because its address was changed.
TEST_CASE("SIGHUP: a drained instance stays drained at another address, and can be resumed there") {
  EventLog seen;
  const auto answer = [](TestConnection&, const Message&) { return false; };
  ScriptedServer before(instance_script(seen, answer)), after(instance_script(seen, answer));
  Appliance appliance({before.address()});
  const auto box = [&appliance] { return json_body(appliance.page("GET", "/-/status"))["boxes"][0]; };
  CHECK(appliance.page("POST", "/-/boxes/b1/drain").starts_with("HTTP/1.1 204"));
  CHECK(box()["state"] == "drain");
  json new_file = appliance.file();
  new_file["boxes"][0]["address"] = after.address();
  appliance.reload(new_file);
  for (int i = 0; i < 250 && box()["address"] != after.address(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(box()["address"] == after.address());
  CHECK(box()["state"] == "drain");
  CHECK(appliance.page("POST", "/-/boxes/b1/resume").starts_with("HTTP/1.1 204"));
  CHECK(box()["state"] == "up");
}

TEST_CASE("The console marks the selected instance and fits the terminal width") {
  const json status = json::parse(R"({"name":"caja","standing":"up 75%","uptime_s":61.5,
    "requests":{"open":3,"most":10,"taken":9,"served":5,"refused":1,"failed":0,"broken":0,"client_gone":0,
    "continued":2,"saved":1,"end_added":0,"suspected":1,
    "attempts":7},"boxes":[{"id":"b1","address":"127.0.0.1:9001","state":"up","weight":1.0,"out":2},
    {"id":"b2","address":"127.0.0.1:9002","state":"drain","weight":0.5,"out":1}]})");
  const std::string rendered = bankmux::app::render_status(status, 100, 1);
  CHECK(contains(rendered, "open 3 of 10 [######"));
  CHECK(contains(rendered, "> b2"));
  CHECK_FALSE(contains(rendered, "> b1"));
  for (std::size_t begin = 0, end = 0; (end = rendered.find('\n', begin)) != std::string::npos;
       begin = end + 1) {
    CHECK(end - begin <= 100);
  }
  CHECK(contains(bankmux::app::render_status(status, 12, 1), "caja   up 75\n"));
}
