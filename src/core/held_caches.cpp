#include "core/held_caches.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

// A release must have arrived within 300 ms after the release time. A delayed loop may use 150 ms of that
// twice, for the prefill's answer and for the timer; delivery needs the rest, so a release starts this much
// earlier.
constexpr Duration kBeforeReleaseTime = 100ms;
// How long a cut-off prefill is assumed to continue if it has not received the close of its connection.
constexpr Duration kLongestPrefill = 3s;
constexpr Duration kPastItsTime = 1s;  // beyond the deadline that the instance was sent

}  // namespace

HeldCaches::HeldCaches(HeldCachesSettings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
                       Hooks hooks)
    : settings_(settings),
      scheduler_(scheduler),
      hooks_(std::move(hooks)),
      delivery_(
          {settings.zone, settings.max_releases}, fleet, scheduler, instances,
          [this](RequestId id) { return hooks_.attempt_state(id) == AttemptState::unproven; }, hooks_.log) {}

HeldCaches::Held& HeldCaches::record(RequestId id, const PayloadPtr& payload) {
  Held& held = held_[id];
  held.payload = payload;
  held.let_go = false;
  return held;
}

void HeldCaches::prefill_begins(RequestId id, const PayloadPtr& payload, EngineId engine) {
  record(id, payload).prefilling_at = engine;
}

void HeldCaches::may_hold(RequestId id, const PayloadPtr& payload, EngineId engine) {
  record(id, payload).at.insert(engine);
}

void HeldCaches::holds_nothing(RequestId id, EngineId engine) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  held->second.at.erase(engine);
  if (held->second.prefilling_at == engine) held->second.prefilling_at.reset();
}

// ---- Release clock ----

Duration HeldCaches::allowed() const { return std::max(settings_.release_within - kBeforeReleaseTime, 0us); }

void HeldCaches::run_clock(RequestId id, Held& held, Time since) {
  if (settings_.release_within <= 0us) return;
  held.since = since;
  held.due = scheduler_.at(since + allowed(), [this, id] { time_is_up(id); });
}

void HeldCaches::restart_clock(RequestId id) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  if (const auto made_at = std::exchange(held->second.prefilling_at, std::nullopt)) {
    held->second.at.insert(*made_at);
  }
  run_clock(id, held->second, scheduler_.now());
  delivery_.postpone(id, scheduler_.now() + allowed());
}

void HeldCaches::continue_clock(RequestId id) {
  const auto held = held_.find(id);
  if (held != held_.end() && !held->second.since) run_clock(id, held->second, scheduler_.now());
}

void HeldCaches::stop_clock(RequestId id) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  held->second.since.reset();
  held->second.due.reset();
}

void HeldCaches::time_is_up(RequestId id) {
  const auto at = held_.find(id);
  if (at == held_.end() || !at->second.since) return;
  Held& held = at->second;
  const Duration held_for = scheduler_.now() - *std::exchange(held.since, std::nullopt);
  // An attempt that is known to have arrived stops the clock, and its end starts it anew.
  if (hooks_.attempt_state(id) == AttemptState::heard) return;
  // The record is kept: an attempt that has arrived but not answered yet keeps what it waits for in spite of
  // this release.
  for (const EngineId engine : held.at)
    delivery_.start({id, held.payload, engine, scheduler_.now(), Time{0}});
  hooks_.overdue(id, held_for);
}

// ---- Releases ----

void HeldCaches::release_all(RequestId id) {
  const auto at = held_.find(id);
  if (at == held_.end()) return;
  Held& held = at->second;
  const Time due = held.since.value_or(scheduler_.now()) + allowed();
  if (const auto made_at = std::exchange(held.prefilling_at, std::nullopt)) held.at.insert(*made_at);
  for (const EngineId engine : std::exchange(held.at, {}))
    delivery_.start({id, held.payload, engine, due, Time{0}});
  held.let_go = true;
  stop_clock(id);
  if (held.reservations_out == 0) held_.erase(at);
}

void HeldCaches::release_at(RequestId id, const PayloadPtr& payload, EngineId engine) {
  delivery_.start({id, payload, engine, scheduler_.now() + allowed(), Time{0}});
}

void HeldCaches::release_cut_off_prefill(RequestId id, const PayloadPtr& payload, EngineId engine,
                                         Time until) {
  const Time last = std::min(until + kPastItsTime, scheduler_.now() + kLongestPrefill);
  delivery_.start({id, payload, engine, scheduler_.now() + allowed(), last});
}

bool HeldCaches::withdraw_releases(RequestId id, const PayloadPtr& payload, EngineId engine) {
  const std::optional<Time> due = delivery_.withdraw(payload, engine);
  if (!due) return false;
  may_hold(id, payload, engine);
  Held& held = held_[id];
  if (!held.since) run_clock(id, held, *due - allowed());
  return true;
}

// ---- Reservations ----

void HeldCaches::reservation_asked(RequestId id, const PayloadPtr& payload, EngineId engine) {
  may_hold(id, payload, engine);
  ++held_[id].reservations_out;
  continue_clock(id);
}

HeldCaches::Reservation HeldCaches::reservation_answered(RequestId id, const PayloadPtr& payload,
                                                         EngineId engine) {
  const auto held = held_.find(id);
  if (held == held_.end()) return Reservation::not_on_record;
  --held->second.reservations_out;
  if (!held->second.let_go) return Reservation::wanted;
  // Released while the call was out: the reservation may have been made after the release.
  release_at(id, payload, engine);
  if (held->second.reservations_out == 0) held_.erase(held);
  return Reservation::released;
}

}  // namespace bankmux::core
