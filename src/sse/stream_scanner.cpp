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
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";  // of UTF-8; ignored at the start of a stream
constexpr std::string_view kResponseTypePrefix = "response.";
constexpr std::string_view kEndMarker = "[DONE]";

using nlohmann::json;

// Whether text that begins after a quote is the key finish_reason with a string value.
bool has_finish_reason(std::string_view rest) {
  constexpr std::string_view kKey = "finish_reason\"";
  if (!rest.starts_with(kKey)) return false;
  rest.remove_prefix(kKey.size());
  while (!rest.empty() && (rest.front() == ' ' || rest.front() == ':')) rest.remove_prefix(1);
  return rest.starts_with('"');
}

// The `type` of an event in the format of responses; empty if it has none.
std::string event_type(const json& value) {
  if (!value.is_object()) return "";
  const auto type = value.find("type");
  return type != value.end() && type->is_string() ? type->get<std::string>() : "";
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
      return parsed == "cached_tokens" || parsed == "usage" || parsed == "error";
    return event != json::parse_event_t::array_start && depth <= kMaxUsageDepth;
  };
  const json value = json::parse(text, keep, false);
  if (!value.is_object() || (value.contains("error") && !value["error"].is_null())) return std::nullopt;
  if (value.contains("cached_tokens")) return integer_or_zero(value, "cached_tokens");
  const auto usage = value.find("usage");
  if (usage == value.end() || !usage->is_object()) return 0;
  const auto details = usage->find("prompt_tokens_details");
  return details != usage->end() && details->is_object() ? integer_or_zero(*details, "cached_tokens") : 0;
}

void StreamScanner::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    // The LF of a CRLF whose CR has already ended the line.
    if (std::exchange(state_.after_cr, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const std::size_t end = line_end(bytes);
    if (end != std::string_view::npos && state_.line.empty() && !state_.skip && end <= kMaxLineBytes) {
      scan_line(bytes.substr(0, end));  // the usual case: a complete line, scanned without copying
    } else {
      if (!state_.skip) state_.line.append(bytes.substr(0, end));
      if (state_.line.size() > kMaxLineBytes) {
        state_.skip = true;
        state_.event_too_long |= state_.line.starts_with(kDataField);
        state_.line.clear();
      }
      if (end == std::string_view::npos) return;
      if (!std::exchange(state_.skip, false)) scan_line(state_.line);
      state_.line.clear();
    }
    state_.after_cr = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
  }
}

void StreamScanner::scan_line(std::string_view text) {
  if (std::exchange(state_.at_start, false) && text.starts_with(kByteOrderMark))
    text.remove_prefix(kByteOrderMark.size());
  if (text.empty()) return end_event();
  constexpr std::string_view kLoadReportComment = ": X-Pressure: ";
  if (text.starts_with(kLoadReportComment)) report_ = parse_report(text.substr(kLoadReportComment.size()));
  if (text.starts_with("event: error")) state_.failed = true;
  if (!text.starts_with(kDataField)) return;
  text.remove_prefix(kDataField.size());
  if (text.starts_with(' ')) text.remove_prefix(1);
  add_data_line(text);
}

// Several data lines form one text, joined by LF. It is inspected again with every line, because an error
// counts before its event is complete.
void StreamScanner::add_data_line(std::string_view text) {
  if (++state_.data_lines > 1) state_.data += '\n';
  state_.event_too_long |=
      state_.data_lines > kMaxDataLines || state_.data.size() + text.size() > kMaxLineBytes;
  if (state_.event_too_long) return;
  state_.data += text;
  state_.may_end_answer = inspect_data(state_.data);
}

void StreamScanner::end_event() {
  if (state_.may_end_answer && !state_.event_too_long) note_end(state_.data);
  state_.data.clear();
  state_.data_lines = 0;
  state_.event_too_long = state_.may_end_answer = false;
}

// Most events carry a few characters of the answer, so only events that can matter are parsed as JSON. One
// pass goes from quote to quote: quotes inside a JSON string are escaped, so the text between two unescaped
// quotes is a complete key or string.
bool StreamScanner::inspect_data(std::string_view text) {
  bool usage = false, error = false, type = false, response = false, finish = false;
  for (std::size_t at = 0; (at = text.find('"', at)) != std::string_view::npos;) {
    const std::string_view rest = text.substr(++at);
    usage |= rest.starts_with("usage\"");
    error |= rest.starts_with("error\"");
    type |= rest.starts_with("type\"");
    response |= rest.starts_with(kResponseTypePrefix);
    finish |= has_finish_reason(rest);
  }
  if (usage) reported_cached_tokens_ = std::max(reported_cached_tokens_, cached_tokens(text).value_or(0));
  const bool response_event = type && response;
  if (error || response_event) {
    const json value = json::parse(text, nullptr, false);
    state_.failed |= value.is_object() && value.contains("error") && !value["error"].is_null();
    state_.failed |= event_type(value) == "response.failed";
  }
  return text == kEndMarker || finish || response_event;
}

void StreamScanner::note_end(std::string_view text) {
  if (text == kEndMarker) {
    state_.done = true;
    return;
  }
  const json value = json::parse(text, nullptr, false);
  const std::string type = event_type(value);
  state_.done |= type == "response.completed" || type == "response.incomplete";
  note_finished_choices(value);
}

void StreamScanner::note_finished_choices(const json& value) {
  if (!value.is_object() || !value.contains("choices") || !value["choices"].is_array()) return;
  for (const json& choice : value["choices"]) {
    if (!choice.is_object()) continue;
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || !reason->is_string()) continue;
    const std::int64_t index = integer_or_zero(choice, "index");
    // Bounds memory: an instance may name any index.
    if (index >= 0 && index < choices_) state_.finished_choices.insert(index);
  }
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
