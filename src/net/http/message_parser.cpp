#include "net/http/message_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bankmux::net {

namespace {

constexpr std::size_t kMostLine = 16 * 1024;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Digits alone: no sign, no space, no list of two.
bool read_size(std::string_view text, std::uint64_t& value, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool token_letter(unsigned char c) {
  return std::isalnum(c) || std::string_view("!#$%&'*+-.^_`|~").find(char(c)) != std::string_view::npos;
}

bool control(unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; }

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool lists(std::string_view value, std::string_view word) {
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
      const std::size_t take =
          part_ == Part::until_end ? rest.size() : std::size_t(std::min<std::uint64_t>(left_, rest.size()));
      body.append(rest.substr(0, take));
      used += take;
      if (part_ == Part::until_end) continue;
      left_ -= take;
      if (left_ > 0) continue;
      if (part_ == Part::length) state_ = State::done;
      part_ = Part::chunk_end;
      continue;
    }
    const std::size_t end = rest.find('\n');
    const std::size_t take = end == std::string_view::npos ? rest.size() : end + 1;
    const bool in_head = state_ == State::head || part_ == Part::trailers;
    line_.append(rest.substr(0, std::min(take, kMostLine + 1)));
    used += take;
    if (in_head) head_bytes_ += take;
    if (line_.size() > kMostLine || head_bytes_ > limits_.head) {
      too_large_ = true;
      fail();
    } else if (end != std::string_view::npos) {
      line_.pop_back();
      if (!line_.empty() && line_.back() == '\r') line_.pop_back();
      const std::string whole = std::exchange(line_, {});
      line(whole);
    } else if (part_ == Part::start_line && !may_start(line_)) {
      fail();
    }
  }
  return used;
}

void MessageParser::line(std::string_view text) {
  std::uint64_t size = 0;
  switch (part_) {
    case Part::start_line:
      if (text.empty() && may_start("\r")) return;  // some clients end a body with an empty line too many
      headers_.clear();
      part_ = Part::headers;
      if (std::ranges::any_of(text, control) || !start_line(text)) fail();
      return;
    case Part::headers:
      return text.empty() ? headers_done() : header_line(text);
    case Part::chunk_size:
      if (!read_size(trim(text.substr(0, text.find(';'))), size, 16)) return fail();
      if (size > limits_.chunk) {
        too_large_ = true;
        return fail();
      }
      left_ = size;
      part_ = left_ == 0 ? Part::trailers : Part::chunk;
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

// A name that is not a plain word, a space before the colon or a folded line is read in different ways by
// different programs.
void MessageParser::header_line(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0) return fail();
  const std::string_view name = text.substr(0, colon);
  const std::string_view value = trim(text.substr(colon + 1));
  if (!std::ranges::all_of(name, token_letter) || std::ranges::any_of(value, control)) return fail();
  headers_.emplace_back(name, value);
}

std::optional<MessageParser::Place> MessageParser::place() const {
  if (state_ != State::body || part_ < Part::chunk_size || part_ > Part::trailers) return std::nullopt;
  return Place{int(part_), left_, line_, keep_alive_};
}

bool MessageParser::go_on(const Place& place) {
  const auto part = Part(place.part);
  if (part < Part::chunk_size || part > Part::trailers) return false;
  if (place.line.size() > kMostLine || place.left > limits_.chunk) return false;
  if (part == Part::chunk && place.left == 0) return false;
  part_ = part;
  left_ = place.left;
  line_ = place.line;
  keep_alive_ = place.keep_alive;
  state_ = State::body;
  return true;
}

void MessageParser::start_body(Part unsized) {
  const auto count = [this](std::string_view name) {
    return std::ranges::count_if(headers_, [name](const auto& h) { return same_name(h.first, name); });
  };
  const auto lengths = count("Content-Length"), codings = count("Transfer-Encoding");
  // Two words on where a body ends may hide another message in it.
  if (lengths + codings > 1) return fail();
  if (lists(header("Connection"), "close")) keep_alive_ = false;
  state_ = State::body;
  if (codings == 1) {
    if (!same_name(header("Transfer-Encoding"), "chunked")) return fail();
    part_ = Part::chunk_size;
  } else if (lengths == 1) {
    if (!read_size(header("Content-Length"), left_, 10)) return fail();
    if (left_ > limits_.length) {
      too_large_ = true;
      return fail();
    }
    part_ = Part::length;
    if (left_ == 0) state_ = State::done;
  } else {
    part_ = unsized;
    if (unsized == Part::length) state_ = State::done;  // of none
    if (unsized == Part::until_end) keep_alive_ = false;
  }
}

}  // namespace bankmux::net
