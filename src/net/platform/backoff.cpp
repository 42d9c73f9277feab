#include "net/platform/backoff.hpp"

#include <algorithm>

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

// A small fleet: the first wait is a round trip or two, and one is back within 2 s of discovery's return.
constexpr Backoff kAlone{100ms, 2s};
// Each conductor's part: up to 25 conductors refused throughout call about 8 times a second in all, 12 at the
// most; beyond that the limit on a wait counts.
constexpr core::Duration kFirstEach = 20ms;
constexpr core::Duration kMostEach = 160ms;
// With the time that a call may stay silent well under half a second: the shortest drain's grace is 1 s.
constexpr Backoff kAtHand{100ms, 200ms};

}  // namespace

Backoff backoff_at_hand() { return kAtHand; }

Backoff backoff_for(unsigned conductors) {
  const auto scaled = [conductors](core::Duration each, core::Duration least) {
    return std::clamp(each * static_cast<core::Duration::rep>(conductors), least, kMostAfterRefusal);
  };
  return {scaled(kFirstEach, kAlone.first), scaled(kMostEach, kAlone.most)};
}

Backoff Backoff::at_most(core::Duration limit) const {
  return {std::min(first, limit), std::min(most, limit)};
}

core::Duration Backoff::wait(int failures, double unit) const {
  if (failures <= 0) return core::Duration{0};
  core::Duration ceiling = first;
  for (int i = 1; i < failures && ceiling < most; ++i) ceiling *= 2;
  ceiling = std::min(ceiling, most);
  const double part = 0.5 + 0.5 * std::clamp(unit, 0.0, 1.0);
  return core::Duration(static_cast<core::Duration::rep>(part * static_cast<double>(ceiling.count())));
}

}  // namespace bankmux::net
