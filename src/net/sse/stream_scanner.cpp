#include "net/sse/stream_scanner.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace bankmux::net {

namespace {

constexpr std::size_t kMostLine = 64 * 1024;  // a longer one is passed on unread
constexpr int kMostDataLines = 64;

using nlohmann::json;

core::Tokens count(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<core::Tokens>() : 0;
}

}  // namespace

std::optional<core::Tokens> cached_tokens(std::string_view text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) return std::nullopt;
  if (value.contains("cached_tokens")) return count(value, "cached_tokens");
  const auto usage = value.find("usage");
  if (usage == value.end() || !usage->is_object()) return 0;
  const auto details = usage->find("prompt_tokens_details");
  return details != usage->end() && details->is_object() ? count(*details, "cached_tokens") : 0;
}

void StreamScanner::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    // The LF of a CRLF whose CR has ended the line.
    if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = bytes.find_first_of("\r\n");
    if (!skip_) line_.append(bytes.substr(0, end));
    if (line_.size() > kMostLine) {
      skip_ = true;
      line_.clear();
    }
    if (end == std::string_view::npos) return;
    after_cr_ = bytes[end] == '\r';
    if (!skip_) line();
    skip_ = false;
    line_.clear();
    bytes.remove_prefix(end + 1);
  }
}

void StreamScanner::line() {
  std::string_view text = line_;
  if (text.starts_with("\xEF\xBB\xBF")) text.remove_prefix(3);
  if (text.empty()) {
    data_.clear();
    data_lines_ = 0;
    return;
  }
  constexpr std::string_view kReport = ": X-Pressure: ";
  if (text.starts_with(kReport)) report_ = parse_report(text.substr(kReport.size()));
  if (text.starts_with("event: error")) failed_ = true;
  if (!text.starts_with("data:")) return;
  text.remove_prefix(5);
  if (text.starts_with(' ')) text.remove_prefix(1);
  if (++data_lines_ == 1) {
    data_ = text;
    return data(data_);
  }
  // Data on several lines is one text. Looked at line by line, so bounded.
  if (data_lines_ > kMostDataLines || data_.size() + text.size() > kMostLine) return;
  data_ += '\n';
  data_ += text;
  data(data_);
}

void StreamScanner::data(std::string_view text) {
  if (text == "[DONE]") done_ = finished_ = true;
  // Most events are a few letters of the answer; only those that can matter are parsed. A quote within a text
  // is escaped, so these can only be keys.
  if (text.find("\"usage\"") != std::string_view::npos) {
    if (const core::Tokens found = cached_tokens(text).value_or(0); found > 0) found_ = found;
  }
  if (text.find("\"error\"") != std::string_view::npos) {
    const json value = json::parse(text, nullptr, false);
    if (value.is_object() && value.contains("error") && !value["error"].is_null()) failed_ = true;
  }
  constexpr std::string_view kReason = "\"finish_reason\"";
  for (std::size_t at = 0; !finished_ && (at = text.find(kReason, at)) != std::string_view::npos;) {
    at += kReason.size();
    while (at < text.size() && (text[at] == ' ' || text[at] == ':')) ++at;
    finished_ = at < text.size() && text[at] == '"';
  }
  constexpr std::string_view kType = "\"type\"";
  if (const std::size_t at = text.find("\"response.");
      at != std::string_view::npos && text.find(kType) != std::string_view::npos) {
    const std::string_view rest = text.substr(at + 10);
    const bool last = rest.starts_with("completed\"") || rest.starts_with("incomplete\"");
    if (last) done_ = finished_ = true;
    if (rest.starts_with("failed\"")) failed_ = true;
  }
}

eiderarch::LoadReport parse_report(std::string_view text) {
  using Field = eiderarch::ReportField;
  static const std::pair<std::string_view, Field> kNames[] = {
      {"inflight", Field::in_flight},    {"queue", Field::queued},     {"util", Field::utilisation},
      {"latency_ms", Field::latency_ms}, {"qps", Field::rate},         {"eps", Field::errors},
      {"x0", Field::memory_share},       {"x1", Field::queued_ktokens}};
  eiderarch::LoadReport report;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view key = item.substr(0, equals);
    while (!key.empty() && key.front() == ' ') key.remove_prefix(1);
    const std::string value(item.substr(equals + 1));
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (end == value.c_str()) continue;
    for (const auto& [name, field] : kNames) {
      if (name == key) report.push_back({field, number});
    }
  }
  return report;
}

}  // namespace bankmux::net
