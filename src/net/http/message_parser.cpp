#include "net/http/message_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bankmux::net {

namespace {

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Accepts digits only: no sign, no whitespace, no list.
bool parse_size(std::string_view text, std::uint64_t& value, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool is_token_char(unsigned char c) {
  return std::isalnum(c) || std::string_view("!#$%&'*+-.^_`|~").find(char(c)) != std::string_view::npos;
}

bool is_control(unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; }

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool list_contains(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    const std::string_view item = value.substr(0, value.find(','));
    if (same_name(trim(item), word)) return true;
    value.remove_prefix(std::min(item.size() + 1, value.size()));
  }
  return false;
}

std::string_view MessageParser::header(std::string_view name) const {
  for (const auto& [key, value] : headers_) {
    if (same_name(key, name)) return value;
  }
  return {};
}

std::size_t MessageParser::feed(std::string_view bytes, std::string& body) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ != State::done && state_ != State::bad) {
    const std::string_view rest = bytes.substr(used);
    if (part_ == Part::length || part_ == Part::chunk || part_ == Part::until_end) {
      const std::size_t taken = part_ == Part::until_end
                                    ? rest.size()
                                    : std::size_t(std::min<std::uint64_t>(remaining_, rest.size()));
      body.append(rest.substr(0, taken));
      used += taken;
      if (part_ == Part::until_end) continue;
      remaining_ -= taken;
      if (remaining_ > 0) continue;
      if (part_ == Part::length) state_ = State::done;
      part_ = Part::chunk_end;
      continue;
    }
    const std::size_t end = rest.find('\n');
    const std::size_t taken = end == std::string_view::npos ? rest.size() : end + 1;
    const bool in_head = state_ == State::head || part_ == Part::trailers;
    line_.append(rest.substr(0, std::min(taken, kMaxLineBytes + 1)));
    used += taken;
    if (in_head) head_bytes_ += taken;
    if (line_.size() > kMaxLineBytes || head_bytes_ > limits_.head) {
      too_large_ = true;
      fail();
    } else if (end != std::string_view::npos) {
      line_.pop_back();
      if (!line_.empty() && line_.back() == '\r') line_.pop_back();
      const std::string complete_line = std::exchange(line_, {});
      process_line(complete_line);
    } else if (part_ == Part::start_line && !may_be_start_line(line_)) {
      fail();
    }
  }
  return used;
}

void MessageParser::process_line(std::string_view text) {
  std::uint64_t size = 0;
  switch (part_) {
    case Part::start_line:
      if (text.empty() && may_be_start_line("\r"))
        return;  // some clients send an extra empty line after a body
      headers_.clear();
      part_ = Part::headers;
      if (std::ranges::any_of(text, is_control) || !start_line(text)) fail();
      return;
    case Part::headers:
      return text.empty() ? headers_done() : parse_header_line(text);
    case Part::chunk_size:
      if (!parse_size(trim(text.substr(0, text.find(';'))), size, 16)) return fail();
      if (size > limits_.chunk) {
        too_large_ = true;
        return fail();
      }
      remaining_ = size;
      part_ = remaining_ == 0 ? Part::trailers : Part::chunk;
      return;
    case Part::chunk_end:
      if (!text.empty()) return fail();
      part_ = Part::chunk_size;
      return;
    case Part::trailers:
      if (text.empty()) state_ = State::done;
      return;
    default:
      return fail();
  }
}

// Parsers disagree on names that are not tokens, on whitespace before the colon and on folded lines.
void MessageParser::parse_header_line(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0) return fail();
  const std::string_view name = text.substr(0, colon);
  const std::string_view value = trim(text.substr(colon + 1));
  if (!std::ranges::all_of(name, is_token_char) || std::ranges::any_of(value, is_control)) return fail();
  if (headers_.size() == limits_.fields) {
    too_large_ = true;
    return fail();
  }
  headers_.emplace_back(name, value);
}

std::optional<MessageParser::BodyPosition> MessageParser::position() const {
  if (state_ != State::body || part_ < Part::chunk_size || part_ > Part::trailers) return std::nullopt;
  return BodyPosition{int(part_), remaining_, line_, keep_alive_};
}

bool MessageParser::resume_body(const BodyPosition& position) {
  const auto part = Part(position.part);
  if (part < Part::chunk_size || part > Part::trailers) return false;
  if (position.line.size() > kMaxLineBytes || position.remaining > limits_.chunk) return false;
  if (part == Part::chunk && position.remaining == 0) return false;
  part_ = part;
  remaining_ = position.remaining;
  line_ = position.line;
  keep_alive_ = position.keep_alive;
  state_ = State::body;
  return true;
}

void MessageParser::start_body(Part without_length) {
  const auto count = [this](std::string_view name) {
    return std::ranges::count_if(headers_, [name](const auto& h) { return same_name(h.first, name); });
  };
  const auto lengths = count("Content-Length"), codings = count("Transfer-Encoding");
  // Conflicting framing headers can be used to smuggle a second message.
  if (lengths + codings > 1) return fail();
  if (list_contains(header("Connection"), "close")) keep_alive_ = false;
  state_ = State::body;
  if (codings == 1) {
    if (!same_name(header("Transfer-Encoding"), "chunked")) return fail();
    part_ = Part::chunk_size;
  } else if (lengths == 1) {
    if (!parse_size(header("Content-Length"), remaining_, 10)) return fail();
    if (remaining_ > limits_.length) {
      too_large_ = true;
      return fail();
    }
    part_ = Part::length;
    if (remaining_ == 0) state_ = State::done;
  } else {
    part_ = without_length;
    if (without_length == Part::length) state_ = State::done;  // an empty body
    if (without_length == Part::until_end) keep_alive_ = false;
  }
}

}  // namespace bankmux::net
