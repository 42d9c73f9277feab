#include "core/release_delivery.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

constexpr Duration kRetryAfter = 20ms;  // pause before a release that did not arrive is retried
// How long a call may be unanswered before other instances are called too: some round trips between zones. A
// delayed loop may use half of the 300 ms after the release time, and the rest has to suffice for several
// rounds.
constexpr Duration kElsewhereAfter = 40ms;
// Interval between repeats: what a prefill begins to hold just after one repeat is released by the next.
constexpr Duration kRepeatEvery = 250ms;
// Number of other instances called in the holder's place. If none of them can be reached, hardly any other
// can.
constexpr std::size_t kMostOthers = 6;
constexpr Duration kTriedFor = 60s;       // by then an instance has released by itself whatever it still held
constexpr int kMostCallsAtInstance = 16;  // at the same time
constexpr Duration kSlowDelivery = 100ms;  // deliveries that take at least this long are logged

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
  // A process that is listed as gone and refused a call has stopped, and what it held is freed with it.
  // Further calls would only occupy a socket every 20 ms for as long as the release may be retried. A process
  // listed as gone may still run for a moment, so one call is made all the same.
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
  // Limits the sockets: an instance that has vanished accepts no connection, and each call holds a socket for
  // a while.
  if (calls_out(release.order.engine) >= kMostCallsAtInstance) return try_holder_later(release, number);
  ++release.calls_out;
  // If a new attempt replaced this release while it was connecting, it would release what that attempt
  // creates.
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
  // The last repeat is sent after `repeat_until`, so that what was held just before that is released too.
  if (scheduler_.now() > order.repeat_until || repeats_.size() >= settings_.max_releases) return;
  const Time next = scheduler_.now() + kRepeatEvery;
  const Number number = ++last_number_;
  repeats_[number] = {order, silent, scheduler_.at(next, [this, number] { repeat(number); })};
}

// Not sent beside an attempt that may be creating or fetching a cache anew: the release time of that attempt
// applies then.
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

// Every instance accepts a release and releases what is held at any instance. The holder may be cut off or
// stopped while it holds something, and then can't be reached directly: caches stayed pinned while a release
// was retried there in vain.
void ReleaseDelivery::look_elsewhere(Number number) {
  const auto at = releases_.find(number);
  if (at == releases_.end() || at->second.taken) return;
  Release& release = at->second;
  const Fleet::Member* holder = fleet_.find(release.order.engine);
  if (holder == nullptr || holder->entry.state == eiderarch::EngineState::gone) return;
  // An attempt that has arrived stops the clock, and it may be creating a cache anew. An attempt that has
  // only been written may never arrive, and no longer delays the release once that is due.
  if (attempt_unproven_(release.order.id) && scheduler_.now() < release.order.due) {
    return look_elsewhere_later(release, number);
  }
  const std::vector<const Fleet::Member*> others = next_others(release);
  if (!others.empty()) look_elsewhere_later(release, number);
  for (const Fleet::Member* other : others) try_other(release, number, *other);
  // The holder's idle connections may all have stopped delivering data while new ones work. Called last,
  // because it may end this release.
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
  // Checked again when the connection is established, by which time the next attempt may have begun.
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
