// Which instances may be chosen: listed as live, not ejected, within their slow-start budget, known to run.
#include "router/impl.hpp"

namespace eiderarch {

void Router::Impl::on(const ListChanged& e) {
  if (e.scope != ListScope::failed) {
    estimates_.apply_list(e);
  } else if (settings_.list_mode == ListMode::on_request) {
    resubscribe_at_ = now_ + kResubscribeDelay;
  }
}

bool Router::Impl::usable(const Instance& e, const Request& r) const {
  return e.live() && now_ >= e.ejected_until &&
         (!estimates_.in_slow_start(e) || allowed_in_slow_start(e, r)) && repeat_allowed(e, r);
}

// Instances of a role that may get this request, without those that were full a moment ago and, while others
// are left, without those already tried. Slow instances are handled by score and cost.
std::vector<Instance*> Router::Impl::candidates(const Request& r, bool prefill) {
  std::vector<Instance*> pool, not_tried;
  for (auto& [id, e] : estimates_.instances) {
    if (e.is_prefill() != prefill || !usable(e, r) || now_ < e.busy_until) continue;
    pool.push_back(&e);
    if (untried(e, r)) not_tried.push_back(&e);
  }
  return not_tried.empty() ? pool : not_tried;
}

// With many fronts one front sees few outcomes per instance, so a class's failure share also uses the
// instance's other classes, the role's record for the class and the zone. This detects errors or silence in
// one class or all, and a zone that cannot be reached. Cost: where a whole role fails, instances that are
// known to work get more requests than the median.
void Router::Impl::record_outcome(Instance& e, const Request& r, bool success, bool reached) {
  e.all_classes.add(now_, success);
  e.by_class[r.arrival.request_class].add(now_, success);
  estimates_.role_outcomes[{e.is_prefill(), r.arrival.request_class}].add(now_, success);
  if (success || !reached) estimates_.zone_outcomes[e.entry.zone].add(now_, success);
  if (success) e.ejection_time = kFirstEjection;
  record_reachability(e, success || reached);
}

// Records whether an instance could be reached. An unreachable one is ejected, for twice as long each time.
void Router::Impl::record_reachability(Instance& e, bool reached) {
  estimates_.connections.add(now_, reached);
  if (reached) e.last_contact = now_;
  if (reached || now_ < e.ejected_until) return;
  e.ejected_until = now_ + e.ejection_time;
  e.ejection_time = std::min(kMaxEjection, 2 * e.ejection_time);
}

// After failed connections, or with nothing but a list saved on disk, an instance without recent contact is
// probed before a request goes there. Returns true while the answer is pending; if it is late, the instance
// is avoided for a moment. Without it, the few attempts after a mass restart go to instances that no longer
// exist. Cost: one round trip.
bool Router::Impl::awaits_liveness_probe(Instance& e) {
  const bool probe_first = !estimates_.list_received ||
                           estimates_.connections.failure_share(now_, 0.0, 3.0) > kProbeFromFailureShare;
  if (!probe_first || !lacks_samples(e) || (e.last_contact && now_ - *e.last_contact < kLivenessValidity))
    return false;
  probe(e);
  if (!e.probe_pending) return false;
  if (now_ - e.probed_at >= kReportWait) e.busy_until = now_ + kBusyAvoidance;
  return true;
}

// Share of a warm instance's requests that the slow-start budget allows.
double Router::Impl::slow_start_share(const Instance& e) const {
  const double from = std::clamp(settings_.rules.cold_from, 0.05, 1.0);
  const double age = std::max(0.0, seconds(now_ - e.entry.started) / seconds(settings_.rules.cold_time));
  return kSlowStartShare * std::max(1.0, settings_.rules.overload_factor) * (from + (1.0 - from) * age);
}

// Sends that this front may make at once; limits what its burst adds to those of the other fronts.
double Router::Impl::slow_start_credit(const Instance& e) const {
  const double rate = slow_start_share(e) * estimates_.expected_rate(e);
  return std::min(e.slow_start_credit + rate * seconds(now_ - e.credit_at),
                  std::max(1.0, rate * seconds(settings_.rules.fall_time)));
}

// An instance in slow start takes that share of the requests that would choose it, by a draw for each
// request, so all fronts together follow what a warm instance gets, however few requests each front has. The
// share falls when the list has lost instances, because each remaining one is then chosen more often. Part of
// the budget is left unused for chance.
bool Router::Impl::allowed_in_slow_start(const Instance& e, const Request& r) const {
  const double remaining = e.is_prefill() ? estimates_.capacity.prefill / estimates_.peak_capacity.prefill
                                          : estimates_.capacity.decode / estimates_.peak_capacity.decode;
  const auto draws = std::uint64_t((now_ - r.arrived) / kSlowStartDrawPeriod);
  return slow_start_credit(e) >= 1.0 && unit_interval(mix(mix(settings_.seed + draws, r.arrival.id),
                                                          e.entry.engine)) < slow_start_share(e) * remaining;
}

void Router::Impl::on(const ProbeEnded& e) {
  Instance* const instance = estimates_.find(e.engine);
  if (instance == nullptr) return;
  instance->probe_pending = false;
  if (e.outcome != Outcome::cancelled) record_reachability(*instance, e.outcome != Outcome::not_connected);
  std::optional<double> reported;
  for (const LoadValue& value : e.report) {
    if (value.field == ReportField::queued_ktokens && value.value >= 0.0)
      reported = 1000.0 * std::min(value.value, kMaxReportedKilotokens);
  }
  if (reported && e.elapsed > kReportWait)
    estimates_.late_probe_queue += kPaceGain * (*reported - estimates_.late_probe_queue);
  if (!reported && e.outcome != Outcome::busy) return;
  instance->reported_tokens = reported.value_or(estimates_.late_probe_queue);
  instance->reported_at = now_;
  double& typical = estimates_.typical_queue[instance->is_prefill() ? 1 : 0];
  typical += kPaceGain * (instance->reported_tokens - typical);
}

}  // namespace eiderarch
