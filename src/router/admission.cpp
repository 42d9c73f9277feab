// Who is sent on while a role is jammed, and how a request that cannot be served is answered.
#include "router/impl.hpp"

namespace eiderarch {

// Admission, by what a role's servers show of all fronts' load: where read and first token take most of the
// time left to the aim, only a part is sent, dearest first, by chance from the seed, and a repeat with
// little left hardly ever. Symptom: a jam in which all is read too late and that outlives its cause:
// surges, lost servers, many slow ones, impatient clients. Harm: a short peak costs refusals.
bool Router::Impl::admitted(const Request& r, const Engine& e, double cost) const {
  const double usual = known_.delay(true) + known_.delay(false);
  const bool calm = usual < kEase * kOnTime * seconds(r.aim - r.arrived);
  const double left = std::max(1e-3, kOnTime * seconds((calm ? r.ask.deadline : r.aim) - now_));
  // Blind: the less likely it was to have own work there, were the queue that long.
  const double blind = std::exp(-known_.usual_rate(e) * known_.delay(true));
  const double pressure = blind * (std::min(cost, known_.delay(true)) + known_.delay(false)) / left;
  const double part = std::clamp((kFull - pressure) / (kFull - kEase), kTryPart, 1.0);
  double dearer = 0.0, alike = 0.0;
  for (const auto& [at, priority] : known_.arrivals) {
    dearer += priority > r.priority;
    alike += priority == r.priority;
  }
  const double own = alike <= 0.0 ? part : (part * double(known_.arrivals.size()) - dearer) / alike;
  return unit(mix(s_.seed, r.ask.id)) < std::max(own, kTryPart);
}

// The final answer where none was served: refused if it is known that nothing ran, else failed.
bool Router::Impl::give_up(Request& r) {
  if (r.stage == Stage::over) return true;
  plan(r, false);
  let_go(r);
  const bool harmless = r.cls.effect == Effect::safe || !r.may_have_run ||
                        (r.cls.effect == Effect::keyed && r.cls.group == RepeatGroup::all);
  // Its client is told when to come back, spread so that those refused together do not return together.
  const double spread = kStayLeast + (1.0 - kStayLeast) * unit(mix(s_.seed + 1, r.ask.id));
  const Duration stay = s_.limits.retry_advice ? micros(spread * seconds(s_.limits.max_retry_advice)) : 0s;
  actions_.push_back(harmless ? Action{Refuse{r.ask.id, stay}} : Action{Fail{r.ask.id}});
  r.stage = Stage::over;
  return true;
}

// Takes how long a stage took, or has taken so far; a full queue counts as one that takes too long.
void Router::Impl::took(const Request& r, bool reading, std::optional<Duration> time) {
  known_.delays[reading ? 1 : 0].add(now_, time ? seconds(*time) : seconds(r.aim - r.arrived));
}

}  // namespace eiderarch
