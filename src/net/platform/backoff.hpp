// Delay before retrying a call after consecutive failures: exponential backoff with "equal jitter" (M.
// Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). Pure: the caller draws
// `random_unit` in [0, 1) from its own generator, so that processes started together spread out.
#pragma once

#include "core/ports.hpp"

namespace bankmux::net {

struct Backoff {
  core::Duration first;  // ceiling after one failure
  core::Duration max;    // largest ceiling

  // Returns between half the ceiling and the ceiling after `failures` in a row; 0 for no failures. The
  // ceiling doubles with each failure from `first` up to `max`.
  [[nodiscard]] core::Duration wait(int failures, double random_unit) const;
  // The same backoff with no wait longer than `limit`.
  [[nodiscard]] Backoff at_most(core::Duration limit) const;
};

// A list change must take effect within 6 s after discovery had it and could be reached, whichever call
// failed. The longest wait must therefore leave time for the next call. After a refusal, that call may queue
// for 2 s; after a call without an answer, 3 s of silence have already passed.
inline constexpr core::Duration kMaxWaitAfterRefusal{4'000'000};
inline constexpr core::Duration kMaxWaitAfterSilence{2'500'000};

// Backoff of one of `conductors` that share a discovery service. The service has a fixed capacity, which
// refused calls use up too, so it stays overloaded while the fleet calls faster than it serves. The ceilings
// therefore grow with the fleet, up to kMaxWaitAfterRefusal.
[[nodiscard]] Backoff backoff_for(unsigned conductors);

// Backoff for a discovery agent on the conductor's own machine, which answers at once and at no cost. Its
// changes must take effect as soon as it is back, so the waits stay short.
[[nodiscard]] Backoff local_agent_backoff();

}  // namespace bankmux::net
