#include "core/execution.hpp"

#include <algorithm>

namespace bankmux::core {

using eiderarch::Effect;
using eiderarch::Outcome;
using eiderarch::RepeatGroup;

Outcome outcome_of(const AttemptResult& result, bool prefill) {
  switch (result.verdict) {
    case Verdict::served:
      return Outcome::served;
    case Verdict::state_held:
      // Not an answer of an instance that can execute, so it may have executed.
      return prefill ? Outcome::state_held : Outcome::error;
    case Verdict::busy:
    case Verdict::no_state:
      return Outcome::busy;
    case Verdict::error:
      return Outcome::error;
    case Verdict::rejected:
      // The request is at fault, not the instance. Counted as the instance's failure, a few clients with
      // invalid requests would take all instances out of service.
      return Outcome::cancelled;
    case Verdict::broken:
      break;
  }
  return outcome_given_up(result.progress, Outcome::reset);
}

Outcome outcome_given_up(Progress progress, Outcome otherwise) {
  return progress <= Progress::unwritten ? Outcome::not_connected : otherwise;
}

void ExecutionRecord::note(const Place& place, Outcome outcome) {
  if (!eiderarch::proves_not_executed(outcome)) places_.push_back(place);
}

bool ExecutionRecord::permits(const eiderarch::RequestClass& cls, const Place& next) const {
  if (places_.empty() || cls.effect == Effect::safe) return true;
  if (cls.effect == Effect::unsafe) return false;
  const bool in_group = std::ranges::all_of(places_, [&](const Place& place) {
    if (cls.group == RepeatGroup::zone) return place.zone == next.zone;
    return cls.group == RepeatGroup::all || place.cell == next.cell;
  });
  return in_group && next.sent < places_.front().sent + cls.repeat_window;
}

bool ExecutionRecord::permits_refusal(const eiderarch::RequestClass& cls) const {
  const bool keyed_anywhere = cls.effect == Effect::keyed && cls.group == RepeatGroup::all;
  return places_.empty() || cls.effect == Effect::safe || keyed_anywhere;
}

}  // namespace bankmux::core
