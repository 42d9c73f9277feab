#include "core/held_caches.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

constexpr Duration kReleaseAgain = 20ms;  // pause before a release that did not arrive is tried again
// How long a release may be on its way before another instance gets it too: some round trips between zones.
// What is held has 300 ms, and an instance that was cut off takes no connection for 250.
constexpr Duration kReleaseElsewhere = 60ms;
constexpr std::size_t kReleaseMostTold = 6;  // others that get it; one of them can be reached, or none
constexpr Duration kReleaseFor = 60s;        // what an instance still holds by then it has let go of itself
constexpr int kReleasesOut = 16;             // at one instance, at the same time

}  // namespace

HeldCaches::HeldCaches(HeldCachesSettings settings, const Fleet& fleet, Scheduler& scheduler,
                       Instances& instances, AttemptOut attempt_out, LogFunction log)
    : settings_(settings),
      fleet_(fleet),
      scheduler_(scheduler),
      instances_(instances),
      attempt_out_(std::move(attempt_out)),
      log_(std::move(log)) {}

void HeldCaches::may_hold(RequestId id, const PayloadPtr& payload, EngineId engine) {
  Held& held = held_[id];
  held.payload = payload;
  held.let_go = false;
  held.at.insert(engine);
}

void HeldCaches::holds_nothing(RequestId id, EngineId engine) {
  if (const auto held = held_.find(id); held != held_.end()) held->second.at.erase(engine);
}

void HeldCaches::release_all(RequestId id) {
  const auto held = held_.find(id);
  if (held == held_.end()) return;
  for (const EngineId engine : std::exchange(held->second.at, {}))
    release_at(id, held->second.payload, engine);
  held->second.let_go = true;
  if (held->second.reservations_out == 0) held_.erase(held);
}

void HeldCaches::reservation_asked(RequestId id, const PayloadPtr& payload, EngineId engine) {
  may_hold(id, payload, engine);
  ++held_[id].reservations_out;
}

HeldCaches::Reservation HeldCaches::reservation_answered(RequestId id, const PayloadPtr& payload,
                                                         EngineId engine) {
  const auto held = held_.find(id);
  if (held == held_.end()) return Reservation::not_on_record;
  --held->second.reservations_out;
  if (!held->second.let_go) return Reservation::wanted;
  // Let go of while the call was out: it may have overtaken the release.
  release_at(id, payload, engine);
  if (held->second.reservations_out == 0) held_.erase(held);
  return Reservation::released;
}

bool HeldCaches::withdraw_releases(const PayloadPtr& payload, EngineId engine) {
  const auto there = [&](const auto& entry) {
    return entry.second.payload == payload && entry.second.engine == engine;
  };
  return std::erase_if(releases_, there) > 0;
}

bool HeldCaches::releasing() const {
  return std::ranges::any_of(releases_, [](const auto& entry) { return !entry.second.taken; });
}

void HeldCaches::release_at(RequestId id, const PayloadPtr& payload, EngineId engine) {
  const Fleet::Member* member = fleet_.find(engine);
  if (member == nullptr) return;
  if (releases_.size() >= settings_.max_releases) {
    log_("release", "too many releases wait; the oldest is dropped");
    releases_.erase(releases_.begin());
  }
  const std::uint64_t number = ++last_release_;
  Release& release = releases_[number];
  release.id = id;
  release.payload = payload;
  release.engine = engine;
  release.started = member->entry.started;
  release.until = scheduler_.now() + kReleaseFor;
  look_elsewhere_later(release, number);
  try_release(number);
}

bool HeldCaches::pointless(const Release& release, const Fleet::Member* holder) const {
  if (holder == nullptr || holder->entry.started != release.started) return true;
  if (scheduler_.now() >= release.until) return true;
  // A process that the list says is gone and that refused a try has stopped, and what it held went with it:
  // each further try would only hold a socket, every 20 ms, for as long as the release may be tried. One that
  // is listed as gone may still run a moment, so one try is made all the same.
  return release.refused && holder->entry.state == eiderarch::EngineState::gone;
}

int HeldCaches::releases_out(EngineId engine) const {
  return int(std::ranges::count_if(
      releases_, [engine](const auto& entry) { return entry.second.out && entry.second.engine == engine; }));
}

void HeldCaches::try_again_later(Release& release, std::uint64_t number) {
  release.again = scheduler_.at(scheduler_.now() + kReleaseAgain, [this, number] { try_release(number); });
}

// Until it has arrived: a call that fails to come up releases nothing, and the cache stays pinned.
void HeldCaches::try_release(std::uint64_t number) {
  const auto it = releases_.find(number);
  if (it == releases_.end()) return;
  Release& release = it->second;
  const Fleet::Member* holder = fleet_.find(release.engine);
  if (pointless(release, holder)) {
    releases_.erase(it);
    return;
  }
  // Guards the sockets: an instance that has vanished takes none, and each try there holds one for a while.
  if (releases_out(release.engine) >= kReleasesOut) return try_again_later(release, number);
  release.out = true;
  // One that an attempt there took the place of while it dialled would let go of what that makes.
  const auto may_write = [this, number] { return releases_.contains(number); };
  instances_.release(holder->target, release.payload, may_write, [this, number](bool arrived) {
    const auto now = releases_.find(number);
    if (now == releases_.end()) return;
    now->second.out = false;
    if (arrived) {
      releases_.erase(now);
      return;
    }
    try_again_later(now->second, number);
    if (!std::exchange(now->second.refused, true)) release_elsewhere(number);
  });
}

void HeldCaches::look_elsewhere_later(Release& release, std::uint64_t number) {
  release.elsewhere =
      scheduler_.at(scheduler_.now() + kReleaseElsewhere, [this, number] { release_elsewhere(number); });
}

const Fleet::Member* HeldCaches::next_to_ask(const Release& release, std::uint64_t number) const {
  const Fleet::Member* next = nullptr;
  std::pair<bool, std::uint64_t> best;
  for (const auto& [engine, member] : fleet_.members()) {
    const bool live = member.entry.state == eiderarch::EngineState::live && !member.out;
    if (!live || engine == release.engine || release.told.contains(engine)) continue;
    const std::pair place{member.entry.zone == settings_.zone, engine * (2 * number + 1)};
    if (next != nullptr && place <= best) continue;
    next = &member;
    best = place;
  }
  return next;
}

// Every instance takes a release, and lets go of what is held at any. One that is cut off, or stops while it
// holds something, can't be told by itself: seen as caches pinned beside a release tried there in vain.
void HeldCaches::release_elsewhere(std::uint64_t number) {
  const auto it = releases_.find(number);
  if (it == releases_.end() || it->second.taken || it->second.told.size() >= kReleaseMostTold) return;
  Release& release = it->second;
  const Fleet::Member* holder = fleet_.find(release.engine);
  if (holder == nullptr || holder->entry.state == eiderarch::EngineState::gone) return;
  // While an attempt is out nothing counts as left behind, and it may be making a cache anew.
  if (attempt_out_(release.id)) return look_elsewhere_later(release, number);
  const Fleet::Member* next = next_to_ask(release, number);
  if (next == nullptr) return;
  look_elsewhere_later(release, number);
  release.told.insert(next->entry.engine);
  // Asked again as the connection comes up, which may take longer than the next attempt's beginning.
  const auto may_write = [this, number, id = release.id, engine = next->entry.engine] {
    const auto now = releases_.find(number);
    if (now == releases_.end()) return false;
    if (attempt_out_(id)) now->second.told.erase(engine);
    return now->second.told.contains(engine);
  };
  instances_.release(next->target, release.payload, may_write, [this, number](bool arrived) {
    const auto now = releases_.find(number);
    if (now != releases_.end() && arrived) now->second.taken = true;
  });
}

}  // namespace bankmux::core
