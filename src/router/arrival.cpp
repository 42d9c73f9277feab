// Arrival, waiting and dispatch: choose the decode instance, prefill there if few tokens are uncached, else
// choose a prefill instance.
#include "router/impl.hpp"

namespace eiderarch {

void Router::Impl::on(const RequestArrived& e) {
  if (requests_.contains(e.id)) return;
  Request r;
  r.arrival = e;
  r.arrival.resumed &= settings_.resume;
  if (e.request_class < settings_.classes.size()) r.cls = settings_.classes[e.request_class];
  r.arrived = now_;
  r.aim = now_ + r.cls.aim + micros(seconds(r.cls.aim_per_kilotoken) * double(e.prompt_tokens) / 1000.0);
  r.priority = r.cls.worth * (within_share(e.tenant) ? 1.0 : settings_.over_share_worth);
  if (r.resumes_lost_answer()) r.tried = {e.lost_at};  // the instance where its answer broke off
  // Resumed answers that are closest to completion come first.
  if (r.arrival.resumed) r.priority *= 1.0 + 1.0 / (1.0 + double(e.max_output));
  estimates_.arrivals.emplace_back(now_, r.priority);
  while (seconds(now_ - estimates_.arrivals.front().first) > Estimates::kRateWindowSeconds)
    estimates_.arrivals.pop_front();
  const double max_saved = std::clamp(double(estimates_.arrivals.size()), kMinRetryBudget, kMaxRetryBudget);
  retry_budget_ = std::min(max_saved, retry_budget_ + (r.resumes_lost_answer() ? 0.0 : kRetriesPerRequest));
  requests_.emplace(e.id, std::move(r));
  waiting_.push_back(e.id);
}

// Requests above a tenant's share get a low priority and wait behind the others.
bool Router::Impl::within_share(std::uint32_t tenant) {
  if (tenant >= settings_.tenants.size() || settings_.tenants[tenant].quota_per_second <= 0.0) return true;
  return quotas_.within(tenant, settings_.tenants[tenant].quota_per_second / std::max(1U, settings_.fronts),
                        now_);
}

void Router::Impl::dispatch_waiting() {
  if (waiting_.empty()) return;
  std::vector<Request*> pending;
  for (const RequestId id : std::exchange(waiting_, {})) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.stage == Stage::waiting) pending.push_back(&it->second);
  }
  std::ranges::stable_sort(pending, std::ranges::greater(), &Request::priority);
  std::erase_if(pending,
                [this](Request* r) { return can_be_served(*r) ? dispatch(*r) : answer_unserved(*r); });
  for (Request* r : pending) {
    // Late work delays work that would be on time, so a request that can no longer meet its aim is refused
    // before its client waits in vain. Cost: a late answer that would still have earned `late_worth` is lost.
    const bool too_late = now_ + micros(estimates_.median_pace(false) * kBaseWorkTokens) >= r->aim ||
                          now_ + kDeadlineMargin >= r->arrival.deadline;
    if (!too_late || !answer_unserved(*r)) waiting_.push_back(r->arrival.id);
  }
}

// True if waiting can still lead to an attempt: attempts are left and some listed instance may decode the
// answer.
bool Router::Impl::can_be_served(const Request& r) const {
  if (r.arrival.request_class >= settings_.classes.size() ||
      int(r.attempts.size()) >= settings_.limits.max_attempts)
    return false;
  // With a single front, the retry budget spent and every instance tried, only new arrivals could refill the
  // budget.
  const bool budget_spent = settings_.fronts <= 1 && r.is_retry() && retry_budget_ < 1.0;
  bool prefill = false, decode = false;
  for (const auto& [id, e] : estimates_.instances) {
    if (!e.live() || (budget_spent && !untried(e, r))) continue;
    if (!repeat_allowed(e, r)) continue;
    prefill |= e.is_prefill() || settings_.writers_read || e.role == Role::both;
    decode |= !e.is_prefill();
  }
  return prefill && decode;
}

bool Router::Impl::dispatch(Request& r) {
  choose_home_instances(r);
  Instance* decode_instance = choose_decode_instance(r, nullptr);
  if (decode_instance == nullptr || awaits_liveness_probe(*decode_instance)) return false;
  const Tokens remainder = r.arrival.prompt_tokens - cached_tokens(*decode_instance, r);
  const bool can_prefill = settings_.writers_read || decode_instance->role == Role::both;
  const bool short_prefill =
      remainder <= kMaxLocalPrefillTokens || r.arrival.prompt_tokens <= kShortPromptTokens;
  const bool last_attempt = int(r.attempts.size()) + 2 > settings_.limits.max_attempts;
  if (can_prefill && (short_prefill || last_attempt)) return send(r, *decode_instance, false);
  if (!last_attempt && await_queue_reports(r, *decode_instance)) return false;
  Instance* prefill_instance = last_attempt ? nullptr : choose_prefill_instance(r, *decode_instance);
  // If no prefill instance is available, or prefill there costs far more than local prefill (uncached
  // prefixes, load peaks, slow links), a decode instance that can prefill does so. Cost: its running answers
  // slow down.
  const double local_cost = estimates_.pace(*decode_instance) * (estimates_.reported_queue(*decode_instance) +
                                                                 kBaseWorkTokens + double(remainder));
  const double detour_limit =
      (decode_instance->role == Role::both ? kMixedDetourFactor : kDecodeDetourFactor) * local_cost;
  if (can_prefill &&
      (prefill_instance == nullptr ? home_instance_ == 0
                                   : prefill_cost(*prefill_instance, *decode_instance, r) > detour_limit)) {
    if (await_report(*decode_instance)) return false;
    if (now_ - decode_instance->reported_at < kReportValidity &&
        local_cost > kPrefillAimShare * seconds(r.aim - now_))
      return false;
    return send(r, *decode_instance, false);
  }
  if (prefill_instance == nullptr || awaits_liveness_probe(*prefill_instance)) return false;
  const double cost = prefill_cost(*prefill_instance, *decode_instance, r);
  if (prefill_instance->work <= 0.0 && !admitted(r, *prefill_instance, cost)) return answer_unserved(r);
  // A request that would be late behind other requests in an instance's queue waits here instead, where it is
  // ordered by priority.
  if ((prefill_instance->work > 0.0 || now_ - prefill_instance->reported_at < kReportValidity) &&
      cost > kPrefillAimShare * seconds(r.aim - now_))
    return false;
  r.decode_instance = decode_instance->entry.engine;
  if (!send(r, *prefill_instance, true)) return false;
  count_planned(r, true);
  if (settings_.claim_ahead && cost > kReserveFromAimShare * seconds(r.aim - now_)) {
    actions_.emplace_back(ClaimWriter{r.arrival.id, r.decode_instance});
    r.reservation_requested = true;
  }
  return true;
}

}  // namespace eiderarch
