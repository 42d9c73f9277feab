// The choice of a prefill instance: home instances, the cost of a prefill, and which instances to probe
// first.
#include "router/impl.hpp"

namespace eiderarch {

// Each prefix has a few home instances by rendezvous hash, and each session one of these. Fronts that do not
// communicate, and that serve a session in turn, thus prefill it where its prefix is cached.
void Router::Impl::choose_home_instances(const Request& r) {
  std::vector<std::pair<double, EngineId>> ranks;
  for (const auto& [id, e] : estimates_.instances) {
    if (!e.is_prefill() || !e.live() || now_ < e.ejected_until) continue;
    ranks.emplace_back(
        zone_penalty(e) - rendezvous_score(r.arrival.prefix != 0 ? r.arrival.prefix : r.arrival.session, e),
        id);
  }
  home_instance_ = 0;
  home_instances_.clear();
  preferred_cell_.reset();
  if (ranks.empty()) return;
  const auto homes = ranks.begin() + std::ptrdiff_t(std::min(kHomesPerPrefix, ranks.size()));
  std::partial_sort(ranks.begin(), homes, ranks.end());
  for (auto it = ranks.begin(); it != homes; ++it) {
    const Instance& e = *estimates_.find(it->second);
    it->first = zone_penalty(e) - rendezvous_score(r.arrival.session, e);
    home_instances_.push_back(it->second);
  }
  home_instance_ = std::min_element(ranks.begin(), homes)->second;
  // Cells differ in their mix of roles. The sessions of a cell with many prefill instances prefer its decode
  // instances only up to somewhat more than an even load on these; the rest goes to other cells.
  const std::uint32_t cell = estimates_.find(home_instance_)->entry.cell;
  const double decode_per_prefill =
      estimates_.cell_capacity[cell].decode / estimates_.cell_capacity[cell].prefill;
  const double preferred_share = kCellLoadFactor * decode_per_prefill * estimates_.capacity.prefill /
                                 std::max(1e-9, estimates_.capacity.decode);
  if (unit_interval(mix(r.arrival.session, cell + 1)) < preferred_share) preferred_cell_ = cell;
}

// Ranks instances of other zones after all of the own zone if crossing zones is expensive.
double Router::Impl::zone_penalty(const Instance& e) const {
  return e.entry.zone == settings_.zone || settings_.prices.cross_zone <= kExpensiveCrossZonePrice ? 0.0
                                                                                                   : 1e6;
}

// The cost in seconds: waiting for own work there, prefilling the uncached tokens, moving the KV cache to the
// decode instance.
Instance* Router::Impl::choose_prefill_instance(const Request& r, const Instance& decode_instance) {
  Instance* best = nullptr;
  double best_cost = 0.0;
  const double role_failures = estimates_.role_failure_share(true, r.arrival.request_class);
  for (Instance* e : candidates(r, true)) {
    double cost = prefill_cost(*e, decode_instance, r) +
                  kFailureCostSeconds * estimates_.failure_share(*e, r.arrival.request_class, role_failures);
    if (home_rank_of(e->entry.engine) == 2) cost *= kNonHomeCostFactor;
    if (best != nullptr && cost >= best_cost) continue;
    best = e;
    best_cost = cost;
  }
  return best;
}

// If own traffic is too sparse to estimate the queues, probes the session's home instance before the choice
// and, if its queue makes that worthwhile, the prefix's other homes and one more, drawn at random. Returns
// true while answers are pending. Without it, a popular prefix queues at one prefill instance beside idle
// ones. Cost: the probe's work, price and time.
bool Router::Impl::await_queue_reports(const Request& r, const Instance& decode_instance) {
  bool awaited = false;
  Instance* const home = estimates_.find(home_instance_);
  if (home != nullptr && usable(*home, r) && await_report(*home)) return true;
  const double home_cost =
      home == nullptr || !usable(*home, r) ? 1e9 : prefill_cost(*home, decode_instance, r);
  Instance* other = nullptr;
  for (auto& [id, e] : estimates_.instances) {
    if (!e.is_prefill() || id == home_instance_ || !usable(e, r) ||
        prefill_cost(e, decode_instance, r, true) >= home_cost)
      continue;
    if (home_rank_of(id) < 2) {
      awaited |= await_report(e);
    } else if (other == nullptr || mix(settings_.seed + r.arrival.id, id) <
                                       mix(settings_.seed + r.arrival.id, other->entry.engine)) {
      other = &e;
    }
  }
  if (other != nullptr) awaited |= await_report(*other);
  return awaited;
}

// Requests a load report if own traffic is too sparse; returns true while it is pending.
bool Router::Impl::await_report(Instance& e) {
  if (!lacks_samples(e) || settings_.report_mode == ReportMode::none) return false;
  probe(e);
  return e.probe_pending && now_ - e.probed_at < kReportWait;
}

// With many fronts, a front that seldom sends to an instance learns little about it from its own load and
// failures.
bool Router::Impl::lacks_samples(const Instance& e) const {
  return settings_.limits.probes && settings_.fronts >= kManyFronts &&
         estimates_.expected_rate(e) < kSparseRequestRate;
}

void Router::Impl::probe(Instance& e) {
  if (e.probe_pending || now_ - std::max(e.reported_at, e.probed_at) < kMaxReportAge) return;
  actions_.emplace_back(Probe{e.entry.engine});
  e.probe_pending = true;
  e.probed_at = now_;
}

double Router::Impl::prefill_cost(const Instance& e, const Instance& decode_instance, const Request& r,
                                  bool without_queue) const {
  const double share = estimates_.cached_share(r.arrival.request_class, home_rank_of(e.entry.engine));
  const Tokens cached = std::max(cached_tokens(e, r), Tokens(share * double(r.arrival.prompt_tokens)));
  const double work = kBaseWorkTokens + double(r.arrival.prompt_tokens - cached);
  return estimates_.pace(e) * ((without_queue ? 0.0 : estimates_.queued_tokens(e)) + work) +
         transfer_cost(e, decode_instance, r.arrival.prompt_tokens) +
         (e.entry.zone == settings_.zone ? 0.0 : kCrossZoneSeconds * settings_.prices.cross_zone);
}

// Transfer time plus the configured price of moving tokens out of their cell, in seconds.
double Router::Impl::transfer_cost(const Instance& from, const Instance& to, Tokens tokens) const {
  const double price =
      from.entry.cell == to.entry.cell
          ? 0.0
          : (settings_.fronts >= kManyFronts ? kMovePriceSecondsManyFronts : kMovePriceSeconds) *
                settings_.prices.far_tokens;
  return estimates_.transfer_time(from, to, tokens) + price * double(tokens);
}

// 0: home instance of the session, 1: another home of its prefix, 2: any other.
int Router::Impl::home_rank_of(EngineId prefill_instance) const {
  if (prefill_instance == home_instance_) return 0;
  return std::ranges::count(home_instances_, prefill_instance) > 0 ? 1 : 2;
}

}  // namespace eiderarch
