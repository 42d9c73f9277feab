// Process-level tests of which answers of an instance count as complete: the end of a stream's last event,
// not the end of its HTTP framing.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>

#include "appliance_fixture.hpp"
#include "platform_fixture.hpp"

using namespace integration;

namespace {

using namespace std::chrono_literals;

const std::string kFirst =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n";
const std::string kLast =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"b\"},\"finish_reason\":\"stop\"}]}\n\n";
const std::string kUsage =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n";
const std::string kDone = "data: [DONE]\n\n";
const std::string kEvents = kFirst + kLast + kUsage;

enum class Framing { chunked, content_length, until_close, http_1_0 };
constexpr Framing kFramings[] = {Framing::chunked, Framing::content_length, Framing::until_close,
                                 Framing::http_1_0};

// A response that is well formed in HTTP's terms, whatever its body holds.
std::string framed(Framing framing, const std::string& body) {
  const std::string type = "Content-Type: text/event-stream\r\n";
  switch (framing) {
    case Framing::chunked:
      return stream_head() + (body.empty() ? "" : chunk(body)) + "0\r\n\r\n";
    case Framing::content_length:
      return plain_response("200 OK", body, type);
    case Framing::until_close:
      return "HTTP/1.1 200 OK\r\n" + type + "Connection: close\r\n\r\n" + body;
    case Framing::http_1_0:
      return "HTTP/1.0 200 OK\r\n" + type + "\r\n" + body;
  }
  return "";
}

bool ends_with_connection(Framing framing) {
  return framing == Framing::until_close || framing == Framing::http_1_0;
}

bool is_whole(const std::string& answer) { return answer.ends_with("\r\n0\r\n\r\n"); }

std::string content_of(const std::string& answer) {
  std::string content;
  for (std::size_t at = answer.find("\r\n\r\n") + 4; at < answer.size();) {
    const std::size_t end = answer.find("\r\n", at);
    if (end == std::string::npos) break;
    const std::size_t size = std::stoul(answer.substr(at, end - at), nullptr, 16);
    content += answer.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
  return content;
}

// An instance whose answers `reply` sends; it returns whether the connection stays open.
ScriptedServer::Script answering(EventLog& seen, std::function<bool(TestConnection&, const Message&)> reply) {
  return [&seen, reply = std::move(reply)](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      seen.add("asked");
      if (!reply(wire, *request)) return;
    }
  };
}

}  // namespace

TEST_CASE("Whole: a stream without its end marker is never ended for its client as if it were whole") {
  const std::pair<const char*, std::string> bodies[] = {
      {"two events", kFirst + kFirst},
      {"all but the end marker", kEvents},
      {"an end marker whose event is not complete", kEvents + "data: [DONE]\n"},
      {"an end marker without a line end", kEvents + "data: [DONE]"},
      {"an end marker as a comment", kEvents + ": data: [DONE]\n\n"},
      {"an end marker as another field", kEvents + "id: [DONE]\n\n"},
      {"an end marker as output", "data: {\"choices\":[{\"delta\":{\"content\":\"data: [DONE]\"}}]}\n\n"},
      {"an end marker as one of two lines", kEvents + "data: [DONE]\ndata: more\n\n"},
      {"an end marker as one of two lines, the other too long to be read",
       kEvents + "data: [DONE]\ndata: " + std::string(100'000, 'x') + "\n\n"},
      {"an end marker after a mark of the byte order within the stream", kEvents + "\xEF\xBB\xBF" + kDone},
      {"the names of another format's last event",
       "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"type\":\"function\",\"function\":{\"name\":"
       "\"response.completed\"}}]}}]}\n\n"},
      {"an end marker after an error", kFirst + "data: {\"error\":{\"code\":\"x\"}}\n\n" + kDone}};
  for (const auto& [what, body] : bodies) {
    for (const Framing framing : kFramings) {
      CAPTURE(what, int(framing));
      EventLog seen;
      ScriptedServer instance(answering(seen, [&](TestConnection& wire, const Message&) {
        wire.send(framed(framing, body));
        return !ends_with_connection(framing);
      }));
      Platform platform({{"w", "mixto", instance.address()}});
      for (const char* lane : {"consulta", "ajuste"}) {
        CAPTURE(lane);
        const std::string answer = platform.ask(client_request(std::string("t-") + lane, lane, 5000, 100));
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(body.starts_with(content_of(answer)));
        CHECK_FALSE(is_whole(answer));
      }
      CHECK(seen.count("asked") == 2);  // one attempt each: the stream has begun
      CHECK(platform.program().output().find("stream broke off") != std::string::npos);
    }
  }
}

TEST_CASE("Whole: a stream that ends before its first event is no answer and runs again only where allowed") {
  for (const std::string& body : {std::string(), std::string(": a comment\n\n"), std::string("data: {\"cho"),
                                  kFirst.substr(0, kFirst.size() - 1)}) {
    for (const Framing framing : kFramings) {
      CAPTURE(body, int(framing));
      EventLog seen;
      std::atomic<int> asked{0};
      const auto script = answering(seen, [&](TestConnection& wire, const Message&) {
        const bool first = asked++ == 0;
        wire.send(first ? framed(framing, body) : framed(Framing::chunked, kEvents + kDone));
        return !first || !ends_with_connection(framing);
      });
      ScriptedServer one(script), two(script);
      Platform platform({{"a", "mixto", one.address()}, {"b", "mixto", two.address()}});
      const std::string safe = platform.ask(client_request("safe", "consulta", 5000, 100));
      CHECK(content_of(safe) == kEvents + kDone);
      CHECK(is_whole(safe));
      CHECK(asked == 2);
      asked = 0;
      CHECK(platform.ask(client_request("once", "ajuste", 5000, 100)).starts_with("HTTP/1.1 502"));
      CHECK(asked == 1);
    }
  }
}

TEST_CASE("Whole: a stream with its end marker ends whole in every framing, line end and piece") {
  const auto with_line_end = [](const std::string& end) {
    std::string text;
    for (const char c : kEvents + kDone) text += c == '\n' ? end : std::string(1, c);
    return text;
  };
  const std::string bodies[] = {
      kEvents + kDone,
      with_line_end("\r\n"),
      with_line_end("\r"),
      "\xEF\xBB\xBF" + kEvents + kDone,
      kEvents + "data:[DONE]\n\n",
      kEvents + kDone + ": X-Pressure: inflight=7,queue=2\n\n",
      kEvents + kDone + ": X-Pressure: inflight=7",
      kEvents + "id: 7\ndata: [DONE]\n\n",
      ": hello\n\n" + kEvents + ": still here\n\n" + kDone,
      "data: " + std::string(100'000, 'x') + "\n\n" + kEvents + kDone,
      kEvents + "event: response.completed\ndata: {\"type\":\"response.completed\"}\n\n"};
  for (const std::string& body : bodies) {
    for (const Framing framing : kFramings) {
      CAPTURE(body.substr(0, 300), int(framing));
      EventLog seen;
      ScriptedServer instance(answering(seen, [&](TestConnection& wire, const Message& request) {
        const std::string answer = framed(framing, body);
        const bool in_pieces = request.headers.at("x-txn") == "pieces" && body.size() < 10'000;
        for (std::size_t at = 0; at < answer.size(); at += in_pieces ? 1 : answer.size())
          wire.send(answer.substr(at, in_pieces ? 1 : answer.size()));
        return !ends_with_connection(framing);
      }));
      Platform platform({{"w", "mixto", instance.address()}});
      for (const char* id : {"at-once", "pieces"}) {
        const std::string answer = platform.ask(client_request(id, "ajuste", 5000, 100));
        CHECK(content_of(answer) == body);
        CHECK(is_whole(answer));
      }
    }
  }
}

TEST_CASE("Whole: an instance is not asked for an encoded answer, whose end could not be seen") {
  EventLog seen;
  ScriptedServer instance(answering(seen, [&](TestConnection& wire, const Message& request) {
    seen.add(request.headers.contains("accept-encoding") ? "encoded" : "plain");
    seen.add(request.headers.at("content-encoding"));  // of the body, which is passed on unchanged
    wire.send(framed(Framing::chunked, kEvents + kDone));
    return true;
  }));
  Platform platform({{"w", "mixto", instance.address()}});
  const std::string headers = "Accept-Encoding: gzip\r\nContent-Encoding: identity\r\n";
  CHECK(is_whole(platform.ask(client_request("t", "ajuste", 5000, 100, headers))));
  CHECK(seen.all() == std::vector<std::string>{"asked", "plain", "identity"});
}

TEST_CASE("Whole: an answer that only the connection's end delimits is broken by a reset") {
  EventLog seen;
  ScriptedServer instance(answering(seen, [&](TestConnection& wire, const Message&) {
    wire.send(framed(Framing::until_close, kEvents + kDone));
    (void)seen.wait_for("client has it");
    wire.reset();
    return false;
  }));
  Platform platform({{"w", "mixto", instance.address()}});
  const auto client = platform.connect();
  client->send(client_request("t", "ajuste", 5000, 100));
  CHECK(client->receive_until(kDone).find(kLast) != std::string::npos);
  seen.add("client has it");
  CHECK_FALSE(client->receive_all().ends_with("0\r\n\r\n"));
}

TEST_CASE("Whole: a chat stream of several choices is whole only once each of them has finished") {
  const auto event = [](int index, const char* content, const char* finish) {
    return "data: {\"choices\":[{\"index\":" + std::to_string(index) + ",\"delta\":{\"content\":\"" +
           content +
           "\"},\"finish_reason\":" + (finish == nullptr ? "null" : "\"" + std::string(finish) + "\"") +
           "}]}\n\n";
  };
  const std::string one_finished = event(0, "a", nullptr) + event(1, "b", nullptr) + event(0, "", "stop");
  const std::string one_unseen = event(0, "a", nullptr) + event(0, "", "stop");
  const std::string both = one_finished + event(1, "", "length");
  const nlohmann::json with_continuation = {
      {"models", {{{"name", "m-consulta"}, {"class", "consulta"}, {"continuation", "final_message"}}}}};
  nlohmann::json request = nlohmann::json::parse(Appliance::body("m-consulta", true));
  request["n"] = 2;
  for (const nlohmann::json& changes : {nlohmann::json::object(), with_continuation}) {
    for (const std::string& body : {one_finished, one_unseen, both}) {
      for (const bool framed_whole : {true, false}) {
        CAPTURE(changes.dump(), body, framed_whole);
        EventLog seen;
        ScriptedServer instance(instance_script(seen, [&](TestConnection& wire, const Message&) {
          wire.send(stream_head() + chunk(body) + (framed_whole ? "0\r\n\r\n" : ""));
          return framed_whole;
        }));
        Appliance appliance({instance.address()}, changes);
        const std::string answer = appliance.chat(request.dump());
        // Without its framing's end, a finished answer may be completed only from what the conductor kept.
        const bool completed = body == both && (framed_whole || !changes.empty());
        CHECK(is_whole(answer) == completed);
        CHECK(contains(answer, kDone) == completed);
        CHECK(contains(answer, "stream_broken") == !completed);
      }
    }
  }
}
