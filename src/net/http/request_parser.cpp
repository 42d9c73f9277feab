#include "net/http/request_parser.hpp"

#include <algorithm>

namespace bankmux::net {

namespace {

constexpr std::size_t kMaxHeadBytes = 32 * 1024;
constexpr std::size_t kMaxMethodLength = 8;
static_assert(kMaxHeadBytes + kMaxLineBytes + kMaxHeaderFields * sizeof(Headers::value_type) <=
              RequestParser::kMaxHeldHeadBytes);

bool known_method(std::string_view word) {
  constexpr std::string_view kMethods[] = {"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS"};
  return std::ranges::find(kMethods, word) != std::end(kMethods);
}

}  // namespace

RequestParser::RequestParser(std::size_t max_body)
    : MessageParser({kMaxHeadBytes, kMaxHeaderFields, max_body, max_body}), max_body_(max_body) {}

bool RequestParser::expects_continue() const {
  return !http_1_0_ && same_name(header("Expect"), "100-continue");
}

std::size_t RequestParser::feed_limited(std::string_view bytes, std::string& body) {
  const std::size_t used = feed(bytes, body);
  if (body.size() > max_body_) {
    too_large_ = true;
    fail();
  }
  return used;
}

// Methods are a few capitals followed by a space, so noise is rejected at its first bytes.
bool RequestParser::may_be_start_line(std::string_view part) const {
  const std::string_view word = part.substr(0, part.find(' '));
  return word.size() <= kMaxMethodLength &&
         std::ranges::all_of(word, [](char c) { return (c >= 'A' && c <= 'Z') || c == '\r'; });
}

bool RequestParser::start_line(std::string_view text) {
  const std::size_t first = text.find(' '), last = text.rfind(' ');
  if (first == std::string_view::npos || first == last) return false;
  method_ = text.substr(0, first);
  target_ = text.substr(first + 1, last - first - 1);
  const std::string_view version = text.substr(last + 1);
  http_1_0_ = version == "HTTP/1.0";
  if (!http_1_0_ && version != "HTTP/1.1") {
    error_status_ = version.starts_with("HTTP/") ? 505 : 400;
    return false;
  }
  keep_alive_ = !http_1_0_;
  if (!known_method(method_)) {
    error_status_ = 501;
    return false;
  }
  const bool plain = std::ranges::all_of(target_, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
  return plain && target_.starts_with('/');
}

void RequestParser::headers_done() {
  too_large_status_ = 413;  // from here on, only the body can exceed a limit
  // HTTP/1.0 has no chunked coding, so such a message was altered on its way.
  if (http_1_0_ && !header("Transfer-Encoding").empty()) return fail();
  start_body(Part::length);
}

}  // namespace bankmux::net
