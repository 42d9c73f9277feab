#include "net/platform/backoff.hpp"

#include <algorithm>

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

// Small fleets: the first wait is one or two round trips, and calls resume within 2 s after discovery
// returns.
constexpr Backoff kSmallFleet{100ms, 2s};
// Share per conductor: up to 25 conductors that are refused throughout make about 8 calls a second in total,
// 12 at most. Beyond that, the limit on a single wait applies.
constexpr core::Duration kFirstPerConductor = 20ms;
constexpr core::Duration kMaxPerConductor = 160ms;
// Together with the response timeout this stays well under 0.5 s; the shortest drain grace is 1 s.
constexpr Backoff kLocalAgent{100ms, 200ms};

}  // namespace

Backoff local_agent_backoff() { return kLocalAgent; }

Backoff backoff_for(unsigned conductors) {
  const auto scaled = [conductors](core::Duration per_conductor, core::Duration minimum) {
    return std::clamp(per_conductor * static_cast<core::Duration::rep>(conductors), minimum,
                      kMaxWaitAfterRefusal);
  };
  return {scaled(kFirstPerConductor, kSmallFleet.first), scaled(kMaxPerConductor, kSmallFleet.max)};
}

Backoff Backoff::at_most(core::Duration limit) const {
  return {std::min(first, limit), std::min(max, limit)};
}

core::Duration Backoff::wait(int failures, double random_unit) const {
  if (failures <= 0) return core::Duration{0};
  core::Duration ceiling = first;
  for (int i = 1; i < failures && ceiling < max; ++i) ceiling *= 2;
  ceiling = std::min(ceiling, max);
  const double share = 0.5 + 0.5 * std::clamp(random_unit, 0.0, 1.0);
  return core::Duration(static_cast<core::Duration::rep>(share * static_cast<double>(ceiling.count())));
}

}  // namespace bankmux::net
