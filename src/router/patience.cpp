// The periodic sweep: records overdue attempts and cancels those that another instance would finish sooner.
#include "router/impl.hpp"

namespace eiderarch {

void Router::Impl::on(const TimerFired& e) {
  if (e.tag != kSweepTag) return;
  armed_ = false;
  if (resubscribe_ && now_ >= *resubscribe_) {
    resubscribe_.reset();
    actions_.emplace_back(Subscribe{});
  }
  // Unfinished attempts count before they end: one that is out longer than its instance's pace allows raises
  // that pace.
  for (auto& [id, engine] : known_.engines) engine.pace.overdue = 0.0;
  for (auto& [cell, link] : known_.links) link.overdue = 0.0;
  for (auto& [id, r] : requests_) {
    if (r.stage == Stage::streaming || r.attempts.empty() || !r.attempts.back().out) continue;
    Attempt& a = r.attempts.back();
    Pace& pace = a.link ? known_.links[*a.link] : known_.engines.at(a.engine).pace;
    const double work = a.link ? kBaseWork + double(r.ask.prompt_tokens) : std::max(1.0, a.ahead);
    pace.overdue = std::max(pace.overdue, seconds(now_ - a.sent) / work);
    if (a.late || a.local || seconds(now_ - a.sent) < kOnTime * seconds(r.aim - r.arrived)) continue;
    a.late = true;
    took(r, a.reader, now_ - a.sent);
  }
  for (auto& [id, r] : requests_) {
    if (!r.attempts.empty() && r.attempts.back().out) lose_patience(r);
  }
}

// Cancels an attempt that takes several times what another instance would need, and retries it there: the
// instance may be slow, silent or cut off. Comparing with the others prevents cancellations when all are
// slow; an instance without recent samples is taken to be up to twice as slow, and the retry budget limits
// the total.
void Router::Impl::lose_patience(Request& r) {
  Attempt& a = r.attempts.back();
  const bool harmless = a.reader || r.cls.effect == Effect::safe;
  if (a.cancelled || !s_.limits.cancel || !harmless || retries_ < 1.0) return;
  if (r.stage != Stage::reading && r.stage != Stage::writing) return;
  // If the held KV cache has been released, the prompt must be prefilled again before another instance can
  // answer.
  const bool read_again = !a.reader && !a.local && r.holder == 0;
  if (int(r.attempts.size()) + (a.reader || read_again ? 2 : 1) > s_.limits.max_attempts) return;
  const double waited = seconds(now_ - a.sent);
  // The longer of the role's recent pace and its median pace, so that nothing is cancelled when all are slow.
  const double usual = std::max(known_.paces[a.reader ? 1 : 0].value, known_.usual_pace(a.reader)) * a.ahead;
  const double least = std::max(seconds(kPatienceLeast), kPatienceAim * seconds(r.aim - r.arrived));
  if (waited < std::max(least, kPatience * usual)) return;
  double other = 1e9;
  for (const auto& [id, e] : known_.engines) {
    if (id == a.engine || e.reads() != a.reader || !usable(e, r)) continue;
    const double work = a.reader ? e.work + kBaseWork + double(r.ask.prompt_tokens) : a.ahead;
    const double unsure = 2.0 - std::exp(-seconds(now_ - e.pace.heard) / kPaceFade);
    other = std::min(other, known_.pace(e) * work * unsure);
  }
  if (read_again) other += known_.usual_pace(true) * (kBaseWork + double(r.ask.prompt_tokens));
  if (waited < kPatience * std::max(usual, other)) return;
  actions_.emplace_back(Cancel{r.ask.id, int(r.attempts.size()) - 1});
  a.cancelled = true;
  Engine& e = known_.engines.at(a.engine);
  if (!a.link) known_.sample(e, waited / a.ahead);
  note(e, r, false);
}

}  // namespace eiderarch
