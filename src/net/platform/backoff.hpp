// How long to wait before a call that has failed so many times in a row is made again: exponential backoff
// with "equal jitter" (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). Pure: the
// caller draws `unit` in [0, 1) from a source of its own, so that processes started together spread apart.
#pragma once

#include "core/ports.hpp"

namespace bankmux::net {

struct Backoff {
  core::Duration first;  // the ceiling after one failure
  core::Duration most;   // the ceiling never passes this

  // After `failures` in a row (0: none, no wait): between half the ceiling and the ceiling, which doubles
  // with each failure from `first` up to `most`.
  [[nodiscard]] core::Duration wait(int failures, double unit) const;
  // The same with no wait longer than `limit`.
  [[nodiscard]] Backoff at_most(core::Duration limit) const;
};

// A change of the list counts as told 6 s after discovery had it and could be reached, whatever call failed.
// So the longest wait has to leave time for the next call: after a refusal that may wait its turn for 2 s,
// and after a call that was given up, its silence of 3 s has passed already.
inline constexpr core::Duration kMostAfterRefusal{4'000'000};
inline constexpr core::Duration kMostAfterSilence{2'500'000};

// The waits of one conductor among `conductors` that share one discovery. Its capacity is fixed, and calls
// that it turns away cost it too, so that it stays overbooked while the fleet calls faster than it serves:
// the ceilings grow with the fleet, as far as kMostAfterRefusal allows.
[[nodiscard]] Backoff backoff_for(unsigned conductors);

// Where discovery is an agent on the conductor's own machine, which answers at once and at no cost: what it
// has counts as told from the moment it is back, so the next call is never far off.
[[nodiscard]] Backoff backoff_at_hand();

}  // namespace bankmux::net
