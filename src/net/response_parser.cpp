#include "net/response_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bankmux::net {

namespace {

constexpr std::size_t kMostLine = 16 * 1024;
constexpr std::size_t kMostHead = 64 * 1024;
constexpr std::uint64_t kMostChunk = 1ULL << 30;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool read_number(std::string_view text, std::uint64_t& value, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty() && value <= kMostChunk;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view ResponseParser::header(std::string_view name) const {
  for (const auto& [key, value] : headers_) {
    if (same_name(key, name)) return value;
  }
  return {};
}

std::size_t ResponseParser::feed(std::string_view bytes, std::string& body) {
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
    line_.append(rest.substr(0, take));
    used += take;
    if (line_.size() > kMostLine) fail();
    if (end == std::string_view::npos) continue;
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    const std::string whole = std::exchange(line_, {});
    line(whole);
  }
  return used;
}

bool ResponseParser::finish() {
  if (state_ == State::body && part_ == Part::until_end) state_ = State::done;
  return state_ == State::done;
}

void ResponseParser::line(std::string_view text) {
  switch (part_) {
    case Part::status_line: {
      std::uint64_t status = 0;
      if (text.size() < 12 || !text.starts_with("HTTP/1.") || text[8] != ' ' ||
          !read_number(text.substr(9, 3), status, 10) || (text.size() > 12 && text[12] != ' ')) {
        return fail();
      }
      status_ = int(status);
      keep_alive_ = text[7] != '0';
      headers_.clear();
      head_bytes_ = 0;
      part_ = Part::headers;
      return;
    }
    case Part::headers: {
      head_bytes_ += text.size();
      if (head_bytes_ > kMostHead) return fail();
      if (text.empty()) return start_body();
      const std::size_t colon = text.find(':');
      if (colon == std::string_view::npos || colon == 0) return fail();
      headers_.emplace_back(text.substr(0, colon), trim(text.substr(colon + 1)));
      return;
    }
    case Part::chunk_size: {
      if (!read_number(trim(text.substr(0, text.find(';'))), left_, 16)) return fail();
      part_ = left_ == 0 ? Part::trailers : Part::chunk;
      return;
    }
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

void ResponseParser::start_body() {
  if (status_ >= 100 && status_ < 200) {
    part_ = Part::status_line;  // an interim answer; the real one follows
    return;
  }
  has_head_ = true;
  state_ = State::body;
  if (same_name(header("Connection"), "close")) keep_alive_ = false;
  if (same_name(header("Connection"), "keep-alive")) keep_alive_ = true;
  if (status_ == 204 || status_ == 304) {
    state_ = State::done;
  } else if (same_name(header("Transfer-Encoding"), "chunked")) {
    part_ = Part::chunk_size;
  } else if (const std::string_view length = header("Content-Length"); !length.empty()) {
    if (!read_number(length, left_, 10)) return fail();
    part_ = Part::length;
    if (left_ == 0) state_ = State::done;
  } else {
    part_ = Part::until_end;
    keep_alive_ = false;
  }
}

}  // namespace bankmux::net
