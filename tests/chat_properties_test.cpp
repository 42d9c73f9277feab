// The pure parts of the chat front, for whatever comes: cut anywhere, made of anything.
#include <rapidcheck.h>
#include <zlib.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "net/http/content_coding.hpp"
#include "net/openai/endings.hpp"
#include "net/openai/errors.hpp"
#include "net/openai/json_reader.hpp"
#include "net/openai/request_rules.hpp"
#include "net/openai/translate.hpp"
#include "sse/event_splitter.hpp"
#include "sse/stream_scanner.hpp"

using namespace bankmux;
using nlohmann::json;

namespace {

// A text cut into pieces at drawn places.
std::vector<std::string> cut(const std::string& text) {
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < text.size();) {
    const auto size = std::size_t(*rc::gen::inRange(1, 12));
    pieces.push_back(text.substr(at, size));
    at += size;
  }
  return pieces;
}

rc::Gen<std::string> letters() {
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

TEST_CASE("Events: however a stream is cut, the same whole events come, and no byte is lost") {
  CHECK(rc::check([] {
    const std::string end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const auto lines = *rc::gen::container<std::vector<std::string>>(letters());
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
    // Where the last event ends that is whole within so many bytes.
    const auto whole_by = [&events](std::size_t bytes) {
      std::size_t end = 0;
      for (const std::string& event : events) {
        if (end + event.size() > bytes) break;
        end += event.size();
      }
      return end;
    };
    for (const std::string& piece : cut(stream)) {
      RC_ASSERT(splitter.feed(piece, [&](std::string_view event) { passed += event; }));
      scanner.feed(piece);
      received += piece.size();
      // What has been passed is each event that is whole by now, but for the LF of the last CRLF.
      const std::size_t whole = whole_by(received);
      RC_ASSERT((passed.size() == whole || passed.size() + 1 == whole ||
                 passed.size() == whole_by(received + 1) - 1));
      RC_ASSERT(stream.starts_with(passed));
      RC_ASSERT((passed.empty() || passed.back() == '\n' || passed.back() == '\r'));
    }
    whole_scanner.feed(stream);
    RC_ASSERT(scanner.done() == whole_scanner.done());
    RC_ASSERT(scanner.failed() == whole_scanner.failed());
    RC_ASSERT(passed.size() + 1 >= stream.size());  // at most the LF of the last CRLF waits
  }));
}

TEST_CASE("Events: one that is longer than may be is told, at once and for good") {
  sse::EventSplitter splitter(10);
  int events = 0;
  const auto count = [&](std::string_view) { ++events; };
  CHECK(splitter.feed("data: 1\n\n", count));
  CHECK_FALSE(splitter.feed("data: 123456", count));
  CHECK_FALSE(splitter.feed("\n\ndata: 1\n\n", count));
  CHECK(events == 1);
}

TEST_CASE("Codings: what was packed comes out as it was, and what is cut short is told") {
  CHECK(rc::check([](const std::string& text) {
    const std::string packed = gzip(text);
    const net::Expanded whole = net::expand("gzip", packed, 1 << 20);
    RC_ASSERT(whole.coding == net::Coding::done);
    RC_ASSERT(whole.body == text);
    const auto left = std::size_t(*rc::gen::inRange<int>(0, int(packed.size())));
    RC_ASSERT(net::expand("gzip", packed.substr(0, left), 1 << 20).coding == net::Coding::broken);
    if (!text.empty())
      RC_ASSERT(net::expand("gzip", packed, text.size() - 1).coding == net::Coding::too_large);
  }));
}

TEST_CASE("Requests: whatever bytes come, they are an object or an error that says so") {
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

TEST_CASE("Requests: whatever stands in a field, the rules pass it or name that field") {
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
  CHECK(refused > 0);  // rules that pass everything would pass the rest
}

TEST_CASE("Responses: a stream comes to the same response as the same answer in one piece") {
  CHECK(rc::check([] {
    const auto texts = *rc::gen::container<std::vector<std::string>>(letters());
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

TEST_CASE("Endings: a library is told to try again only where that is harmless, and no word is untrue") {
  using core::Ending;
  using eiderarch::Outcome;
  for (const auto cause : {Ending::Cause::refused, Ending::Cause::table_full, Ending::Cause::no_decision,
                           Ending::Cause::failed, Ending::Cause::broke_off}) {
    for (const bool ran : {false, true}) {
      for (const bool safe : {false, true}) {
        for (const auto last :
             {Outcome::skipped, Outcome::error, Outcome::timed_out, Outcome::reset, Outcome::busy}) {
          const net::openai::Told told = net::openai::tell({cause, ran, safe, {}, false, last});
          const bool broke = cause == Ending::Cause::broke_off;
          CHECK(told.should_retry == (!ran || safe));
          CHECK((told.wait.count() > 0) == told.should_retry);
          CHECK(told.status >= 500);
          if (ran || broke) CHECK(std::string(told.message).find("nothing was run") == std::string::npos);
          CHECK((told.status == 503) == (!ran && !broke && cause != Ending::Cause::no_decision));
          net::Headers headers;
          net::openai::add_retry_headers(headers, told.should_retry, told.wait);
          CHECK(headers.size() == (told.should_retry ? 3 : 1));
        }
      }
    }
  }
}
