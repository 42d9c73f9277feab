#include "net/http/request_parser.hpp"

#include <algorithm>

namespace bankmux::net {

namespace {

constexpr std::size_t kMostHead = 32 * 1024;
constexpr std::size_t kMostMethod = 8;

bool known_method(std::string_view word) {
  constexpr std::string_view kMethods[] = {"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS"};
  return std::ranges::find(kMethods, word) != std::end(kMethods);
}

}  // namespace

RequestParser::RequestParser(std::size_t most_body)
    : MessageParser({kMostHead, most_body, most_body}), most_body_(most_body) {}

bool RequestParser::expects_continue() const { return !old_ && same_name(header("Expect"), "100-continue"); }

std::size_t RequestParser::take(std::string_view bytes, std::string& body) {
  const std::size_t used = feed(bytes, body);
  if (body.size() > most_body_) {
    too_large_ = true;
    fail();
  }
  return used;
}

// Methods are a few capitals and a space: noise is told apart at its first letters.
bool RequestParser::may_start(std::string_view part) const {
  const std::string_view word = part.substr(0, part.find(' '));
  return word.size() <= kMostMethod &&
         std::ranges::all_of(word, [](char c) { return (c >= 'A' && c <= 'Z') || c == '\r'; });
}

bool RequestParser::start_line(std::string_view text) {
  const std::size_t first = text.find(' '), last = text.rfind(' ');
  if (first == std::string_view::npos || first == last) return false;
  method_ = text.substr(0, first);
  target_ = text.substr(first + 1, last - first - 1);
  const std::string_view version = text.substr(last + 1);
  old_ = version == "HTTP/1.0";
  if (!old_ && version != "HTTP/1.1") {
    fault_ = version.starts_with("HTTP/") ? 505 : 400;
    return false;
  }
  keep_alive_ = !old_;
  if (!known_method(method_)) {
    fault_ = 501;
    return false;
  }
  const bool plain = std::ranges::all_of(target_, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
  return plain && target_.starts_with('/');
}

void RequestParser::headers_done() {
  too_large_fault_ = 413;  // from here on it is the body that is too large
  // Chunks came with 1.1: a 1.0 message that has them was put together by something else.
  if (old_ && !header("Transfer-Encoding").empty()) return fail();
  start_body(Part::length);
}

}  // namespace bankmux::net
