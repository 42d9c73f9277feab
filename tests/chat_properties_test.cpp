// Property tests of the chat API's parts without I/O, with random input that is split at random places.
#include <rapidcheck.h>
#include <zlib.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "net/http/content_coding.hpp"
#include "net/openai/error_replies.hpp"
#include "net/openai/errors.hpp"
#include "net/openai/json_reader.hpp"
#include "net/openai/request_rules.hpp"
#include "net/openai/translate.hpp"
#include "sse/event_splitter.hpp"
#include "sse/stream_scanner.hpp"

using namespace bankmux;
using nlohmann::json;

namespace {

// A text split at random places.
std::vector<std::string> random_pieces(const std::string& text) {
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < text.size();) {
    const auto size = std::size_t(*rc::gen::inRange(1, 12));
    pieces.push_back(text.substr(at, size));
    at += size;
  }
  return pieces;
}

rc::Gen<std::string> random_text() {
  return rc::gen::container<std::string>(rc::gen::element('a', 'B', '"', ':', ' ', '\\'));
}

json chunk(const json& delta, const json& reason = nullptr) {
  return {{"model", "m"}, {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}};
}

std::string gzip(const std::string& text) {
  z_stream stream{};
  deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED, 15 + 16, 8, Z_DEFAULT_STRATEGY);
  std::string out(deflateBound(&stream, text.size()) + 64, '\0');
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
  stream.avail_in = uInt(text.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = uInt(out.size());
  deflate(&stream, Z_FINISH);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return out;
}

}  // namespace

TEST_CASE("Events: however a stream is split, the same complete events are delivered and no byte is lost") {
  CHECK(rc::check([] {
    const std::string end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const auto lines = *rc::gen::container<std::vector<std::string>>(random_text());
    std::string stream;
    std::vector<std::string> events;
    for (const std::string& line : lines) {
      events.push_back("data: " + line + end + end);
      stream += events.back();
    }
    sse::EventSplitter splitter(1 << 20);
    sse::StreamScanner scanner, whole_scanner;
    std::string passed;
    std::size_t received = 0;
    // Offset at which the last event ends that is complete within so many bytes.
    const auto complete_bytes = [&events](std::size_t bytes) {
      std::size_t end = 0;
      for (const std::string& event : events) {
        if (end + event.size() > bytes) break;
        end += event.size();
      }
      return end;
    };
    for (const std::string& piece : random_pieces(stream)) {
      RC_ASSERT(splitter.feed(piece, [&](std::string_view event) { passed += event; }));
      scanner.feed(piece);
      received += piece.size();
      // All events that are complete by now have been delivered, except perhaps the LF of the last CRLF.
      const std::size_t whole = complete_bytes(received);
      RC_ASSERT((passed.size() == whole || passed.size() + 1 == whole ||
                 passed.size() == complete_bytes(received + 1) - 1));
      RC_ASSERT(stream.starts_with(passed));
      RC_ASSERT((passed.empty() || passed.back() == '\n' || passed.back() == '\r'));
    }
    whole_scanner.feed(stream);
    RC_ASSERT(scanner.done() == whole_scanner.done());
    RC_ASSERT(scanner.failed() == whole_scanner.failed());
    RC_ASSERT(passed.size() + 1 >= stream.size());  // at most the LF of the last CRLF is missing
  }));
}

TEST_CASE("Events: an event above the limit is reported at once, and all further input is refused") {
  sse::EventSplitter splitter(10);
  int events = 0;
  const auto count = [&](std::string_view) { ++events; };
  CHECK(splitter.feed("data: 1\n\n", count));
  CHECK_FALSE(splitter.feed("data: 123456", count));
  CHECK_FALSE(splitter.feed("\n\ndata: 1\n\n", count));
  CHECK(events == 1);
}

TEST_CASE("Content codings: compressed text is restored exactly, and truncated input is detected") {
  CHECK(rc::check([](const std::string& text) {
    const std::string packed = gzip(text);
    const net::DecodedBody whole = net::decode_body("gzip", packed, 1 << 20);
    RC_ASSERT(whole.coding == net::DecodeResult::done);
    RC_ASSERT(whole.body == text);
    const auto left = std::size_t(*rc::gen::inRange<int>(0, int(packed.size())));
    RC_ASSERT(net::decode_body("gzip", packed.substr(0, left), 1 << 20).coding == net::DecodeResult::broken);
    if (!text.empty())
      RC_ASSERT(net::decode_body("gzip", packed, text.size() - 1).coding == net::DecodeResult::too_large);
  }));
}

TEST_CASE("Requests: any bytes give a JSON object or an error with a message") {
  CHECK(rc::check([] {
    const auto text = *rc::gen::container<std::string>(rc::gen::element(
        '{', '}', '[', ']', '"', ',', ':', '1', '-', 'e', '.', 'a', '\\', 'u', 'd', '8', '\xff', '\n'));
    try {
      RC_ASSERT(net::openai::read_json(text).is_object());
    } catch (const net::openai::RequestError& problem) {
      RC_ASSERT(problem.status == 400);
      RC_ASSERT(!problem.message.empty());
    }
  }));
}

TEST_CASE("Requests: for any value of a field the rules accept it or name that field") {
  const json good = {{"model", "m"}, {"messages", {{{"role", "user"}, {"content", "x"}}}}};
  const std::vector<std::string> fields = {
      "n",     "stop",     "tools",  "messages", "response_format", "logit_bias",
      "audio", "metadata", "stream", "seed",     "tool_choice",     "prediction"};
  int refused = 0;
  CHECK(rc::check([&] {
    const std::string field = *rc::gen::elementOf(fields);
    const json value = *rc::gen::element<json>(
        1, -1, 1.5, true, "auto", "", json::array(), json::array({1}), json::object(), json{{"type", "x"}},
        json::array({json::object()}), json::array({"a", nullptr}), nullptr, 1e300);
    json body = good;
    body[field] = value;
    std::string path;
    try {
      net::openai::chat_rules().check(body, path);
    } catch (const net::openai::RequestError& problem) {
      RC_ASSERT(problem.param.starts_with(field));
      ++refused;
    }
    RC_ASSERT(path.empty());
  }));
  CHECK(refused > 0);  // rules that accept everything would also pass the checks above
}

TEST_CASE("Responses: a stream gives the same response as the same answer in one piece") {
  CHECK(rc::check([] {
    const auto texts = *rc::gen::container<std::vector<std::string>>(random_text());
    const int calls = *rc::gen::inRange(0, 3);
    const std::string reason =
        *rc::gen::element<std::string>("stop", "length", "tool_calls", "content_filter");
    const net::openai::ResponseEcho echo =
        net::openai::echo_of({{"model", "m"}, {"input", "x"}, {"temperature", 0.5}}, "r1", 7);
    net::openai::ResponseStream stream(echo);
    std::string out = stream.begin(), text;
    json message = {{"role", "assistant"}, {"content", nullptr}};
    for (const std::string& part : texts) {
      out += stream.chunk(chunk({{"content", part}}));
      text += part;
    }
    if (!text.empty()) message["content"] = text;
    for (int call = 0; call < calls; ++call) {
      const std::string id = "c" + std::to_string(call);
      out += stream.chunk(
          chunk({{"tool_calls",
                  {{{"index", call}, {"id", id}, {"function", {{"name", "f"}, {"arguments", ""}}}}}}}));
      std::string arguments;
      for (const std::string& part : texts) {
        out +=
            stream.chunk(chunk({{"tool_calls", {{{"index", call}, {"function", {{"arguments", part}}}}}}}));
        arguments += part;
      }
      message["tool_calls"].push_back({{"id", id}, {"function", {{"name", "f"}, {"arguments", arguments}}}});
    }
    const json usage = {{"prompt_tokens", 3}, {"completion_tokens", 4}};
    out += stream.chunk(chunk(json::object(), reason));
    out += stream.chunk({{"model", "m"}, {"choices", json::array()}, {"usage", usage}});
    out += stream.finish();
    const auto whole = net::openai::to_response(
        {{"model", "m"}, {"choices", {{{"message", message}, {"finish_reason", reason}}}}, {"usage", usage}},
        echo);
    RC_ASSERT(whole.has_value());
    json last;
    std::int64_t number = 0;
    std::string deltas;
    sse::EventSplitter(1 << 20).feed(out, [&](std::string_view event) {
      last = json::parse(sse::event_data(event));
      RC_ASSERT(last["sequence_number"] == number++);
      RC_ASSERT(event.starts_with("event: " + last["type"].get<std::string>() + "\n"));
      if (last["type"] == "response.output_text.delta") deltas += last["delta"].get<std::string>();
    });
    RC_ASSERT(deltas == text);
    RC_ASSERT(last["response"] == *whole);
  }));
}

TEST_CASE("Error replies: a retry is advised only if it is harmless, and the message is true") {
  using core::Ending;
  using eiderarch::Outcome;
  for (const auto cause : {Ending::Cause::refused, Ending::Cause::table_full, Ending::Cause::no_decision,
                           Ending::Cause::failed, Ending::Cause::broke_off}) {
    for (const bool ran : {false, true}) {
      for (const bool safe : {false, true}) {
        for (const auto last :
             {Outcome::skipped, Outcome::error, Outcome::timed_out, Outcome::reset, Outcome::busy}) {
          const net::openai::ErrorReply reply = net::openai::error_reply({cause, ran, safe, {}, false, last});
          const bool broke_off = cause == Ending::Cause::broke_off;
          CHECK(reply.should_retry == (!ran || safe));
          CHECK((reply.wait.count() > 0) == reply.should_retry);
          CHECK(reply.status >= 500);
          if (ran || broke_off)
            CHECK(std::string(reply.message).find("nothing was run") == std::string::npos);
          CHECK((reply.status == 503) == (!ran && !broke_off && cause != Ending::Cause::no_decision));
          net::Headers headers;
          net::openai::add_retry_headers(headers, reply.should_retry, reply.wait);
          CHECK(headers.size() == (reply.should_retry ? 3 : 1));
        }
      }
    }
  }
}
