#include "core/release_delivery.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

constexpr Duration kRetryAfter = 20ms;  // pause before a release that did not arrive is tried again
// How long a call may be on its way before others are made too: some round trips between zones. Of the 300 ms
// beyond the release time a loop that is held up may use half, and the rest has to hold several rounds.
constexpr Duration kElsewhereAfter = 40ms;
// Between repeats: what a prefill comes to hold just after one has to be released by the next.
constexpr Duration kRepeatEvery = 250ms;
constexpr std::size_t kMostOthers = 6;     // that are asked; one of them can be reached, or none
constexpr Duration kTriedFor = 60s;        // what an instance still holds by then it has released by itself
constexpr int kMostCallsAtInstance = 16;   // at the same time
constexpr Duration kSlowDelivery = 100ms;  // from which an arrival is logged

std::int64_t milliseconds(Duration time) { return time.count() / 1000; }

}  // namespace

ReleaseDelivery::ReleaseDelivery(Settings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
                                 AttemptUnproven attempt_unproven, LogFunction log)
    : settings_(settings),
      fleet_(fleet),
      scheduler_(scheduler),
      instances_(instances),
      attempt_unproven_(std::move(attempt_unproven)),
      log_(std::move(log)) {}

void ReleaseDelivery::start(const Order& order) {
  const Fleet::Member* member = fleet_.find(order.engine);
  if (member == nullptr) return;
  if (releases_.size() >= settings_.max_releases) {
    log_("release", "too many releases wait; the oldest is dropped");
    abandon(releases_.begin());
  }
  ++figures_.begun;
  const Number number = ++last_number_;
  Release& release = releases_[number];
  release.order = order;
  release.instance_started = member->entry.started;
  release.begun = scheduler_.now();
  look_elsewhere_later(release, number);
  try_holder(number, false);
}

std::optional<Time> ReleaseDelivery::withdraw(const PayloadPtr& payload, EngineId engine) {
  std::optional<Time> due;
  std::erase_if(releases_, [&](const auto& entry) {
    const Order& order = entry.second.order;
    if (order.payload != payload || order.engine != engine) return false;
    due = std::min(due.value_or(order.due), order.due);
    return true;
  });
  return due;
}

void ReleaseDelivery::postpone(RequestId id, Time due) {
  for (auto& [number, release] : releases_) {
    if (release.order.id == id) release.order.due = std::max(release.order.due, due);
  }
}

bool ReleaseDelivery::pending() const {
  return std::ranges::any_of(releases_, [](const auto& entry) { return !entry.second.taken; }) ||
         std::ranges::any_of(repeats_, [](const auto& entry) { return entry.second.silent; });
}

bool ReleaseDelivery::pointless(const Release& release, const Fleet::Member* holder) const {
  if (holder == nullptr || holder->entry.started != release.instance_started) return true;
  if (scheduler_.now() >= release.begun + kTriedFor) return true;
  // A process that the list says is gone and that refused a try has stopped, and what it held went with it:
  // each further try would only hold a socket, every 20 ms, for as long as the release may be tried. One that
  // is listed as gone may still run a moment, so one try is made all the same.
  return release.failed && holder->entry.state == eiderarch::EngineState::gone;
}

int ReleaseDelivery::calls_out(EngineId engine) const {
  int count = 0;
  for (const auto& [number, release] : releases_) {
    if (release.order.engine == engine) count += release.calls_out;
  }
  return count;
}

void ReleaseDelivery::abandon(std::map<Number, Release>::iterator at) {
  if (!at->second.taken) ++figures_.abandoned;
  releases_.erase(at);
}

void ReleaseDelivery::try_holder_later(Release& release, Number number) {
  release.again = scheduler_.at(scheduler_.now() + kRetryAfter, [this, number] { try_holder(number, true); });
}

void ReleaseDelivery::try_holder(Number number, bool new_connection) {
  const auto at = releases_.find(number);
  if (at == releases_.end()) return;
  Release& release = at->second;
  const Fleet::Member* holder = fleet_.find(release.order.engine);
  if (pointless(release, holder)) return abandon(at);
  // Guards the sockets: an instance that has vanished takes none, and each try there holds one for a while.
  if (calls_out(release.order.engine) >= kMostCallsAtInstance) return try_holder_later(release, number);
  ++release.calls_out;
  // One that an attempt there took the place of while it dialled would release what that makes.
  const auto may_write = [this, number] { return releases_.contains(number); };
  instances_.release(holder->target, release.order.payload,
                     {.trouble_harmless = true, .fresh = new_connection}, may_write,
                     [this, number](bool arrived) { holder_answered(number, arrived); });
}

void ReleaseDelivery::holder_answered(Number number, bool arrived) {
  const auto at = releases_.find(number);
  if (at == releases_.end()) return;
  Release& release = at->second;
  --release.calls_out;
  if (arrived) {
    fleet_.note_heard(release.order.engine, scheduler_.now());
    ++figures_.answered;
    const Order order = release.order;
    const bool silent = release.asked_afresh || release.failed;
    releases_.erase(at);
    repeat_later(order, silent);
    return;
  }
  ++figures_.tries_failed;
  try_holder_later(release, number);
  if (!std::exchange(release.failed, true)) look_elsewhere(number);
}

void ReleaseDelivery::repeat_later(const Order& order, bool silent) {
  // The last one comes past the end, so that what came to be held just before it is released, too.
  if (scheduler_.now() > order.repeat_until || repeats_.size() >= settings_.max_releases) return;
  const Time next = scheduler_.now() + kRepeatEvery;
  const Number number = ++last_number_;
  repeats_[number] = {order, silent, scheduler_.at(next, [this, number] { repeat(number); })};
}

// Not beside an attempt that may be making or fetching a cache anew: its own clock is the request's then.
void ReleaseDelivery::repeat(Number number) {
  const auto at = repeats_.find(number);
  if (at == repeats_.end()) return;
  Order order = at->second.order;
  const bool silent = at->second.silent;
  repeats_.erase(at);
  if (attempt_unproven_(order.id)) return repeat_later(order, silent);
  order.due = scheduler_.now();
  start(order);
}

void ReleaseDelivery::look_elsewhere_later(Release& release, Number number) {
  release.elsewhere =
      scheduler_.at(scheduler_.now() + kElsewhereAfter, [this, number] { look_elsewhere(number); });
}

// Every instance takes a release, and releases what is held at any. One that is cut off, or stops while it
// holds something, can't be told by itself: seen as caches pinned beside a release tried there in vain.
void ReleaseDelivery::look_elsewhere(Number number) {
  const auto at = releases_.find(number);
  if (at == releases_.end() || at->second.taken) return;
  Release& release = at->second;
  const Fleet::Member* holder = fleet_.find(release.order.engine);
  if (holder == nullptr || holder->entry.state == eiderarch::EngineState::gone) return;
  // An attempt that arrives stops the clock, and it may be making a cache anew. One that has only been
  // written may never arrive: when the time is up it counts for nothing.
  if (attempt_unproven_(release.order.id) && scheduler_.now() < release.order.due) {
    return look_elsewhere_later(release, number);
  }
  const std::vector<const Fleet::Member*> others = next_others(release);
  if (!others.empty()) look_elsewhere_later(release, number);
  for (const Fleet::Member* other : others) try_other(release, number, *other);
  // Its idle connections may all be silent while new ones are sound. Last: it may end this release.
  if (release.calls_out > 0 && !std::exchange(release.asked_afresh, true)) try_holder(number, true);
}

std::vector<const Fleet::Member*> ReleaseDelivery::next_others(const Release& release) const {
  const Fleet::Member* near = nullptr;
  const Fleet::Member* any = nullptr;
  const auto later = [](const Fleet::Member& member, const Fleet::Member* best) {
    return best == nullptr || member.last_heard > best->last_heard;
  };
  if (release.also_at.size() >= kMostOthers) return {};
  for (const auto& [engine, member] : fleet_.members()) {
    const bool live = member.entry.state == eiderarch::EngineState::live && !member.out;
    if (!live || engine == release.order.engine || release.also_at.contains(engine)) continue;
    if (member.entry.zone == settings_.zone && later(member, near)) near = &member;
    if (later(member, any)) any = &member;
  }
  std::vector<const Fleet::Member*> result;
  if (any != nullptr) result.push_back(any);
  if (near != nullptr && near != any) result.push_back(near);
  return result;
}

void ReleaseDelivery::try_other(Release& release, Number number, const Fleet::Member& other) {
  const EngineId engine = other.entry.engine;
  release.also_at.insert(engine);
  // Asked again as the connection comes up, which may take longer than the next attempt's beginning.
  const auto may_write = [this, number, engine] {
    const auto now = releases_.find(number);
    if (now == releases_.end()) return false;
    const Order& order = now->second.order;
    if (attempt_unproven_(order.id) && scheduler_.now() < order.due) now->second.also_at.erase(engine);
    return now->second.also_at.contains(engine);
  };
  instances_.release(other.target, release.order.payload, {.trouble_harmless = true, .fresh = true},
                     may_write, [this, number, engine](bool arrived) {
                       if (arrived) fleet_.note_heard(engine, scheduler_.now());
                       const auto now = releases_.find(number);
                       if (now == releases_.end()) return;
                       if (!arrived) {
                         ++figures_.tries_failed;
                         return;
                       }
                       if (std::exchange(now->second.taken, true)) return;
                       ++figures_.answered_by_any;
                       const Duration took = scheduler_.now() - now->second.begun;
                       if (took < kSlowDelivery) return;
                       log_("release", "request " + std::to_string(now->second.order.id) +
                                           ": released through another instance after " +
                                           std::to_string(milliseconds(took)) + " ms");
                     });
}

}  // namespace bankmux::core
