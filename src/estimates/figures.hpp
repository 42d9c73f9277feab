// Running figures that fade with time, and the hash on which fronts agree. Arithmetic alone: nothing here
// chooses.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "eiderarch/router.hpp"

namespace eiderarch {

constexpr double kPaceGain = 0.2;     // weight of a new sample in a pace
constexpr double kTrendGain = 0.2;    // weight of a new sample in a trend over a role; five tell a jam
constexpr double kPaceFade = 8.0;     // seconds; an unheard pace drifts back to its peers' in about this time
constexpr double kRecordFade = 20.0;  // seconds; outlasts one front's gap between sends to one server

inline double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
inline Duration micros(double s) {
  return Duration(static_cast<std::int64_t>(std::clamp(s, 0.0, 1e6) * 1e6));
}

// Rendezvous hash: fronts that never talk agree on the order of engines for a key.
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline double unit(std::uint64_t hash) { return (double(hash >> 11) + 0.5) / 9007199254740992.0; }

// What became of sends, fading with time: at one server, over a role, in a zone.
struct Record {
  double good = 0.0, bad = 0.0;
  Time at{0};
  void add(Time now, bool well) {
    const double fade = std::exp(-seconds(now - at) / kRecordFade);
    good = good * fade + (well ? 1.0 : 0.0);
    bad = bad * fade + (well ? 0.0 : 1.0);
    at = now;
  }
  // The failing share, where `guess` counts as much as `weight` sends of its own.
  [[nodiscard]] double failing(Time now, double guess, double weight) const {
    const double fade = std::exp(-seconds(now - at) / kRecordFade);
    return (bad * fade + guess * weight) / ((good + bad) * fade + weight);
  }
};

// Seconds a token as heard now and then; it fades to the usual figure, so that what was slow is tried again.
struct Pace {
  double value = 0.0;    // 0: unheard
  double overdue = 0.0;  // implied by attempts still out
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

// Geometric mean of what was heard of late; after a gap the next counts more.
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
