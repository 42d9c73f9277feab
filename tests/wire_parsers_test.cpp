// Parsers of wire input (responses, streams, load reports, chat requests) and the backoff of discovery calls.
#include <catch2/catch.hpp>

#include "net/http/request_parser.hpp"
#include "net/http/response_parser.hpp"
#include "net/instances/instance_client.hpp"
#include "net/openai/facts.hpp"
#include "net/openai/json_reader.hpp"
#include "net/openai/request_rules.hpp"
#include "net/platform/backoff.hpp"
#include "sse/stream_scanner.hpp"

using namespace bankmux;
using net::ResponseParser;

namespace {

// Parses `bytes` at once and byte by byte; both must give the same body and end state.
std::string body_of(const std::string& bytes, ResponseParser::State end) {
  ResponseParser whole, byte_by_byte;
  std::string body, body_from_bytes;
  whole.feed(bytes, body);
  for (const char byte : bytes) byte_by_byte.feed(std::string_view(&byte, 1), body_from_bytes);
  CHECK(whole.state() == end);
  CHECK(byte_by_byte.state() == end);
  CHECK(body == body_from_bytes);
  return body;
}

}  // namespace

TEST_CASE("Responses are parsed by length, in chunks, up to the close, and after interim responses") {
  using State = ResponseParser::State;
  CHECK(body_of("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", State::done) == "abc");
  CHECK(body_of(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n",
            State::done) == "abc");
  CHECK(body_of("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", State::done).empty());
  CHECK(body_of("HTTP/1.0 200 OK\r\n\r\nabc", State::body) == "abc");
  CHECK(body_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", State::bad).empty());
  CHECK(body_of("HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n", State::bad).empty());
  CHECK(body_of("SSH-2.0-x\r\n", State::bad).empty());
}

TEST_CASE(
    "A malformed response is rejected at the first byte that proves it, without waiting for more input") {
  using State = ResponseParser::State;
  const std::string head = "HTTP/1.1 200 OK\r\n", chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  body_of("\x16\x03noise without an end", State::bad);
  body_of(chunked + "c0000000\r\n", State::bad);
  CHECK(body_of(chunked + "2\r\nabc\r\n", State::bad) == "ab");
  body_of(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", State::bad);
  body_of(head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\n", State::bad);
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  CHECK(body_of(interim + chunked + "2\r\nab\r\n0\r\n\r\n", State::done) == "ab");
  for (int i = 0; i < 2000; ++i) interim += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  body_of(interim, State::bad);
}

TEST_CASE(
    "A request that parsers could read in different ways is rejected with a status that names the fault") {
  const std::string line = "POST /v1/chat/completions HTTP/1.1\r\n",
                    chunked = "Transfer-Encoding: chunked\r\n";
  const std::pair<int, std::string> bad[] = {
      {400, line + "Content-Length: 3\r\n" + chunked + "\r\n0\r\n\r\n"},
      {400, line + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
      {400, line + "Content-Length: -3\r\n\r\n"},
      {400, line + "Content-Length: +3\r\n\r\n"},
      {413, line + "Content-Length: 62914560\r\n\r\n"},
      {400, line + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {400, line + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
      {400, "POST / HTTP/1.0\r\n" + chunked + "\r\n0\r\n\r\n"},
      {413, line + chunked + "\r\n40001\r\n"},
      {400, line + chunked + "\r\n-1\r\n"},
      {400, line + "X-Txn : a\r\n\r\n"},
      {400, line + "X-A: b\r\n folded: c\r\n\r\n"},
      {400, line + "X-A: b\x01\r\n\r\n"},
      {400, "POST http://elsewhere/ HTTP/1.1\r\n\r\n"},
      {400, "noise"},
      {501, "TRACE / HTTP/1.1\r\n"},
      {505, "GET / HTTP/2.0\r\n"},
      {431, line + "X-A: " + std::string(20'000, 'x')},
      {431, line + [] {
         std::string many;
         while (many.size() < 40'000) many += "X-A: b\r\n";
         return many;
       }()}};
  for (const auto& [status, text] : bad) {
    CAPTURE(text.substr(0, 90));
    net::RequestParser whole, byte_by_byte;
    std::string body;
    whole.feed_limited(text, body);
    for (const char byte : text) byte_by_byte.feed_limited(std::string_view(&byte, 1), body);
    CHECK(whole.state() == net::RequestParser::State::bad);
    CHECK(whole.error_status() == status);
    CHECK(byte_by_byte.error_status() == status);
  }
  net::RequestParser good;
  std::string body;
  const std::string text = "\r\n" + line + chunked + "\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  CHECK(good.feed_limited(text + "GET /next", body) == text.size());
  CHECK(good.state() == net::RequestParser::State::done);
  CHECK(body == "abc");
}

// Guards against heads that take many times their length: each field is two strings.
TEST_CASE("A head with more fields than the limit is rejected at its first field too many") {
  std::string head = "GET / HTTP/1.1\r\n", body;
  for (std::size_t i = 0; i < net::kMaxHeaderFields; ++i) head += "a: 1\r\n";
  net::RequestParser largest, too_large;
  largest.feed_limited(head + "\r\n", body);
  CHECK(largest.state() == net::RequestParser::State::done);
  CHECK(largest.held_bytes() <= head.size() + 2 + net::kMaxHeaderFields * sizeof(net::Headers::value_type));
  too_large.feed_limited(head + "a: 1\r\n", body);
  CHECK(too_large.state() == net::RequestParser::State::bad);
  CHECK(too_large.error_status() == 431);
}

TEST_CASE("A stream is scanned across the boundaries of its pieces") {
  sse::StreamScanner scanner;
  const std::string text =
      "data: {\"choices\":[{\"delta\":{\"content\":\"say \\\"error\\\"\"}}]}\n\n"
      "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n"
      ": X-Pressure: inflight=7,queue=2,odd,util=0.5\n\n";
  for (const char byte : text) scanner.feed(std::string_view(&byte, 1));
  CHECK(scanner.reported_cached_tokens() == 4096);
  CHECK_FALSE(scanner.failed());
  REQUIRE(scanner.report().size() == 3);
  CHECK(scanner.report()[2].value == 0.5);
  scanner.feed("data: {\"error\":{\"message\":\"x\"}}\r\n");
  CHECK(scanner.failed());
}

TEST_CASE("Cached tokens are read from an answer without its other contents") {
  const std::string usage = "\"usage\":{\"a\":[{}],\"prompt_tokens_details\":{\"b\":{},\"cached_tokens\":7}}";
  CHECK(sse::cached_tokens("{\"cached_tokens\":4096}") == 4096);
  CHECK(sse::cached_tokens("{\"choices\":[{\"usage\":{}},[[1,2]]],\"x\":{\"cached_tokens\":1}," + usage +
                           "}") == 7);
  CHECK(sse::cached_tokens("{\"usage\":{\"cached_tokens\":3,\"prompt_tokens_details\":[7]}}") == 0);
  CHECK(sse::cached_tokens("{}") == 0);
  for (const char* other :
       {"", "[]", "[{\"cached_tokens\":1}]", "7", "{\"cached_tokens\":1", "{\"a\":[1,}"}) {
    CHECK_FALSE(sse::cached_tokens(other));
  }
}

TEST_CASE("A chat request's class, session and lengths come from its model and messages") {
  const config::Appliance appliance = config::parse_appliance(nlohmann::json::parse(R"({
    "listen": "127.0.0.1:8080", "boxes": [{"id": "b", "address": "127.0.0.1:9001"}],
    "classes": [{"name": "c", "repeat": "safe"},
                {"name": "a", "repeat": "never", "deadline_s": 12, "token_s": 0.08}],
    "models": [{"name": "m", "class": "a"}]})"));
  const auto read = [&](const std::string& messages, const std::string& more = "") {
    const auto body = net::openai::read_json("{\"model\":\"m\",\"messages\":[" + messages + "]" + more + "}");
    std::string path;
    net::openai::chat_rules().check(body, path);
    return net::openai::chat_facts(body, appliance);
  };
  const std::string system = R"({"role":"system","content":"12345678"})";
  const std::string first = system + R"(,{"role":"user","content":[{"type":"text","text":"1234"}]})";
  const auto chat = read(first, R"(,"max_tokens":100,"stream":true)");
  CHECK(chat.arrived.request_class == 1);
  CHECK(chat.arrived.prefix_tokens == 6);   // 2 of the text and 4 for the message
  CHECK(chat.arrived.prompt_tokens == 11);  // and 5 for the user's message
  CHECK(chat.arrived.max_output == 100);
  CHECK(chat.timeout.count() / 1000 == 12'000);
  // The client of a non-streamed answer waits for its last token.
  CHECK(read(first, R"(,"max_tokens":100)").timeout.count() / 1000 == 28'000);
  // A later turn belongs to the same session; a different first user message starts another.
  const auto next = read(first + R"(,{"role":"assistant","content":"x"},{"role":"user","content":"y"})");
  CHECK(next.arrived.session == chat.arrived.session);
  CHECK(next.arrived.prefix == chat.arrived.prefix);
  CHECK(read(system + R"(,{"role":"user","content":"other"})").arrived.session != chat.arrived.session);
  CHECK(read(first, R"(,"prompt_cache_key":"k")").arrived.session ==
        read(system + R"(,{"role":"user","content":"other"})", R"(,"prompt_cache_key":"k")").arrived.session);
}

TEST_CASE(
    "Backoff ceilings double up to the maximum, and each wait is between half the ceiling and the ceiling") {
  using std::chrono::milliseconds;
  const net::Backoff backoff{milliseconds(100), milliseconds(2000)};
  CHECK(backoff.wait(0, 0.7) == milliseconds(0));
  CHECK(backoff.wait(1, 0.0) == milliseconds(50));
  CHECK(backoff.wait(1, 1.0) == milliseconds(100));
  CHECK(backoff.wait(3, 0.0) == milliseconds(200));
  CHECK(backoff.wait(3, 0.5) == milliseconds(300));
  CHECK(backoff.wait(5, 1.0) == milliseconds(1600));
  CHECK(backoff.wait(6, 1.0) == milliseconds(2000));
  CHECK(backoff.wait(1000, 0.0) == milliseconds(1000));  // no overflow, however many failures
  CHECK(backoff.wait(1000, 2.0) == milliseconds(2000));  // a value out of range is clamped
}

// The latency limit of the operators takes precedence over the load that refused conductors put on discovery:
// whichever call failed, a change must take effect within 6 s after discovery had it and could be reached.
TEST_CASE(
    "For any number of conductors, the longest wait and one call fit the latency limit of list changes") {
  using std::chrono::milliseconds;
  constexpr milliseconds kListLatencyLimit{6000}, kSilentCallTime{3000}, kQueuedCallTime{2000};
  CHECK(net::backoff_for(1).first == milliseconds(100));
  CHECK(net::backoff_for(2).max == milliseconds(2000));
  core::Duration first{0}, max{0};
  for (const unsigned conductors : {1u, 2u, 3u, 8u, 30u, 100u, 300u, 100000u}) {
    const net::Backoff backoff = net::backoff_for(conductors);
    CHECK(backoff.first <= backoff.max);
    CHECK(backoff.max + kQueuedCallTime <= kListLatencyLimit);
    CHECK(kSilentCallTime + backoff.at_most(net::kMaxWaitAfterSilence).max < kListLatencyLimit);
    CHECK(backoff.at_most(net::kMaxWaitAfterSilence).first <= backoff.first);
    CHECK(backoff.first >= first);  // a larger fleet waits longer, up to the limit
    CHECK(backoff.max >= max);
    first = backoff.first;
    max = backoff.max;
  }
  CHECK(net::backoff_for(50).first == milliseconds(1000));
  CHECK(net::backoff_for(300).first == milliseconds(4000));
  CHECK(net::backoff_for(300).max == milliseconds(4000));
}
