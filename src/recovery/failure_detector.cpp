#include "recovery/failure_detector.hpp"

#include <algorithm>
#include <cmath>

namespace bankmux::recovery {

using namespace std::chrono_literals;

namespace {

constexpr double kMinSampleWeight = 0.02;      // a gap's least weight; the last hundred or so dominate
constexpr std::int64_t kMinGaps = 50;          // below this the statistics are not used
constexpr double kDeviations = 6.0;            // a log-normal gap exceeds this once in 10^9
constexpr double kLongestGapFactor = 2.0;      // stalls are not log-normal: the longest recent gap counts too
constexpr double kLongestGapHalfLifeS = 60.0;  // seconds in which the longest gap decays by half
constexpr double kShortestGapS = 1e-4;         // seconds; floor for events that arrive together
constexpr double kSingleStreamFactor = 3.0;    // times the limit, if the instance's other streams are active

double to_seconds(Duration time) { return double(time.count()) / 1e6; }
Duration to_duration(double time) { return Duration(std::int64_t(time * 1e6)); }

}  // namespace

void FailureDetector::ended(EngineId instance) {
  Instance& state = instances_[instance];
  state.streams = std::max(state.streams - 1, 0);
}

void FailureDetector::event(EngineId instance, Time now, Duration gap) {
  Instance& state = instances_[instance];
  state.last = std::max(state.last, now);
  const double gap_s = std::max(to_seconds(gap), kShortestGapS);
  const double log_gap = std::log(gap_s);
  const double weight = std::max(kMinSampleWeight, 1.0 / double(++state.gaps));
  const double deviation = log_gap - state.mean;
  state.mean += weight * deviation;
  state.variance = (1.0 - weight) * (state.variance + weight * deviation * deviation);
  const double decayed_longest =
      state.longest * std::exp2(-to_seconds(now - state.longest_at) / kLongestGapHalfLifeS);
  if (gap_s >= decayed_longest) {
    state.longest = gap_s;
    state.longest_at = now;
  }
}

Duration FailureDetector::limit(const Instance& state) {
  if (state.gaps < kMinGaps) return kMaxSilence;
  const double statistical_limit =
      std::exp(std::min(state.mean + kDeviations * std::sqrt(state.variance), 10.0));
  const double longest_gap_limit = kLongestGapFactor * state.longest;
  return std::clamp(to_duration(std::max(statistical_limit, longest_gap_limit)), kMinSilence, kMaxSilence);
}

Duration FailureDetector::limit(EngineId instance) const {
  const auto it = instances_.find(instance);
  return it != instances_.end() ? limit(it->second) : kMaxSilence;
}

Duration FailureDetector::time_until_lost(EngineId instance, Time now, Duration silent) const {
  if (silent >= kMaxSilence) return Duration{0};
  const auto it = instances_.find(instance);
  if (it == instances_.end()) return kMaxSilence - silent;
  const Duration allowed = limit(it->second);
  if (silent < allowed) return allowed - silent;
  // If most other instances are silent too, this process or the network is more likely at fault.
  int streaming_instances = 0, silent_instances = 0;
  for (const auto& [id, other] : instances_) {
    if (id == instance || other.streams == 0) continue;
    ++streaming_instances;
    silent_instances += now - other.last >= limit(other);
  }
  if (2 * silent_instances > streaming_instances) return kMaxSilence - silent;
  // If its other streams are active, only this stream is silent, which may be a normal pause.
  const Duration single_stream_limit =
      std::min(to_duration(kSingleStreamFactor * to_seconds(allowed)), kMaxSilence);
  const bool other_streams_active = it->second.streams > 1 && now - it->second.last < allowed;
  return other_streams_active && silent < single_stream_limit ? single_stream_limit - silent : Duration{0};
}

}  // namespace bankmux::recovery
