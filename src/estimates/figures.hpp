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
constexpr double kPaceFade = 8.0;
// Seconds; longer than one front's gap between sends to one instance.
constexpr double kRecordFade = 20.0;

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

inline double unit(std::uint64_t hash) { return (double(hash >> 11) + 0.5) / 9007199254740992.0; }

// Outcomes of requests at an instance, over a role or in a zone; old outcomes fade.
struct Record {
  double good = 0.0, bad = 0.0;
  Time at{0};
  void add(Time now, bool well) {
    const double fade = std::exp(-seconds(now - at) / kRecordFade);
    good = good * fade + (well ? 1.0 : 0.0);
    bad = bad * fade + (well ? 0.0 : 1.0);
    at = now;
  }
  // Failure share, where `prior` counts as much as `weight` outcomes.
  [[nodiscard]] double failing(Time now, double guess, double weight) const {
    const double fade = std::exp(-seconds(now - at) / kRecordFade);
    return (bad * fade + guess * weight) / ((good + bad) * fade + weight);
  }
};

// Seconds per token, smoothed. Without samples it fades to the typical pace, so that a slow instance is tried
// again.
struct Pace {
  double value = 0.0;    // 0: no sample yet
  double overdue = 0.0;  // lower bound from attempts that have not ended
  Time heard{0};
  [[nodiscard]] double shown(Time now, double usual) const {
    const double fade = value > 0.0 ? std::exp(-seconds(now - heard) / kPaceFade) : 0.0;
    return std::max(usual + (value - usual) * fade, overdue);
  }
  void sample(Time now, double usual, double heard_now) {
    const double before = value > 0.0 ? shown(now, usual) : usual;
    value = before + kPaceGain * (std::min(heard_now, 10.0 * before) - before);
    heard = now;
  }
};

// Geometric mean of recent samples; after a gap the next sample counts more.
struct Trend {
  double value = 0.0;
  Time at{0};
  void add(Time now, double heard) {
    const double gain = 1.0 - (1.0 - kTrendGain) * std::exp(-seconds(now - at) / kPaceFade);
    value *= std::pow(std::max(heard, 1e-9) / value, gain);
    at = now;
  }
};

}  // namespace eiderarch
