// The choice of a decode instance.
#include "router/impl.hpp"

namespace eiderarch {

// Score: cached share of the prompt minus load. Only instances with at most the median number of this front's
// requests are compared, so a cache match never outweighs a load above the median. The rendezvous hash breaks
// ties.
Instance* Router::Impl::choose_decode_instance(const Request& r, const Instance* cache_holder) {
  std::vector<Instance*> pool = candidates(r, false);
  // An instance that fails at once is always idle and would get every request while the others are full, so
  // one that fails mostly is excluded while others work. Cost: a request waits, or is refused with retry
  // advice, that would have had a small chance there.
  const double role_failures = estimates_.role_failure_share(false, r.arrival.request_class);
  const auto mostly_failing = [&](const Instance& e) {
    return estimates_.failure_share(e, r.arrival.request_class, role_failures) > kMaxFailureShare;
  };
  const bool others_work = std::ranges::any_of(estimates_.instances, [&](const auto& p) {
    const Instance& e = p.second;
    return !e.is_prefill() && e.live() && untried(e, r) && repeat_allowed(e, r) && !mostly_failing(e);
  });
  if (others_work) std::erase_if(pool, [&](const Instance* e) { return mostly_failing(*e); });
  if (pool.empty()) return nullptr;
  // For a held KV cache, the distance is priced by its transfer cost instead.
  const bool prefer_local = cache_holder == nullptr && std::ranges::any_of(pool, [&](const Instance* e) {
                              return has_local_capacity(*e);
                            });
  if (prefer_local) std::erase_if(pool, [&](const Instance* e) { return !has_local_capacity(*e); });
  std::vector<int> request_counts;
  double mean = 0.0;
  for (const Instance* e : pool) {
    request_counts.push_back(e->active_requests);
    mean += e->resident_tokens / double(pool.size());
  }
  const auto median_count = request_counts.begin() + std::ptrdiff_t((request_counts.size() - 1) / 2);
  std::nth_element(request_counts.begin(), median_count, request_counts.end());
  const double typical_pace = estimates_.median_pace(false);
  // With less than one request per instance the mean says nothing.
  mean = std::max(mean, footprint(r));
  Instance* best = nullptr;
  double best_score = 0.0;
  for (Instance* e : pool) {
    const double failure_share = estimates_.failure_share(*e, r.arrival.request_class, role_failures);
    const bool proven = role_failures >= kDegradedFailureShare && failure_share < role_failures / 2.0;
    if (e->active_requests > *median_count + (proven ? kProvenExtraRequests : 0) ||
        (!prefer_local && !has_memory_for(*e, r)))
      continue;
    if (settings_.fronts <= 1 && !within_retry_budget(*e, r)) continue;
    const double cached_part =
        double(cached_tokens(*e, r)) / double(std::max<Tokens>(1, r.arrival.prompt_tokens));
    double score = kCachedShareWeight * cached_part - kLoadWeight * e->resident_tokens / mean -
                   kFailureWeight * failure_share;
    score -= kPaceWeight * estimates_.pace(*e) / typical_pace;
    if (e->entry.zone != settings_.zone) score -= kCrossZoneScore * settings_.prices.cross_zone;
    if (now_ - e->reported_at < kReportValidity)
      score -= estimates_.pace(*e) * estimates_.reported_queue(*e) / seconds(r.cls.aim);
    if (cache_holder == nullptr && preferred_cell_ == e->entry.cell) score += kHomeCellScore;
    if (cache_holder != nullptr) score -= transfer_cost(*cache_holder, *e, r.arrival.prompt_tokens);
    if (best != nullptr && !ranks_before(score, *e, best_score, *best, r)) continue;
    best = e;
    best_score = score;
  }
  return best;
}

// Where crossing zones is expensive, instances of the own zone come first while their reports show free
// memory. Without it, all requests are served in time, yet every second one pays for a crossing and a long
// transfer. Without reports this rule has no effect; a load peak in a zone fills its own instances up to
// kLocalMemoryLimit.
bool Router::Impl::has_local_capacity(const Instance& e) const {
  return settings_.prices.cross_zone > kExpensiveCrossZonePrice && e.entry.zone == settings_.zone &&
         now_ - e.memory_reported_at < kMaxMemoryReportAge && estimates_.memory_used(e) < kLocalMemoryLimit &&
         estimates_.pace(e) < kLocalPaceLimit * estimates_.median_pace(e.is_prefill());
}

// Ties are spread by session, weighted by instance size: a popular prefix does not draw all fronts to one
// decode instance.
bool Router::Impl::ranks_before(double score, const Instance& e, double best, const Instance& b,
                                const Request& r) {
  if (std::abs(score - best) > kScoreTie) return score > best;
  return rendezvous_score(r.arrival.session, e) > rendezvous_score(r.arrival.session, b);
}

bool Router::Impl::has_memory_for(const Instance& e, const Request& r) const {
  if (e.memory <= 0 || e.resident_tokens <= 0.0) return true;
  const double share = memory_fill_ * double(e.memory) / double(std::max(1U, settings_.fronts));
  return e.resident_tokens + footprint(r) <= share;
}

}  // namespace eiderarch
