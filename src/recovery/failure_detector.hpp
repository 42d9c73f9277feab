// Decides when the instance of a silent stream is considered lost. Learns the gaps between each instance's
// events and suspects a silence that they do not explain (an accrual detector on the logarithm of the gaps,
// after Hayashibara et al., "The phi accrual failure detector", SRDS 2004). Waits longer if the instance's
// other streams are active or if most of the fleet is silent. No I/O and no clock: times are passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "eiderarch/router.hpp"

namespace bankmux::recovery {

using eiderarch::Duration;
using eiderarch::EngineId;
using eiderarch::Time;

// An instance is lost after this silence in any case; streams that cannot be continued use the same limit.
constexpr Duration kMaxSilence = std::chrono::seconds(4);
// Long enough for a stall of one batch; suspecting an instance sooner gains little.
constexpr Duration kMinSilence = std::chrono::milliseconds(500);

class FailureDetector {
 public:
  // A stream has begun at the instance, or ended there.
  void began(EngineId instance) { ++instances_[instance].streams; }
  void ended(EngineId instance);
  // A stream of the instance has delivered an event, `gap` after its previous one.
  void event(EngineId instance, Time now, Duration gap);

  // How long a stream of the instance may be silent before time_until_lost() has to be called.
  [[nodiscard]] Duration limit(EngineId instance) const;
  // A stream of the instance has been silent for `silent`. Returns zero if the instance is to be considered
  // lost, else how much longer to wait.
  [[nodiscard]] Duration time_until_lost(EngineId instance, Time now, Duration silent) const;

 private:
  struct Instance {
    int streams = 0;
    std::int64_t gaps = 0;
    double mean = 0.0, variance = 0.0;  // of the logarithm of gaps in seconds; exponentially weighted
    double longest = 0.0;               // longest recent gap in seconds; decays by half each minute
    Time longest_at{0};
    Time last{0};  // when any of its streams last delivered an event
  };
  [[nodiscard]] static Duration limit(const Instance& instance);

  std::map<EngineId, Instance> instances_;  // every instance that ever streamed
};

}  // namespace bankmux::recovery
