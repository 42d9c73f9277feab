#include "net/http/response_parser.hpp"

#include <charconv>

namespace bankmux::net {

namespace {

constexpr std::string_view kBegin = "HTTP/1.";
constexpr std::size_t kMostHead = 64 * 1024;
// A stream's chunks hold an event or a few; one of gigabytes is nonsense that keeps coming.
constexpr std::uint64_t kMostChunk = 4 * 1024 * 1024;
constexpr std::uint64_t kMostLength = 1ULL << 30;

}  // namespace

ResponseParser::ResponseParser() : MessageParser({kMostHead, kMostChunk, kMostLength}) {}

bool ResponseParser::finish() {
  if (to_the_end()) state_ = State::done;
  return state_ == State::done;
}

bool ResponseParser::may_start(std::string_view part) const {
  const std::string_view begin = part.substr(0, kBegin.size());
  return begin == kBegin.substr(0, begin.size());
}

bool ResponseParser::start_line(std::string_view text) {
  if (text.size() < 12 || !text.starts_with(kBegin) || text[8] != ' ') return false;
  if (text.size() > 12 && text[12] != ' ') return false;
  const auto [end, error] = std::from_chars(text.data() + 9, text.data() + 12, status_);
  keep_alive_ = text[7] != '0';
  return error == std::errc{} && end == text.data() + 12 && status_ >= 100;
}

void ResponseParser::headers_done() {
  if (status_ < 200) return again();  // an interim answer; the real one follows
  has_head_ = true;
  if (status_ == 204 || status_ == 304) {
    if (lists(header("Connection"), "close")) keep_alive_ = false;
    return skip_body();
  }
  start_body(Part::until_end);
}

}  // namespace bankmux::net
