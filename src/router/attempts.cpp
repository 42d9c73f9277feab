// Sending of attempts, their outcomes, and retries: which are allowed and how the retry budget limits them.
#include "router/impl.hpp"

namespace eiderarch {

// The retry budget limits the load of retries and of resumed answers. An idle instance that has not been
// tried and that no other front can load gets one more attempt regardless, because with few arrivals the
// budget refills too slowly.
bool Router::Impl::affordable(const Engine& e, const Request& r) const {
  return !r.again() || retries_ >= 1.0 || (s_.fronts <= 1 && e.out == 0 && untried(e, r));
}

bool Router::Impl::untried(const Engine& e, const Request& r) {
  return std::ranges::count(r.tried, e.entry.engine) == 0;
}

// For a class that may be repeated only in a group and a window, every later attempt counts, also one to a
// prefill instance: it sends a copy of the request, and only the group can recognise the repeat.
bool Router::Impl::repeat_allowed(const Engine& e, const Request& r) const {
  if (!r.may_have_run || r.cls.effect == Effect::safe) return true;
  if (r.cls.effect == Effect::unsafe || now_ + kRepeatMargin >= repeat_by(r)) return false;
  for (const Attempt& a : r.attempts) {
    if (!a.may_have_run) continue;
    const EngineEntry& was = known_.engines.at(a.engine).entry;
    if (r.cls.group == RepeatGroup::zone && was.zone != e.entry.zone) return false;
    if (r.cls.group == RepeatGroup::cell && was.cell != e.entry.cell) return false;
  }
  return true;
}

// End of the repeat window, which starts with the first attempt that may have executed the request.
std::optional<Time> Router::Impl::repeat_by(const Request& r) {
  const auto first = std::ranges::find_if(r.attempts, &Attempt::may_have_run);
  if (first == r.attempts.end() || r.cls.effect != Effect::keyed) return std::nullopt;
  return first->sent + r.cls.repeat_window;
}

bool Router::Impl::send(Request& r, Engine& e, bool to_reader) {
  if (r.stage == Stage::over || r.out() || !usable(e, r) || now_ >= r.ask.deadline) return false;
  if (int(r.attempts.size()) >= s_.limits.max_attempts) return false;
  if (!affordable(e, r)) return false;
  if (r.again()) retries_ = std::max(0.0, retries_ - 1.0);
  plan(r, false);
  Attempt a;
  a.engine = e.entry.engine;
  a.sent = now_;
  a.reader = to_reader;
  a.place = place_of(a.engine);
  a.local = !to_reader && r.holder == 0 && !r.place;
  const Engine* holder = known_.find(r.holder);
  if (!to_reader && holder != nullptr && holder->entry.cell != e.entry.cell) a.link = holder->entry.cell;
  a.claimed = kept(e, r);
  const double read = double(r.ask.prompt_tokens - a.claimed);
  a.work = kBaseWork + (to_reader || a.local ? read : kFetchShare * double(r.ask.prompt_tokens));
  a.ahead = to_reader ? known_.queue(e) + a.work : a.work;
  e.work += a.work;
  e.out += 1;
  if (!to_reader) e.held += footprint(r);
  actions_.emplace_back(Send{r.ask.id, a.engine, Duration{0}, repeat_by(r).value_or(0s), to_reader});
  e.kept.put(r.ask.prefix, r.ask.prefix_tokens);
  if (known_.cold(e)) e.cold_credit = cold_credit(e) - 1.0;
  e.cold_at = now_;
  r.attempts.push_back(a);
  r.stage = to_reader ? Stage::reading : Stage::writing;
  if (!to_reader) r.writer = a.engine;
  return true;
}

void Router::Impl::on(const StreamStarted& e) {
  Attempt* const attempt = find(e.id, e.attempt);
  if (attempt == nullptr) return;
  Request& r = requests_.at(e.id);
  Attempt& a = *attempt;
  if (Engine* engine = known_.find(a.engine)) {
    if (!a.local) took(r, false, e.elapsed);
    // A decode instance whose memory is filling up shows late first tokens even when the KV cache came from
    // the same cell.
    if (!a.local && !a.link) {
      const bool slow = seconds(e.elapsed) > kSlowFirst * seconds(r.cls.aim);
      fill_ += slow ? -kFillDown : waiting_.empty() ? 0.0 : kFillUp;
      fill_ = std::clamp(fill_, kFillLow, kFillHigh);
    }
    if (a.link) {
      known_.links[*a.link].sample(now_, kFarMove,
                                   seconds(e.elapsed) / (kBaseWork + double(r.ask.prompt_tokens)));
    } else {
      known_.sample(*engine, seconds(e.elapsed) / a.ahead);
    }
    note(*engine, r, true);
    engine->kept.put(r.ask.session, r.ask.prompt_tokens);
    engine->work -= a.work;
    a.work = 0.0;
  }
  r.holder = 0;
  r.place = r.claimed = false;
  if (r.stage != Stage::over) r.stage = Stage::streaming;
}

// Returns the attempt if it has not ended, else null.
Attempt* Router::Impl::find(RequestId id, int number) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || number < 0 || std::size_t(number) >= it->second.attempts.size())
    return nullptr;
  Attempt& a = it->second.attempts[std::size_t(number)];
  return a.out ? &a : nullptr;
}

void Router::Impl::on(const AttemptEnded& e) {
  Attempt* const attempt = find(e.id, e.attempt);
  if (attempt == nullptr) return;
  Request& r = requests_.at(e.id);
  Attempt& a = *attempt;
  a.out = false;
  settle(known_.engines.at(a.engine), r, a, e, r.stage == Stage::streaming);
  e.request_over || r.stage == Stage::over ? close(r) : follow_up(r, a, e);
}

// Tokens that a prefill instance processed until a prefill ended: own work queued before it, and the uncached
// part of its prompt. The instance's report of cached tokens is used, because other processes' requests fill
// its cache as well: the own table would overstate the work several times, and the pace would look several
// times too fast.
double Router::Impl::work_read(const Request& r, const Attempt& a, Tokens found) {
  const double queued = a.ahead - a.work;
  const Tokens kept = std::clamp<Tokens>(found, 0, r.ask.prompt_tokens);
  return queued + kBaseWork + double(r.ask.prompt_tokens - kept);
}

// Updates an instance's load and estimates after an attempt has ended.
void Router::Impl::settle(Engine& e, Request& r, const Attempt& a, const AttemptEnded& end, bool streamed) {
  e.out -= 1;
  e.work -= a.work;
  if (!a.reader) e.held -= footprint(r);
  known_.hear(e, end.report);
  const Outcome o = end.outcome;
  if (o == Outcome::state_held) {
    known_.sample(e, seconds(end.elapsed) / work_read(r, a, end.detail));
    note(e, r, true);
    took(r, true, end.elapsed);
    known_.learn_found(r.ask.request_class, a.place, r.ask.prompt_tokens, end.detail);
    e.kept.put(r.ask.session, r.ask.prompt_tokens);
  }
  if (o == Outcome::state_held || (o == Outcome::served && a.local)) recount(e, r, a, end.detail);
  // A full instance is avoided for a while. A missing KV cache (detail 1) says nothing about the decode
  // instance.
  if (o == Outcome::busy && end.detail == 0) {
    e.full_until = now_ + kFullMemory;
    took(r, a.reader, std::nullopt);
  }
  const bool broke = o == Outcome::error || o == Outcome::reset || o == Outcome::not_connected;
  if (broke || (o == Outcome::timed_out && !streamed)) note(e, r, false, o != Outcome::not_connected);
}

// A flushed or restarted cache holds less than the table lists: the entry is corrected, and after two
// shortfalls in a row the instance's whole table is dropped. Cost: two chance evictions drop it too; it
// refills in seconds.
void Router::Impl::recount(Engine& e, const Request& r, const Attempt& a, Tokens found) {
  e.shortfalls = found * 2 >= a.claimed ? 0 : e.shortfalls + 1;
  if (e.shortfalls == 0) return;
  if (e.shortfalls >= 2) e.kept = PrefixTable{};
  e.kept.put(r.ask.session, r.ask.prompt_tokens);
  e.kept.put(r.ask.prefix, r.ask.prefix_tokens);
}

void Router::Impl::follow_up(Request& r, Attempt& a, const AttemptEnded& e) {
  if (e.outcome == Outcome::state_held) {
    r.holder = a.engine;
    r.held_at = now_;
    r.stage = Stage::held;
    hand_over(r);
    return;
  }
  if (!a.reader && !proves_not_executed(e.outcome)) r.may_have_run = a.may_have_run = true;
  r.tried.push_back(a.engine);
  if (e.outcome == Outcome::skipped || now_ + kReclaim >= r.ask.deadline ||
      (r.may_have_run && r.cls.effect == Effect::unsafe)) {
    give_up(r);
    return;
  }
  if (e.outcome == Outcome::busy && e.detail == 1) {
    // The prefill instance died or cannot be reached from there, so that path is avoided for a while. Its
    // memory may still hold the KV cache, which is therefore released all the same.
    if (const Engine* holder = known_.find(r.holder)) {
      known_.cuts[{holder->entry.cell, known_.engines.at(a.engine).entry.cell}] = now_ + kCutMemory;
    }
    r.tried.pop_back();
    wait_again(r);
  } else if (r.holder != 0) {
    // An attempt that never arrived cannot have fetched the KV cache, so its holding time runs on. Otherwise
    // several unreachable decode instances in a row, which accept no connection, would keep the memory
    // occupied beyond the release time. Cost: the prompt is prefilled once more elsewhere.
    if (e.outcome != Outcome::not_connected) r.held_at = now_;
    const bool in_time = now_ - r.held_at + e.elapsed < s_.rules.release_within + kReleaseSlack;
    r.stage = Stage::held;
    r.held_at == now_ || in_time ? hand_over(r) : wait_again(r);
  } else {
    wait_again(r);
  }
}

void Router::Impl::on(const RequestGone& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  const bool streamed = r.stage == Stage::streaming;
  close(r);
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    Attempt& a = r.attempts[i];
    if (!a.out) continue;
    // The client left first; only an overdue answer counts as a failure of the instance.
    if (!a.cancelled && !streamed && a.late) note(known_.engines.at(a.engine), r, false);
    if (s_.limits.cancel) actions_.emplace_back(Cancel{r.ask.id, int(i)});
  }
}

}  // namespace eiderarch
