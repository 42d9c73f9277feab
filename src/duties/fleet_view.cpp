#include "duties/fleet_view.hpp"

#include <nlohmann/json.hpp>

namespace bankmux::duties {

using nlohmann::json;

std::string encode(const HealthReport& report) {
  return json{{"number", report.number}, {"runs", report.running}}.dump(-1, ' ', false,
                                                                        json::error_handler_t::replace);
}

std::optional<HealthReport> decode_report(std::string_view text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("number") || !value["number"].is_number_unsigned() ||
      !value.contains("runs") || !value["runs"].is_object() || value["runs"].size() > kMostBoxes) {
    return std::nullopt;
  }
  HealthReport report;
  report.number = value["number"].get<std::uint64_t>();
  for (const auto& [instance, runs] : value["runs"].items()) {
    if (!runs.is_boolean()) return std::nullopt;
    report.running[instance] = runs.get<bool>();
  }
  return report;
}

bool SharedHealthView::update(Time now, std::uint64_t revision, std::string_view text) {
  if (revision <= revision_) return false;
  auto report = decode_report(text);
  // An unreadable report is ignored; the previous one stays until it is too old.
  if (!report) return false;
  revision_ = revision;
  report_ = std::move(*report);
  received_at_ = now;
  return true;
}

bool SharedHealthView::must_check(Time now, bool owner) const {
  return owner || !received_at_ || now - *received_at_ >= max_age_;
}

std::optional<bool> SharedHealthView::is_running(Time now, const std::string& instance) const {
  if (!received_at_ || now - *received_at_ >= max_age_) return std::nullopt;
  const auto it = report_.running.find(instance);
  return it == report_.running.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Time> SharedHealthView::age(Time now) const {
  return received_at_ ? std::optional(now - *received_at_) : std::nullopt;
}

}  // namespace bankmux::duties
