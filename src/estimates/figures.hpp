// Running estimates that fade with time, and the hash that all fronts share. Arithmetic only, no decisions.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "eiderarch/router.hpp"

namespace eiderarch {

constexpr double kPaceGain = 0.2;  // weight of a new sample in a pace
// Weight of a new sample in a trend over a role; five samples show an overload.
constexpr double kTrendGain = 0.2;
// Seconds; a pace without samples drifts back to its peers' pace in about this time.
constexpr double kPaceFadeSeconds = 8.0;
// Seconds; longer than one front's gap between sends to one instance.
constexpr double kOutcomeFadeSeconds = 20.0;

inline double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
inline Duration micros(double s) {
  return Duration(static_cast<std::int64_t>(std::clamp(s, 0.0, 1e6) * 1e6));
}

// Hash for rendezvous hashing: fronts that do not communicate agree on the order of instances for a key.
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline double unit_interval(std::uint64_t hash) { return (double(hash >> 11) + 0.5) / 9007199254740992.0; }

// Outcomes of requests at an instance, over a role or in a zone; old outcomes fade.
struct OutcomeRecord {
  double successes = 0.0, failures = 0.0;
  Time updated_at{0};
  void add(Time now, bool success) {
    const double fade = std::exp(-seconds(now - updated_at) / kOutcomeFadeSeconds);
    successes = successes * fade + (success ? 1.0 : 0.0);
    failures = failures * fade + (success ? 0.0 : 1.0);
    updated_at = now;
  }
  // Failure share, where `prior` counts as much as `weight` outcomes.
  [[nodiscard]] double failure_share(Time now, double prior, double weight) const {
    const double fade = std::exp(-seconds(now - updated_at) / kOutcomeFadeSeconds);
    return (failures * fade + prior * weight) / ((successes + failures) * fade + weight);
  }
};

// Seconds per token, smoothed. Without samples it fades to the typical pace, so that a slow instance is tried
// again.
struct Pace {
  double value = 0.0;    // 0: no sample yet
  double overdue = 0.0;  // lower bound from attempts that have not ended
  Time sampled_at{0};
  [[nodiscard]] double estimate(Time now, double typical) const {
    const double fade = value > 0.0 ? std::exp(-seconds(now - sampled_at) / kPaceFadeSeconds) : 0.0;
    return std::max(typical + (value - typical) * fade, overdue);
  }
  void sample(Time now, double typical, double latest) {
    const double before = value > 0.0 ? estimate(now, typical) : typical;
    value = before + kPaceGain * (std::min(latest, 10.0 * before) - before);
    sampled_at = now;
  }
};

// Geometric mean of recent samples; after a gap the next sample counts more.
struct Trend {
  double value = 0.0;
  Time updated_at{0};
  void add(Time now, double latest) {
    const double gain = 1.0 - (1.0 - kTrendGain) * std::exp(-seconds(now - updated_at) / kPaceFadeSeconds);
    value *= std::pow(std::max(latest, 1e-9) / value, gain);
    updated_at = now;
  }
};

}  // namespace eiderarch
