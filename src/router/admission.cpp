// Admission control for an overloaded role, and the final answer to a request that cannot be served.
#include "router/impl.hpp"

namespace eiderarch {

// Admission control from what a role's instances show of the load of all fronts. When prefill and first token
// take most of the time left to the aim, only a part of the requests is sent: highest priority first, within
// one priority by a draw from the seed; a retry with little time left is rarely sent. It prevents an overload
// in which every prefill ends too late and which outlives its cause (load peaks, lost instances, many slow
// instances, impatient clients). Cost: refusals during a short peak.
bool Router::Impl::admitted(const Request& r, const Engine& e, double cost) const {
  const double usual = known_.delay(true) + known_.delay(false);
  const bool calm = usual < kEase * kOnTime * seconds(r.aim - r.arrived);
  const double left = std::max(1e-3, kOnTime * seconds((calm ? r.ask.deadline : r.aim) - now_));
  // This front has no work at that instance. The delay counts as far as that is likely with so long a queue:
  // by the probability that this front sent nothing there in that time.
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

// Sends the final answer of an unserved request: Refuse if a repeat is known to be harmless, else Fail.
bool Router::Impl::give_up(Request& r) {
  if (r.stage == Stage::over) return true;
  plan(r, false);
  let_go(r);
  const bool harmless = r.cls.effect == Effect::safe || !r.may_have_run ||
                        (r.cls.effect == Effect::keyed && r.cls.group == RepeatGroup::all);
  // The retry advice is spread so that clients refused together do not return together.
  const double spread = kStayLeast + (1.0 - kStayLeast) * unit(mix(s_.seed + 1, r.ask.id));
  const Duration stay = s_.limits.retry_advice ? micros(spread * seconds(s_.limits.max_retry_advice)) : 0s;
  actions_.push_back(harmless ? Action{Refuse{r.ask.id, stay}} : Action{Fail{r.ask.id}});
  r.stage = Stage::over;
  return true;
}

// Records how long a stage took, or has taken so far. No time means that the instance was full, which counts
// as the request's whole time to its aim.
void Router::Impl::took(const Request& r, bool reading, std::optional<Duration> time) {
  known_.delays[reading ? 1 : 0].add(now_, time ? seconds(*time) : seconds(r.aim - r.arrived));
}

}  // namespace eiderarch
