#include "net/http/response_parser.hpp"

#include <charconv>

namespace bankmux::net {

namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
// A stream's chunk holds one or a few events; larger sizes are treated as corrupt.
constexpr std::uint64_t kMaxChunkBytes = 4 * 1024 * 1024;
constexpr std::uint64_t kMaxContentLength = 1ULL << 30;

}  // namespace

ResponseParser::ResponseParser()
    : MessageParser({kMaxHeadBytes, kMaxHeaderFields, kMaxChunkBytes, kMaxContentLength}) {}

bool ResponseParser::finish_at_close() {
  if (reads_until_close()) state_ = State::done;
  return state_ == State::done;
}

bool ResponseParser::may_be_start_line(std::string_view part) const {
  const std::string_view begin = part.substr(0, kVersionPrefix.size());
  return begin == kVersionPrefix.substr(0, begin.size());
}

bool ResponseParser::start_line(std::string_view text) {
  if (text.size() < 12 || !text.starts_with(kVersionPrefix) || text[8] != ' ') return false;
  if (text.size() > 12 && text[12] != ' ') return false;
  const auto [end, error] = std::from_chars(text.data() + 9, text.data() + 12, status_);
  keep_alive_ = text[7] != '0';
  return error == std::errc{} && end == text.data() + 12 && status_ >= 100;
}

void ResponseParser::headers_done() {
  if (status_ < 200) return expect_start_line();  // interim response; the final one follows
  has_head_ = true;
  if (status_ == 204 || status_ == 304) {
    if (list_contains(header("Connection"), "close")) keep_alive_ = false;
    return skip_body();
  }
  start_body(Part::until_end);
}

}  // namespace bankmux::net
