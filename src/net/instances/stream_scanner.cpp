#include "net/instances/stream_scanner.hpp"

#include <nlohmann/json.hpp>

#include "net/instances/instance_client.hpp"

namespace bankmux::net {

namespace {

constexpr std::size_t kMostLine = 64 * 1024;  // a longer one is passed on unread

using nlohmann::json;

core::Tokens count(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<core::Tokens>() : 0;
}

}  // namespace

core::Tokens cached_tokens(std::string_view text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) return 0;
  if (value.contains("cached_tokens")) return count(value, "cached_tokens");
  const auto usage = value.find("usage");
  if (usage == value.end() || !usage->is_object()) return 0;
  const auto details = usage->find("prompt_tokens_details");
  return details != usage->end() && details->is_object() ? count(*details, "cached_tokens") : 0;
}

void StreamScanner::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (!skip_) line_.append(bytes.substr(0, end));
    if (line_.size() > kMostLine) {
      skip_ = true;
      line_.clear();
    }
    if (end == std::string_view::npos) return;
    if (!skip_) line();
    skip_ = false;
    line_.clear();
    bytes.remove_prefix(end + 1);
  }
}

void StreamScanner::line() {
  std::string_view text = line_;
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  constexpr std::string_view kReport = ": X-Pressure: ";
  if (text.starts_with(kReport)) report_ = parse_report(text.substr(kReport.size()));
  if (text.starts_with("event: error")) failed_ = true;
  if (!text.starts_with("data:")) return;
  text.remove_prefix(5);
  // Most events are a few letters of the answer; only those that can matter are parsed.
  if (text.find("\"usage\"") != std::string_view::npos) {
    if (const core::Tokens found = cached_tokens(text); found > 0) found_ = found;
  }
  if (text.find("\"error\"") != std::string_view::npos) {
    const json value = json::parse(text, nullptr, false);
    if (value.is_object() && value.contains("error") && !value["error"].is_null()) failed_ = true;
  }
}

}  // namespace bankmux::net
