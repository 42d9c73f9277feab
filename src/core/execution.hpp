// Decides whether a request may have been executed. It derives that from the end of each attempt, keeps the
// record over all attempts of a request, and says whether another attempt may be sent. Independent of wire
// protocol and clock.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ports.hpp"
#include "eiderarch/router.hpp"

namespace bankmux::core {

// The outcome of an attempt that ended by its instance's answer or by a broken connection. `prefill`: it was
// sent to a prefill instance, for which a held KV cache (`state_held`) is an answer. A result that proves
// nothing maps to an outcome for which eiderarch::proves_not_executed is false.
[[nodiscard]] eiderarch::Outcome outcome_of(const AttemptResult& result, bool prefill);

// The outcome of an attempt that this side gave up: `not_connected` if its request had not been written
// completely, since no instance executes an incomplete request; otherwise `otherwise`.
[[nodiscard]] eiderarch::Outcome outcome_given_up(Progress progress, eiderarch::Outcome otherwise);

// The attempts of one request that may have executed it.
class ExecutionRecord {
 public:
  // Where and when such an attempt was sent.
  struct Place {
    std::uint32_t zone = 0;
    std::uint32_t cell = 0;
    Time sent{0};
  };

  // Records an attempt at an instance that can execute the request, unless `outcome` proves that it did not.
  void note(const Place& place, eiderarch::Outcome outcome);
  // Records an attempt that may have executed the request, with its instance unknown.
  void assume_executed() { places_.emplace_back(); }

  [[nodiscard]] bool may_have_executed() const { return !places_.empty(); }

  // Whether another attempt at an instance that can execute may begin at that place and time. A safe class
  // may execute twice. A keyed class is deduplicated by its instances, and must stay within the group and the
  // time window of its first attempt that may have executed. Any other class may be sent only if no attempt
  // may have executed.
  [[nodiscard]] bool permits(const eiderarch::RequestClass& cls, const Place& next) const;

  // Whether the client may be told that a retry is harmless.
  [[nodiscard]] bool permits_refusal(const eiderarch::RequestClass& cls) const;

 private:
  std::vector<Place> places_;
};

}  // namespace bankmux::core
