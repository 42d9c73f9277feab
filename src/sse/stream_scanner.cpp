#include "sse/stream_scanner.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "sse/event_splitter.hpp"

namespace bankmux::sse {

namespace {

constexpr int kMaxUsageDepth = 3;                 // of objects in an answer: the usage, and its details
constexpr std::size_t kMaxLineBytes = 64 * 1024;  // longer lines are not inspected
constexpr int kMaxDataLines = 64;

using nlohmann::json;

// Whether text that begins after a quote is the key finish_reason with a string value.
bool has_finish_reason(std::string_view rest) {
  constexpr std::string_view kKey = "finish_reason\"";
  if (!rest.starts_with(kKey)) return false;
  rest.remove_prefix(kKey.size());
  while (!rest.empty() && (rest.front() == ' ' || rest.front() == ':')) rest.remove_prefix(1);
  return rest.starts_with('"');
}

eiderarch::Tokens integer_or_zero(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<eiderarch::Tokens>() : 0;
}

}  // namespace

std::optional<eiderarch::Tokens> cached_tokens(std::string_view text) {
  // Keeps only what is read below: an answer takes many times its length as parsed JSON.
  const auto keep = [](int depth, json::parse_event_t event, const json& parsed) {
    if (event == json::parse_event_t::key && depth == 1)
      return parsed == "cached_tokens" || parsed == "usage";
    return event != json::parse_event_t::array_start && depth <= kMaxUsageDepth;
  };
  const json value = json::parse(text, keep, false);
  if (!value.is_object()) return std::nullopt;
  if (value.contains("cached_tokens")) return integer_or_zero(value, "cached_tokens");
  const auto usage = value.find("usage");
  if (usage == value.end() || !usage->is_object()) return 0;
  const auto details = usage->find("prompt_tokens_details");
  return details != usage->end() && details->is_object() ? integer_or_zero(*details, "cached_tokens") : 0;
}

StreamScanner::StreamScanner(State state)
    : line_(std::move(state.line)),
      data_(std::move(state.data)),
      data_lines_(state.data_lines),
      skip_line_(state.skip),
      after_cr_(state.after_cr),
      failed_(state.failed) {}

void StreamScanner::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    // The LF of a CRLF whose CR has already ended the line.
    if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = line_end(bytes);
    if (end != std::string_view::npos && line_.empty() && !skip_line_ && end <= kMaxLineBytes) {
      scan_line(bytes.substr(0, end));  // the usual case: a complete line, scanned without copying
    } else {
      if (!skip_line_) line_.append(bytes.substr(0, end));
      if (line_.size() > kMaxLineBytes) {
        skip_line_ = true;
        line_.clear();
      }
      if (end == std::string_view::npos) return;
      if (!std::exchange(skip_line_, false)) scan_line(line_);
      line_.clear();
    }
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
  }
}

void StreamScanner::scan_line(std::string_view text) {
  if (text.starts_with("\xEF\xBB\xBF")) text.remove_prefix(3);
  if (text.empty()) {
    data_.clear();
    data_lines_ = 0;
    return;
  }
  constexpr std::string_view kLoadReportComment = ": X-Pressure: ";
  if (text.starts_with(kLoadReportComment)) report_ = parse_report(text.substr(kLoadReportComment.size()));
  if (text.starts_with("event: error")) failed_ = true;
  if (!text.starts_with("data:")) return;
  text.remove_prefix(5);
  if (text.starts_with(' ')) text.remove_prefix(1);
  if (++data_lines_ == 1) {
    data_ = text;
    return scan_data(data_);
  }
  // Several data lines form one text. It is scanned again with every line, so its size is limited.
  if (data_lines_ > kMaxDataLines || data_.size() + text.size() > kMaxLineBytes) return;
  data_ += '\n';
  data_ += text;
  scan_data(data_);
}

// Most events carry a few characters of the answer, so only events that can matter are parsed as JSON. One
// pass goes from quote to quote: quotes inside a JSON string are escaped, so the text between two unescaped
// quotes is a complete key or string.
void StreamScanner::scan_data(std::string_view text) {
  if (text == "[DONE]") done_ = finished_ = true;
  bool usage = false, error = false, type = false;
  std::string_view response;  // the rest of a string that begins with "response."
  for (std::size_t at = 0; (at = text.find('"', at)) != std::string_view::npos;) {
    const std::string_view rest = text.substr(++at);
    if (rest.empty()) break;
    switch (rest.front()) {
      case 'u':
        usage |= rest.starts_with("usage\"");
        break;
      case 'e':
        error |= rest.starts_with("error\"");
        break;
      case 't':
        type |= rest.starts_with("type\"");
        break;
      case 'r':
        if (response.empty() && rest.starts_with("response.")) response = rest.substr(9);
        break;
      case 'f':
        finished_ |= has_finish_reason(rest);
        break;
      default:
        break;
    }
  }
  if (usage) reported_cached_tokens_ = std::max(reported_cached_tokens_, cached_tokens(text).value_or(0));
  if (error) {
    const json value = json::parse(text, nullptr, false);
    if (value.is_object() && value.contains("error") && !value["error"].is_null()) failed_ = true;
  }
  if (!type || response.empty()) return;
  if (response.starts_with("completed\"") || response.starts_with("incomplete\"")) done_ = finished_ = true;
  if (response.starts_with("failed\"")) failed_ = true;
}

eiderarch::LoadReport parse_report(std::string_view text) {
  using Field = eiderarch::ReportField;
  static const std::pair<std::string_view, Field> kNames[] = {
      {"inflight", Field::in_flight},    {"queue", Field::queued}, {"util", Field::utilisation},
      {"latency_ms", Field::latency_ms}, {"qps", Field::rate},     {"eps", Field::errors},
      {"concurrent", Field::in_flight},  {"depth", Field::queued}, {"x0", Field::memory_share},
      {"x1", Field::queued_ktokens}};
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

}  // namespace bankmux::sse
