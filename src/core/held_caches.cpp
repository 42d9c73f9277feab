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
constexpr Duration kReleaseLead = 100ms;
// How long a cut-off prefill is assumed to continue if it has not received the close of its connection.
constexpr Duration kLongestPrefill = 3s;
constexpr Duration kPastDeadline = 1s;  // beyond the deadline that the instance was sent

}  // namespace

HeldCaches::HeldCaches(HeldCachesSettings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
                       Hooks hooks)
    : settings_(settings),
      scheduler_(scheduler),
      hooks_(std::move(hooks)),
      delivery_(
          {settings.zone, settings.max_releases}, fleet, scheduler, instances,
          [this](RequestId id) { return hooks_.attempt_state(id) == AttemptState::unanswered; }, hooks_.log) {
}

HeldCaches::Held& HeldCaches::record(RequestId id, const PayloadPtr& payload) {
  Held& held = held_[id];
  held.payload = payload;
  held.all_released = false;
  return held;
}

void HeldCaches::add_prefill(RequestId id, const PayloadPtr& payload, EngineId instance) {
  record(id, payload).prefilling_at = instance;
}

void HeldCaches::add_holder(RequestId id, const PayloadPtr& payload, EngineId instance) {
  record(id, payload).instances.insert(instance);
}

void HeldCaches::remove_holder(RequestId id, EngineId instance) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  held->second.instances.erase(instance);
  if (held->second.prefilling_at == instance) held->second.prefilling_at.reset();
}

// ---- Release clock ----

Duration HeldCaches::release_delay() const { return std::max(settings_.release_within - kReleaseLead, 0us); }

void HeldCaches::start_clock(RequestId id, Held& held, Time clock_start) {
  if (settings_.release_within <= 0us) return;
  held.clock_start = clock_start;
  held.release_timer = scheduler_.at(clock_start + release_delay(), [this, id] { on_release_due(id); });
}

void HeldCaches::restart_clock(RequestId id) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  if (const auto prefilled_at = std::exchange(held->second.prefilling_at, std::nullopt)) {
    held->second.instances.insert(*prefilled_at);
  }
  start_clock(id, held->second, scheduler_.now());
  delivery_.postpone(id, scheduler_.now() + release_delay());
}

void HeldCaches::continue_clock(RequestId id) {
  const auto held = held_.find(id);
  if (held != held_.end() && !held->second.clock_start) start_clock(id, held->second, scheduler_.now());
}

void HeldCaches::stop_clock(RequestId id) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  held->second.clock_start.reset();
  held->second.release_timer.reset();
}

void HeldCaches::on_release_due(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end() || !it->second.clock_start) return;
  Held& held = it->second;
  const Duration held_for = scheduler_.now() - *std::exchange(held.clock_start, std::nullopt);
  // An attempt that is known to have arrived stops the clock, and its end starts it anew.
  if (hooks_.attempt_state(id) == AttemptState::answered) return;
  // The record is kept: an attempt that has arrived but not answered yet keeps what it waits for in spite of
  // this release.
  for (const EngineId instance : held.instances)
    delivery_.start({id, held.payload, instance, scheduler_.now(), Time{0}});
  hooks_.overdue(id, held_for);
}

// ---- Releases ----

void HeldCaches::release_all(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  Held& held = it->second;
  const Time due = held.clock_start.value_or(scheduler_.now()) + release_delay();
  if (const auto prefilled_at = std::exchange(held.prefilling_at, std::nullopt))
    held.instances.insert(*prefilled_at);
  for (const EngineId instance : std::exchange(held.instances, {}))
    delivery_.start({id, held.payload, instance, due, Time{0}});
  held.all_released = true;
  stop_clock(id);
  if (held.open_reservations == 0) held_.erase(it);
}

void HeldCaches::release_at(RequestId id, const PayloadPtr& payload, EngineId instance) {
  delivery_.start({id, payload, instance, scheduler_.now() + release_delay(), Time{0}});
}

void HeldCaches::release_cut_off_prefill(RequestId id, const PayloadPtr& payload, EngineId instance,
                                         Time until) {
  const Time last = std::min(until + kPastDeadline, scheduler_.now() + kLongestPrefill);
  delivery_.start({id, payload, instance, scheduler_.now() + release_delay(), last});
}

bool HeldCaches::withdraw_releases(RequestId id, const PayloadPtr& payload, EngineId instance) {
  const std::optional<Time> due = delivery_.withdraw(payload, instance);
  if (!due) return false;
  add_holder(id, payload, instance);
  Held& held = held_[id];
  if (!held.clock_start) start_clock(id, held, *due - release_delay());
  return true;
}

// ---- Reservations ----

void HeldCaches::reservation_requested(RequestId id, const PayloadPtr& payload, EngineId instance) {
  add_holder(id, payload, instance);
  ++held_[id].open_reservations;
  continue_clock(id);
}

HeldCaches::Reservation HeldCaches::reservation_answered(RequestId id, const PayloadPtr& payload,
                                                         EngineId instance) {
  const auto held = held_.find(id);
  if (held == held_.end()) return Reservation::not_on_record;
  --held->second.open_reservations;
  if (!held->second.all_released) return Reservation::usable;
  // Released while the call was out: the reservation may have been made after the release.
  release_at(id, payload, instance);
  if (held->second.open_reservations == 0) held_.erase(held);
  return Reservation::released;
}

}  // namespace bankmux::core
