// Admission control for an overloaded role, and the final answer to a request that cannot be served.
#include "router/impl.hpp"

namespace eiderarch {

// Admission control from what a role's instances show of the load of all fronts. When prefill and first token
// take most of the time left to the aim, only a part of the requests is sent: highest priority first, within
// one priority by a draw from the seed; a retry with little time left is rarely sent. It prevents an overload
// in which every prefill ends too late and which outlives its cause (load peaks, lost instances, many slow
// instances, impatient clients). Cost: refusals during a short peak.
bool Router::Impl::admitted(const Request& r, const Instance& e, double cost) const {
  const double typical_delay = estimates_.stage_delay(true) + estimates_.stage_delay(false);
  const bool low_load = typical_delay < kLowPressure * kPrefillAimShare * seconds(r.aim - r.arrived);
  const double time_left =
      std::max(1e-3, kPrefillAimShare * seconds((low_load ? r.arrival.deadline : r.aim) - now_));
  // This front has no work at that instance. The delay counts as far as that is likely with so long a queue:
  // by the probability that this front sent nothing there in that time.
  const double no_own_work = std::exp(-estimates_.expected_rate(e) * estimates_.stage_delay(true));
  const double pressure = no_own_work *
                          (std::min(cost, estimates_.stage_delay(true)) + estimates_.stage_delay(false)) /
                          time_left;
  const double admitted_share =
      std::clamp((kHighPressure - pressure) / (kHighPressure - kLowPressure), kMinAdmittedShare, 1.0);
  double higher = 0.0, equal = 0.0;
  for (const auto& [at, priority] : estimates_.arrivals) {
    higher += priority > r.priority;
    equal += priority == r.priority;
  }
  const double own_priority_share =
      equal <= 0.0 ? admitted_share : (admitted_share * double(estimates_.arrivals.size()) - higher) / equal;
  return unit_interval(mix(settings_.seed, r.arrival.id)) < std::max(own_priority_share, kMinAdmittedShare);
}

// Sends the final answer of an unserved request: Refuse if a repeat is known to be harmless, else Fail.
bool Router::Impl::answer_unserved(Request& r) {
  if (r.stage == Stage::over) return true;
  count_planned(r, false);
  release_held(r);
  const bool harmless = r.cls.effect == Effect::safe || !r.may_have_run ||
                        (r.cls.effect == Effect::keyed && r.cls.group == RepeatGroup::all);
  // The retry advice is spread so that clients refused together do not return together.
  const double spread = kMinRetryAdviceShare +
                        (1.0 - kMinRetryAdviceShare) * unit_interval(mix(settings_.seed + 1, r.arrival.id));
  const Duration advice =
      settings_.limits.retry_advice ? micros(spread * seconds(settings_.limits.max_retry_advice)) : 0s;
  actions_.push_back(harmless ? Action{Refuse{r.arrival.id, advice}} : Action{Fail{r.arrival.id}});
  r.stage = Stage::over;
  return true;
}

// Records how long a stage took, or has taken so far. No time means that the instance was full, which counts
// as the request's whole time to its aim.
void Router::Impl::record_stage_time(const Request& r, bool prefill, std::optional<Duration> time) {
  estimates_.stage_delays[prefill ? 1 : 0].add(now_, time ? seconds(*time) : seconds(r.aim - r.arrived));
}

}  // namespace eiderarch
