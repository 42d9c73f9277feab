// Whether a request may have been executed: the one place that reads it from an attempt's end, keeps account
// of it over all attempts of a request, and says whether one more may be sent. Pure; knows no wire and no
// clock.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ports.hpp"
#include "eiderarch/router.hpp"

namespace bankmux::core {

// How an attempt ended by its instance's word, or by the break of its connection. `prefill`: it was sent to
// an instance that only reads prompts, so that a held state is an answer. What proves nothing maps to an
// outcome for which eiderarch::proves_not_executed is false.
[[nodiscard]] eiderarch::Outcome outcome_of(const AttemptResult& result, bool prefill);

// How an attempt ended that this side gave up: `not_connected` where its request had not left whole, which no
// instance executes, else `otherwise`.
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

  // Notes an attempt at an instance that can execute. Nothing is noted where `outcome` proves that it did
  // not.
  void note(const Place& place, eiderarch::Outcome outcome);
  // An attempt of which nothing is known but that it may have executed.
  void assume_executed() { places_.emplace_back(); }

  [[nodiscard]] bool may_have_executed() const { return !places_.empty(); }

  // Whether another attempt at an instance that can execute may begin there and then. A class without effect
  // may run twice; one that is deduplicated keeps to the group and the window of the first that may have run;
  // any other may only be sent where no attempt may have run.
  [[nodiscard]] bool permits(const eiderarch::RequestClass& cls, const Place& next) const;

  // Whether the client may be told that to repeat the request does no harm.
  [[nodiscard]] bool permits_refusal(const eiderarch::RequestClass& cls) const;

 private:
  std::vector<Place> places_;
};

}  // namespace bankmux::core
