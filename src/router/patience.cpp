// The periodic sweep: records overdue attempts and cancels those that another instance would finish sooner.
#include "router/impl.hpp"

namespace eiderarch {

void Router::Impl::on(const TimerFired& e) {
  if (e.tag != kSweepTag) return;
  sweep_armed_ = false;
  if (resubscribe_at_ && now_ >= *resubscribe_at_) {
    resubscribe_at_.reset();
    actions_.emplace_back(Subscribe{});
  }
  // Unfinished attempts count before they end: one that is out longer than its instance's pace allows raises
  // that pace.
  for (auto& [id, instance] : estimates_.instances) instance.pace.overdue = 0.0;
  for (auto& [cell, link] : estimates_.cell_links) link.overdue = 0.0;
  for (auto& [id, r] : requests_) {
    if (r.stage == Stage::streaming || r.attempts.empty() || !r.attempts.back().active) continue;
    Attempt& a = r.attempts.back();
    Pace& pace = a.link ? estimates_.cell_links[*a.link] : estimates_.instances.at(a.instance).pace;
    const double work =
        a.link ? kBaseWorkTokens + double(r.arrival.prompt_tokens) : std::max(1.0, a.work_ahead);
    pace.overdue = std::max(pace.overdue, seconds(now_ - a.sent) / work);
    if (a.overdue || a.local || seconds(now_ - a.sent) < kPrefillAimShare * seconds(r.aim - r.arrived))
      continue;
    a.overdue = true;
    record_stage_time(r, a.prefill, now_ - a.sent);
  }
  for (auto& [id, r] : requests_) {
    if (!r.attempts.empty() && r.attempts.back().active) cancel_if_overdue(r);
  }
}

// Cancels an attempt that takes several times what another instance would need, and retries it there: the
// instance may be slow, silent or cut off. Comparing with the others prevents cancellations when all are
// slow; an instance without recent samples is taken to be up to twice as slow, and the retry budget limits
// the total.
void Router::Impl::cancel_if_overdue(Request& r) {
  Attempt& a = r.attempts.back();
  const bool harmless = a.prefill || r.cls.effect == Effect::safe;
  if (a.cancelled || !settings_.limits.cancel || !harmless || retry_budget_ < 1.0) return;
  if (r.stage != Stage::prefilling && r.stage != Stage::decoding) return;
  // If the held KV cache has been released, the prompt must be prefilled again before another instance can
  // answer.
  const bool prefill_again = !a.prefill && !a.local && r.cache_holder == 0;
  if (int(r.attempts.size()) + (a.prefill || prefill_again ? 2 : 1) > settings_.limits.max_attempts) return;
  const double waited = seconds(now_ - a.sent);
  // The longer of the role's recent pace and its median pace, so that nothing is cancelled when all are slow.
  const double typical_time =
      std::max(estimates_.role_paces[a.prefill ? 1 : 0].value, estimates_.median_pace(a.prefill)) *
      a.work_ahead;
  const double min_wait = std::max(seconds(kMinOverdue), kMinOverdueAimShare * seconds(r.aim - r.arrived));
  if (waited < std::max(min_wait, kOverdueFactor * typical_time)) return;
  double other_time = 1e9;
  for (const auto& [id, e] : estimates_.instances) {
    if (id == a.instance || e.is_prefill() != a.prefill || !usable(e, r)) continue;
    const double work = a.prefill ? e.work + kBaseWorkTokens + double(r.arrival.prompt_tokens) : a.work_ahead;
    const double uncertainty = 2.0 - std::exp(-seconds(now_ - e.pace.sampled_at) / kPaceFadeSeconds);
    other_time = std::min(other_time, estimates_.pace(e) * work * uncertainty);
  }
  if (prefill_again)
    other_time += estimates_.median_pace(true) * (kBaseWorkTokens + double(r.arrival.prompt_tokens));
  if (waited < kOverdueFactor * std::max(typical_time, other_time)) return;
  actions_.emplace_back(Cancel{r.arrival.id, int(r.attempts.size()) - 1});
  a.cancelled = true;
  Instance& e = estimates_.instances.at(a.instance);
  if (!a.link) estimates_.sample(e, waited / a.work_ahead);
  record_outcome(e, r, false);
}

}  // namespace eiderarch
