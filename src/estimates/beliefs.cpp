#include "estimates/beliefs.hpp"

namespace eiderarch {

void Estimates::apply_list(const ListChanged& e) {
  list_received |= e.scope != ListScope::disk;
  // Instances that a complete list does not name are gone. Marking all first and then updating those named
  // takes one pass; lists are long.
  if (e.scope != ListScope::changes) {
    for (auto& [id, instance] : instances) instance.entry.state = EngineState::gone;
  }
  for (const EngineEntry& entry : e.entries) {
    if (entry.kind >= settings.kinds.size()) continue;
    Instance& instance = instances[entry.engine];
    // A new start time means a new process with an empty cache: everything learned about the old one is
    // dropped.
    if (entry.started != instance.entry.started || entry.state == EngineState::gone) {
      instance.cached_prefixes = PrefixTable{};
      instance.pace = Pace{};
      instance.all_classes = OutcomeRecord{};
      instance.by_class.clear();
      instance.slow_start_credit = 1.0;
      instance.credit_at = now;
      instance.ejected_until = instance.busy_until = instance.reported_at = instance.memory_reported_at = -1h;
    }
    instance.entry = entry;
    instance.role = settings.kinds[entry.kind].role;
    instance.memory = settings.kinds[entry.kind].memory;
  }
  cell_capacity.clear();
  capacity = Capacity{};
  for (const auto& [id, instance] : instances) {
    if (!instance.live()) continue;
    for (Capacity* total : {&capacity, &cell_capacity[instance.entry.cell]}) {
      (instance.is_prefill() ? total->prefill : total->decode) += std::max(0.01, instance.entry.rating);
    }
  }
  peak_capacity = {std::max(peak_capacity.prefill, capacity.prefill),
                   std::max(peak_capacity.decode, capacity.decode)};
}

double Estimates::stage_delay(bool prefill) const {
  const Trend& trend = stage_delays[prefill ? 1 : 0];
  return trend.value * std::exp(-seconds(now - trend.updated_at) / kPaceFadeSeconds);
}

// Tokens of all fronts queued at an instance: as reported recently, else as is typical for the role. A probe
// waits in the same queue, so a late answer means a long queue.
double Estimates::queued_tokens(const Instance& e) const { return e.work + reported_queue(e); }

double Estimates::reported_queue(const Instance& e) const {
  const double fade = std::exp(-seconds(now - e.reported_at) / kReportFadeSeconds);
  const double reported = std::lerp(typical_queue[e.is_prefill() ? 1 : 0], e.reported_tokens, fade);
  return e.probe_pending && now - e.probed_at >= kReportWait ? std::max(reported, late_probe_queue)
                                                             : reported;
}

// Share of a prompt found cached at an instance of this home rank, learned per class from reports.
double Estimates::cached_share(std::uint32_t cls, int home_rank) const {
  const auto it = cached_shares.find({cls, home_rank});
  return it == cached_shares.end() ? kInitialCachedShare / (1.0 + home_rank) : it->second;
}

void Estimates::apply_report(Instance& e, const LoadReport& report) const {
  for (const LoadValue& value : report) {
    if (value.field != ReportField::memory_share || !(value.value >= 0.0)) continue;
    e.reported_memory_share = std::min(value.value, 1.0);
    e.memory_reported_at = now;
    e.resident_at_report = e.resident_tokens;
  }
}

double Estimates::memory_used(const Instance& e) const {
  if (e.memory <= 0) return 0.0;
  const double since = e.reported_memory_share * double(e.memory) + e.resident_tokens - e.resident_at_report;
  return std::max(e.resident_tokens, since) / double(e.memory);
}

void Estimates::learn_cached_share(std::uint32_t cls, int home_rank, Tokens prompt, Tokens reported) {
  const double share = cached_share(cls, home_rank);
  const double latest = std::clamp(double(reported) / double(std::max<Tokens>(1, prompt)), 0.0, 1.0);
  cached_shares[{cls, home_rank}] = share + kPaceGain * (latest - share);
}

double Estimates::transfer_time(const Instance& from, const Instance& to, Tokens tokens) const {
  const auto failed_path = failed_paths.find({from.entry.cell, to.entry.cell});
  if (failed_path != failed_paths.end() && now < failed_path->second) return kFailedPathSeconds;
  if (from.entry.cell == to.entry.cell) return kSameCellMovePace * double(tokens);
  const auto link = cell_links.find(from.entry.cell);
  const double pace =
      link == cell_links.end() ? kInitialCellLinkPace : link->second.estimate(now, kInitialCellLinkPace);
  return double(tokens) * pace;
}

// Median of a role's paces, each faded towards the role's recent pace; cached until the next moment.
double Estimates::median_pace(bool prefill) const {
  const std::size_t role = prefill ? 1 : 0;
  if (median_paces[role]) return *median_paces[role];
  std::vector<double> known_paces;
  for (const auto& [id, e] : instances) {
    if (e.is_prefill() != prefill || !e.live() || e.pace.value <= 0.0) continue;
    known_paces.push_back(e.pace.estimate(now, role_paces[role].value));
  }
  if (known_paces.empty()) known_paces.push_back(role_paces[role].value);
  const auto middle = known_paces.begin() + std::ptrdiff_t((known_paces.size() - 1) / 2);
  std::nth_element(known_paces.begin(), middle, known_paces.end());
  return median_paces[role].emplace(*middle);
}

double Estimates::pace(const Instance& e) const { return e.pace.estimate(now, median_pace(e.is_prefill())); }

void Estimates::sample(Instance& e, double value) {
  role_paces[e.is_prefill() ? 1 : 0].add(now, value);
  e.pace.sample(now, median_pace(e.is_prefill()), value);
  median_paces = {};
}

double Estimates::role_failure_share(bool prefill, std::uint32_t cls) const {
  const auto role = role_outcomes.find({prefill, cls});
  return role == role_outcomes.end() ? kInitialFailureShare
                                     : role->second.failure_share(now, kInitialFailureShare, 2.0);
}

double Estimates::failure_share(const Instance& e, std::uint32_t cls, double prior) const {
  const auto zone = zone_outcomes.find(e.entry.zone);
  if (zone != zone_outcomes.end())
    prior = std::max(prior, zone->second.failure_share(now, kInitialFailureShare, 2.0));
  const double peers = prior;
  prior = e.all_classes.failure_share(now, prior, 1.0);
  const auto own = e.by_class.find(cls);
  if (own != e.by_class.end()) prior = own->second.failure_share(now, prior, 1.0);
  return peers < kDegradedFailureShare && prior < peers + kInitialFailureShare ? peers : prior;
}

bool Estimates::in_slow_start(const Instance& e) const {
  return e.entry.started > Time{0} && now - e.entry.started < settings.rules.cold_time;
}

// Requests per second that this front sends to an instance of this role and size, from its recent arrivals.
double Estimates::expected_rate(const Instance& e) const {
  const double role_capacity = std::max(0.01, e.is_prefill() ? capacity.prefill : capacity.decode);
  return double(arrivals.size()) / kRateWindowSeconds * std::max(0.01, e.entry.rating) / role_capacity;
}

}  // namespace eiderarch
