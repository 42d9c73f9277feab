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
