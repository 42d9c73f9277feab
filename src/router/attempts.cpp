// Sending of attempts, their outcomes, and retries: which are allowed and how the retry budget limits them.
#include "router/impl.hpp"

namespace eiderarch {

// The retry budget limits the load of retries and of resumed answers. An idle instance that has not been
// tried and that no other front can load gets one more attempt regardless, because with few arrivals the
// budget refills too slowly.
bool Router::Impl::within_retry_budget(const Instance& e, const Request& r) const {
  return !r.is_retry() || retry_budget_ >= 1.0 ||
         (settings_.fronts <= 1 && e.active_requests == 0 && untried(e, r));
}

bool Router::Impl::untried(const Instance& e, const Request& r) {
  return std::ranges::count(r.tried, e.entry.engine) == 0;
}

// For a class that may be repeated only in a group and a window, every later attempt counts, also one to a
// prefill instance: it sends a copy of the request, and only the group can recognise the repeat.
bool Router::Impl::repeat_allowed(const Instance& e, const Request& r) const {
  if (!r.may_have_run || r.cls.effect == Effect::safe) return true;
  if (r.cls.effect == Effect::unsafe || now_ + kRepeatMargin >= repeat_deadline(r)) return false;
  for (const Attempt& a : r.attempts) {
    if (!a.may_have_run) continue;
    const EngineEntry& earlier = estimates_.instances.at(a.instance).entry;
    if (r.cls.group == RepeatGroup::zone && earlier.zone != e.entry.zone) return false;
    if (r.cls.group == RepeatGroup::cell && earlier.cell != e.entry.cell) return false;
  }
  return true;
}

// End of the repeat window, which starts with the first attempt that may have executed the request.
std::optional<Time> Router::Impl::repeat_deadline(const Request& r) {
  const auto first = std::ranges::find_if(r.attempts, &Attempt::may_have_run);
  if (first == r.attempts.end() || r.cls.effect != Effect::keyed) return std::nullopt;
  return first->sent + r.cls.repeat_window;
}

bool Router::Impl::send(Request& r, Instance& e, bool to_prefill) {
  if (r.stage == Stage::over || r.has_active_attempt() || !usable(e, r) || now_ >= r.arrival.deadline)
    return false;
  if (int(r.attempts.size()) >= settings_.limits.max_attempts) return false;
  if (!within_retry_budget(e, r)) return false;
  if (r.is_retry()) retry_budget_ = std::max(0.0, retry_budget_ - 1.0);
  count_planned(r, false);
  Attempt a;
  a.instance = e.entry.engine;
  a.sent = now_;
  a.prefill = to_prefill;
  a.home_rank = home_rank_of(a.instance);
  a.local = !to_prefill && r.cache_holder == 0 && !r.reserved;
  const Instance* cache_holder = estimates_.find(r.cache_holder);
  if (!to_prefill && cache_holder != nullptr && cache_holder->entry.cell != e.entry.cell)
    a.link = cache_holder->entry.cell;
  a.expected_cached = cached_tokens(e, r);
  const double uncached = double(r.arrival.prompt_tokens - a.expected_cached);
  a.work = kBaseWorkTokens +
           (to_prefill || a.local ? uncached : kFetchWorkShare * double(r.arrival.prompt_tokens));
  a.work_ahead = to_prefill ? estimates_.queued_tokens(e) + a.work : a.work;
  e.work += a.work;
  e.active_requests += 1;
  if (!to_prefill) e.resident_tokens += footprint(r);
  actions_.emplace_back(
      Send{r.arrival.id, a.instance, Duration{0}, repeat_deadline(r).value_or(0s), to_prefill});
  e.cached_prefixes.put(r.arrival.prefix, r.arrival.prefix_tokens);
  if (estimates_.in_slow_start(e)) e.slow_start_credit = slow_start_credit(e) - 1.0;
  e.credit_at = now_;
  r.attempts.push_back(a);
  r.stage = to_prefill ? Stage::prefilling : Stage::decoding;
  if (!to_prefill) r.decode_instance = a.instance;
  return true;
}

void Router::Impl::on(const StreamStarted& e) {
  Attempt* const attempt = find_active_attempt(e.id, e.attempt);
  if (attempt == nullptr) return;
  Request& r = requests_.at(e.id);
  Attempt& a = *attempt;
  if (Instance* instance = estimates_.find(a.instance)) {
    if (!a.local) record_stage_time(r, false, e.elapsed);
    // A decode instance whose memory is filling up shows late first tokens even when the KV cache came from
    // the same cell.
    if (!a.local && !a.link) {
      const bool slow = seconds(e.elapsed) > kSlowFirstTokenAimShare * seconds(r.cls.aim);
      memory_fill_ += slow ? -kMemoryFillDecrease : waiting_.empty() ? 0.0 : kMemoryFillIncrease;
      memory_fill_ = std::clamp(memory_fill_, kMinMemoryFill, kMaxMemoryFill);
    }
    if (a.link) {
      estimates_.cell_links[*a.link].sample(
          now_, kInitialCellLinkPace,
          seconds(e.elapsed) / (kBaseWorkTokens + double(r.arrival.prompt_tokens)));
    } else {
      estimates_.sample(*instance, seconds(e.elapsed) / a.work_ahead);
    }
    record_outcome(*instance, r, true);
    instance->cached_prefixes.put(r.arrival.session, r.arrival.prompt_tokens);
    instance->work -= a.work;
    a.work = 0.0;
  }
  r.cache_holder = 0;
  r.reserved = r.reservation_requested = false;
  if (r.stage != Stage::over) r.stage = Stage::streaming;
}

// Returns the attempt if it has not ended, else null.
Attempt* Router::Impl::find_active_attempt(RequestId id, int number) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || number < 0 || std::size_t(number) >= it->second.attempts.size())
    return nullptr;
  Attempt& a = it->second.attempts[std::size_t(number)];
  return a.active ? &a : nullptr;
}

void Router::Impl::on(const AttemptEnded& e) {
  Attempt* const attempt = find_active_attempt(e.id, e.attempt);
  if (attempt == nullptr) return;
  Request& r = requests_.at(e.id);
  Attempt& a = *attempt;
  a.active = false;
  record_end(estimates_.instances.at(a.instance), r, a, e, r.stage == Stage::streaming);
  e.request_over || r.stage == Stage::over ? finish(r) : follow_up(r, a, e);
}

// Tokens that a prefill instance processed until a prefill ended: own work queued before it, and the uncached
// part of its prompt. The instance's report of cached tokens is used, because other processes' requests fill
// its cache as well: the own table would overstate the work several times, and the pace would look several
// times too fast.
double Router::Impl::prefill_work(const Request& r, const Attempt& a, Tokens reported_cached) {
  const double queued = a.work_ahead - a.work;
  const Tokens cached = std::clamp<Tokens>(reported_cached, 0, r.arrival.prompt_tokens);
  return queued + kBaseWorkTokens + double(r.arrival.prompt_tokens - cached);
}

// Updates an instance's load and estimates after an attempt has ended.
void Router::Impl::record_end(Instance& e, Request& r, const Attempt& a, const AttemptEnded& end,
                              bool streamed) {
  e.active_requests -= 1;
  e.work -= a.work;
  if (!a.prefill) e.resident_tokens -= footprint(r);
  estimates_.apply_report(e, end.report);
  const Outcome o = end.outcome;
  if (o == Outcome::state_held) {
    estimates_.sample(e, seconds(end.elapsed) / prefill_work(r, a, end.detail));
    record_outcome(e, r, true);
    record_stage_time(r, true, end.elapsed);
    estimates_.learn_cached_share(r.arrival.request_class, a.home_rank, r.arrival.prompt_tokens, end.detail);
    e.cached_prefixes.put(r.arrival.session, r.arrival.prompt_tokens);
  }
  if (o == Outcome::state_held || (o == Outcome::served && a.local))
    correct_prefix_table(e, r, a, end.detail);
  // A full instance is avoided for a while. A missing KV cache (detail 1) says nothing about the decode
  // instance.
  if (o == Outcome::busy && end.detail == 0) {
    e.busy_until = now_ + kBusyAvoidance;
    record_stage_time(r, a.prefill, std::nullopt);
  }
  const bool failed = o == Outcome::error || o == Outcome::reset || o == Outcome::not_connected;
  if (failed || (o == Outcome::timed_out && !streamed))
    record_outcome(e, r, false, o != Outcome::not_connected);
}

// A flushed or restarted cache holds less than the table lists: the entry is corrected, and after two
// shortfalls in a row the instance's whole table is dropped. Cost: two chance evictions drop it too; it
// refills in seconds.
void Router::Impl::correct_prefix_table(Instance& e, const Request& r, const Attempt& a,
                                        Tokens reported_cached) {
  e.cache_shortfalls = reported_cached * 2 >= a.expected_cached ? 0 : e.cache_shortfalls + 1;
  if (e.cache_shortfalls == 0) return;
  if (e.cache_shortfalls >= 2) e.cached_prefixes = PrefixTable{};
  e.cached_prefixes.put(r.arrival.session, r.arrival.prompt_tokens);
  e.cached_prefixes.put(r.arrival.prefix, r.arrival.prefix_tokens);
}

void Router::Impl::follow_up(Request& r, Attempt& a, const AttemptEnded& e) {
  if (e.outcome == Outcome::state_held) {
    r.cache_holder = a.instance;
    r.unfetched_since = now_;
    r.stage = Stage::held;
    hand_over(r);
    return;
  }
  if (!a.prefill && !proves_not_executed(e.outcome)) r.may_have_run = a.may_have_run = true;
  r.tried.push_back(a.instance);
  if (e.outcome == Outcome::skipped || now_ + kDeadlineMargin >= r.arrival.deadline ||
      (r.may_have_run && r.cls.effect == Effect::unsafe)) {
    answer_unserved(r);
    return;
  }
  if (e.outcome == Outcome::busy && e.detail == 1) {
    // The prefill instance died or cannot be reached from there, so that path is avoided for a while. Its
    // memory may still hold the KV cache, which is therefore released all the same.
    if (const Instance* cache_holder = estimates_.find(r.cache_holder)) {
      estimates_.failed_paths[{cache_holder->entry.cell, estimates_.instances.at(a.instance).entry.cell}] =
          now_ + kFailedPathAvoidance;
    }
    r.tried.pop_back();
    requeue(r);
  } else if (r.cache_holder != 0) {
    // An attempt that never arrived cannot have fetched the KV cache, so its holding time runs on. Otherwise
    // several unreachable decode instances in a row, which accept no connection, would keep the memory
    // occupied beyond the release time. Cost: the prompt is prefilled once more elsewhere.
    if (e.outcome != Outcome::not_connected) r.unfetched_since = now_;
    const bool in_time =
        now_ - r.unfetched_since + e.elapsed < settings_.rules.release_within + kReleaseSlack;
    r.stage = Stage::held;
    r.unfetched_since == now_ || in_time ? hand_over(r) : requeue(r);
  } else {
    requeue(r);
  }
}

void Router::Impl::on(const RequestGone& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  const bool streamed = r.stage == Stage::streaming;
  finish(r);
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    Attempt& a = r.attempts[i];
    if (!a.active) continue;
    // The client left first; only an overdue answer counts as a failure of the instance.
    if (!a.cancelled && !streamed && a.overdue) record_outcome(estimates_.instances.at(a.instance), r, false);
    if (settings_.limits.cancel) actions_.emplace_back(Cancel{r.arrival.id, int(i)});
  }
}

}  // namespace eiderarch
