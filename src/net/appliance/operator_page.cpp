#include "net/appliance/operator_page.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <tuple>

namespace bankmux::net {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxTenantsOnStatusPage = 20;  // /-/tenants shows all

json tenant_json(const admission::TenantUsage& usage) {
  return {{"tenant", usage.name},       {"open", usage.open},        {"admitted", usage.admitted},
          {"tokens", usage.tokens},     {"limited", usage.limited},  {"over_share", usage.over_share},
          {"held_off", usage.held_off}, {"replayed", usage.replayed}};
}

// Decodes percent-encoding; nullopt if it is malformed.
std::optional<std::string> percent_decoded(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    unsigned value = 0;
    if (text.size() - i < 3) return std::nullopt;
    const auto [end, error] = std::from_chars(&text[i + 1], &text[i + 3], value, 16);
    if (error != std::errc() || end != &text[i + 3]) return std::nullopt;
    out += char(value);
    i += 2;
  }
  return out;
}

const char* state_name(eiderarch::EngineState state) {
  switch (state) {
    case eiderarch::EngineState::live:
      return "up";
    case eiderarch::EngineState::draining:
      return "drain";
    case eiderarch::EngineState::gone:
      break;
  }
  return "down";
}

}  // namespace

OperatorPage::OperatorPage(const core::Conductor& conductor, const core::Scheduler& scheduler,
                           InstanceMonitor& monitor, const admission::AdmissionControl& admission_control,
                           const config::Appliance& appliance)
    : conductor_(conductor),
      scheduler_(scheduler),
      monitor_(monitor),
      admission_control_(admission_control),
      appliance_(appliance),
      started_(scheduler.now()) {}

HealthStatus OperatorPage::health_status() const {
  const std::size_t serving = monitor_.serving_count();
  if (serving == 0) return {HealthStatus::State::down, 0};
  if (drained_by_operator_ || shutting_down_) return {HealthStatus::State::drain, 0};
  const double serving_fraction = double(serving) / double(appliance_.boxes.size());
  const double free_fraction = 1.0 - double(conductor_.open_requests()) / double(conductor_.max_requests());
  return {HealthStatus::State::up, int(std::lround(100.0 * serving_fraction * free_fraction))};
}

std::string OperatorPage::status() const {
  const core::RequestCounters& counters = conductor_.figures();
  const HealthStatus health_status = this->health_status();
  std::string line = agent_line(health_status);
  line.pop_back();
  json out = {{"name", appliance_.name},
              {"standing", line},
              {"uptime_s", double((scheduler_.now() - started_).count()) / 1e6},
              {"requests",
               {{"open", conductor_.open_requests()},
                {"most", conductor_.max_requests()},
                {"taken", counters.taken},
                {"served", counters.served},
                {"refused", counters.refused},
                {"failed", counters.failed},
                {"broken", counters.broken},
                {"client_gone", counters.gone},
                {"continued", counters.continued},
                {"saved", counters.saved},
                {"end_added", counters.finished},
                {"suspected", counters.suspected},
                {"attempts", counters.attempts}}},
              {"boxes", json::array()}};
  for (const config::Instance& instance : appliance_.boxes) {
    for (const auto& [engine, member] : conductor_.fleet().members()) {
      if (member.target.id != instance.id) continue;
      out["boxes"].push_back({{"id", instance.id},
                              {"address", instance.address},
                              {"state", state_name(member.entry.state)},
                              {"weight", instance.weight},
                              {"out", conductor_.active_attempts_at(engine)}});
    }
  }
  out["door"] = {
      {"keys", admission_control_.keys() ? json(admission_control_.keys()->keys().size()) : json(nullptr)},
      {"unknown_keys", admission_control_.unknown_keys()},
      {"ledger",
       {{"entries", admission_control_.ledger().entries()},
        {"most", admission_control_.ledger().limits().entries},
        {"answer_bytes", admission_control_.ledger().answer_bytes()}}},
      {"tenants", json::array()}};
  std::vector<const admission::TenantUsage*> busiest;
  for (const auto& [name, usage] : admission_control_.tenants()) busiest.push_back(&usage);
  const std::size_t shown = std::min(busiest.size(), kMaxTenantsOnStatusPage);
  std::ranges::partial_sort(busiest, busiest.begin() + std::ptrdiff_t(shown),
                            [](const auto* a, const auto* b) {
                              return std::tuple(a->open, a->admitted) > std::tuple(b->open, b->admitted);
                            });
  for (std::size_t i = 0; i < shown; ++i) out["door"]["tenants"].push_back(tenant_json(*busiest[i]));
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Each tenant with its usage and its keys, and for each key the limits and what remains of them.
std::string OperatorPage::tenants() const {
  std::map<std::string, json> all;
  for (const auto& [name, usage] : admission_control_.tenants()) all[name] = tenant_json(usage);
  if (admission_control_.keys()) {
    for (const auto& [id, key] : admission_control_.keys()->keys()) {
      const auto status = admission_control_.limiter().limit_status(scheduler_.now(), id, key.limits);
      const auto [it, inserted] = all.try_emplace(key.tenant);
      if (inserted) it->second = tenant_json({key.tenant});
      const auto limit = [](std::int64_t most, std::int64_t left) {
        return most > 0 ? json{{"limit", most}, {"left", left}} : json(nullptr);
      };
      it->second["keys"].push_back(
          {{"id", id},
           {"models", key.models},
           {"requests_per_minute", limit(key.limits.requests_per_minute, status.remaining_requests)},
           {"tokens_per_minute", limit(key.limits.tokens_per_minute, status.remaining_tokens)},
           {"open", limit(key.limits.open, key.limits.open - admission_control_.limiter().open(id))}});
    }
  }
  json out = {{"keyed", admission_control_.keys().has_value()}, {"tenants", json::array()}};
  for (auto& [name, tenant] : all) out["tenants"].push_back(std::move(tenant));
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string OperatorPage::ledger(const std::string& key) const {
  json out = {{"key", key}, {"entries", json::array()}};
  for (const admission::Ledger::EntryInfo& entry : admission_control_.ledger().find(key)) {
    const bool known = entry.status != 0;
    const char* state = entry.open > 0 ? "running" : known ? "answered" : "outcome_unknown";
    out["entries"].push_back({{"tenant", entry.tenant},
                              {"state", state},
                              {"may_have_run", entry.may_have_run},
                              {"repeat", entry.once ? "never" : "safe"},
                              {"status", known ? json(entry.status) : json(nullptr)},
                              {"answer_bytes", entry.bytes},
                              {"ended_s_ago", double(entry.since_end.count()) / 1e6}});
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

void OperatorPage::drain_instance(std::unique_ptr<IncomingRequest> incoming, const std::string& id,
                                  bool drained) {
  if (!monitor_.has(id)) return incoming->answer(404, {}, "no such box\n");
  if (!shared_operations_) {
    monitor_.drain(id, drained);
    return incoming->answer(204, {}, "");
  }
  // Applies it to all processes before answering, because another process may send requests to the instance.
  const auto pending = std::make_shared<std::unique_ptr<IncomingRequest>>(std::move(incoming));
  shared_operations_->drain(id, drained, [this, pending, id, drained](bool written) {
    if (!written) {
      return (*pending)->answer(503, {{"Retry-After", "1"}}, "could not be written down; call again\n");
    }
    monitor_.drain(id, drained);
    (*pending)->answer(204, {}, "");
  });
}

void OperatorPage::handle(std::unique_ptr<IncomingRequest> incoming) {
  const std::string path = incoming->path();
  const std::string method = incoming->method();
  if (path == "/-/status" && method == "GET") {
    return incoming->answer(200, {{"Content-Type", "application/json"}}, status());
  }
  if (path == "/-/tenants" && method == "GET") {
    return incoming->answer(200, {{"Content-Type", "application/json"}}, tenants());
  }
  if (path == "/-/duties" && method == "GET") {
    if (!shared_operations_) return incoming->answer(404, {}, "no 'coordination' in this appliance's file\n");
    return incoming->answer(
        200, {{"Content-Type", "application/json"}},
        shared_operations_->duties().dump(-1, ' ', false, json::error_handler_t::replace));
  }
  constexpr std::string_view kLedger = "/-/ledger/";
  if (path.starts_with(kLedger) && method == "GET") {
    const auto key = percent_decoded(path.substr(kLedger.size()));
    if (!key) return incoming->answer(400, {}, "the key is not sound percent-encoding\n");
    return incoming->answer(200, {{"Content-Type", "application/json"}}, ledger(*key));
  }
  if (path == "/-/healthy" && method == "GET") {
    const bool up = health_status().state == HealthStatus::State::up;
    return incoming->answer(up ? 200 : 503, {}, agent_line(health_status()));
  }
  if (method == "POST" && (path == "/-/drain" || path == "/-/resume")) {
    drained_by_operator_ = path == "/-/drain";
    return incoming->answer(204, {}, "");
  }
  constexpr std::string_view kBoxes = "/-/boxes/";
  const std::size_t slash = path.rfind('/');
  const std::string action = path.substr(slash + 1);
  if (method == "POST" && path.starts_with(kBoxes) && slash > kBoxes.size() &&
      (action == "drain" || action == "resume")) {
    const std::string id = path.substr(kBoxes.size(), slash - kBoxes.size());
    return drain_instance(std::move(incoming), id, action == "drain");
  }
  incoming->answer(404, {}, "no such page\n");
}

}  // namespace bankmux::net
