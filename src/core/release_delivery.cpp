#include "core/release_delivery.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

constexpr Duration kRetryDelay = 20ms;  // pause before a release that did not arrive is retried
// How long a call may be unanswered before other instances are called too: some round trips between zones. A
// delayed loop may use half of the 300 ms after the release time, and the rest has to suffice for several
// rounds.
constexpr Duration kOtherInstancesDelay = 40ms;
// Interval between repeats: what a prefill begins to hold just after one repeat is released by the next.
constexpr Duration kRepeatInterval = 250ms;
// Number of other instances called in the holder's place. If none of them can be reached, hardly any other
// can.
constexpr std::size_t kMaxOtherInstances = 6;
constexpr Duration kGiveUpAfter = 60s;    // by then an instance has released by itself whatever it still held
constexpr int kMaxCallsPerInstance = 16;  // at the same time
constexpr Duration kSlowDeliveryThreshold = 100ms;  // deliveries that take at least this long are logged

std::int64_t milliseconds(Duration time) { return time.count() / 1000; }

}  // namespace

ReleaseDelivery::ReleaseDelivery(Settings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
                                 AttemptUnanswered attempt_unanswered, LogFunction log)
    : settings_(settings),
      fleet_(fleet),
      scheduler_(scheduler),
      instances_(instances),
      attempt_unanswered_(std::move(attempt_unanswered)),
      log_(std::move(log)) {}

void ReleaseDelivery::start(const Order& order) {
  const Fleet::Member* member = fleet_.find(order.instance);
  if (member == nullptr) return;
  if (releases_.size() >= settings_.max_releases) {
    log_("release", "too many pending releases; dropping the oldest");
    abandon(releases_.begin());
  }
  ++figures_.begun;
  const Number number = ++last_number_;
  Release& release = releases_[number];
  release.order = order;
  release.instance_started = member->entry.started;
  release.begun = scheduler_.now();
  try_others_later(release, number);
  try_holder(number, false);
}

std::optional<Time> ReleaseDelivery::withdraw(const PayloadPtr& payload, EngineId instance) {
  std::optional<Time> due;
  std::erase_if(releases_, [&](const auto& entry) {
    const Order& order = entry.second.order;
    if (order.payload != payload || order.instance != instance) return false;
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
  return std::ranges::any_of(releases_, [](const auto& entry) { return !entry.second.released_by_other; }) ||
         std::ranges::any_of(repeats_, [](const auto& entry) { return entry.second.silent; });
}

bool ReleaseDelivery::is_obsolete(const Release& release, const Fleet::Member* holder) const {
  if (holder == nullptr || holder->entry.started != release.instance_started) return true;
  if (scheduler_.now() >= release.begun + kGiveUpAfter) return true;
  // A process that is listed as gone and refused a call has stopped, and what it held is freed with it.
  // Further calls would only occupy a socket every 20 ms for as long as the release may be retried. A process
  // listed as gone may still run for a moment, so one call is made all the same.
  return release.failed && holder->entry.state == eiderarch::EngineState::gone;
}

int ReleaseDelivery::open_calls(EngineId instance) const {
  int count = 0;
  for (const auto& [number, release] : releases_) {
    if (release.order.instance == instance) count += release.open_calls;
  }
  return count;
}

void ReleaseDelivery::abandon(std::map<Number, Release>::iterator it) {
  if (!it->second.released_by_other) ++figures_.abandoned;
  releases_.erase(it);
}

void ReleaseDelivery::try_holder_later(Release& release, Number number) {
  release.retry_timer =
      scheduler_.at(scheduler_.now() + kRetryDelay, [this, number] { try_holder(number, true); });
}

void ReleaseDelivery::try_holder(Number number, bool new_connection) {
  const auto it = releases_.find(number);
  if (it == releases_.end()) return;
  Release& release = it->second;
  const Fleet::Member* holder = fleet_.find(release.order.instance);
  if (is_obsolete(release, holder)) return abandon(it);
  // Limits the sockets: an instance that has vanished accepts no connection, and each call holds a socket for
  // a while.
  if (open_calls(release.order.instance) >= kMaxCallsPerInstance) return try_holder_later(release, number);
  ++release.open_calls;
  // If a new attempt replaced this release while it was connecting, it would release what that attempt
  // creates.
  const auto may_write = [this, number] { return releases_.contains(number); };
  instances_.release(holder->target, release.order.payload,
                     {.failure_harmless = true, .new_connection = new_connection}, may_write,
                     [this, number](bool arrived) { holder_answered(number, arrived); });
}

void ReleaseDelivery::holder_answered(Number number, bool arrived) {
  const auto it = releases_.find(number);
  if (it == releases_.end()) return;
  Release& release = it->second;
  --release.open_calls;
  if (arrived) {
    fleet_.record_answer(release.order.instance, scheduler_.now());
    ++figures_.answered;
    const Order order = release.order;
    const bool silent = release.retried_on_new_connection || release.failed;
    releases_.erase(it);
    repeat_later(order, silent);
    return;
  }
  ++figures_.tries_failed;
  try_holder_later(release, number);
  if (!std::exchange(release.failed, true)) try_others(number);
}

void ReleaseDelivery::repeat_later(const Order& order, bool silent) {
  // The last repeat is sent after `repeat_until`, so that what was held just before that is released too.
  if (scheduler_.now() > order.repeat_until || repeats_.size() >= settings_.max_releases) return;
  const Time next = scheduler_.now() + kRepeatInterval;
  const Number number = ++last_number_;
  repeats_[number] = {order, silent, scheduler_.at(next, [this, number] { repeat(number); })};
}

// Not sent beside an attempt that may be creating or fetching a cache anew: the release time of that attempt
// applies then.
void ReleaseDelivery::repeat(Number number) {
  const auto it = repeats_.find(number);
  if (it == repeats_.end()) return;
  Order order = it->second.order;
  const bool silent = it->second.silent;
  repeats_.erase(it);
  if (attempt_unanswered_(order.id)) return repeat_later(order, silent);
  order.due = scheduler_.now();
  start(order);
}

void ReleaseDelivery::try_others_later(Release& release, Number number) {
  release.others_timer =
      scheduler_.at(scheduler_.now() + kOtherInstancesDelay, [this, number] { try_others(number); });
}

// Every instance accepts a release and releases what is held at any instance. The holder may be cut off or
// stopped while it holds something, and then can't be reached directly: caches stayed pinned while a release
// was retried there in vain.
void ReleaseDelivery::try_others(Number number) {
  const auto it = releases_.find(number);
  if (it == releases_.end() || it->second.released_by_other) return;
  Release& release = it->second;
  const Fleet::Member* holder = fleet_.find(release.order.instance);
  if (holder == nullptr || holder->entry.state == eiderarch::EngineState::gone) return;
  // An attempt that has arrived stops the clock, and it may be creating a cache anew. An attempt that has
  // only been written may never arrive, and no longer delays the release once that is due.
  if (attempt_unanswered_(release.order.id) && scheduler_.now() < release.order.due) {
    return try_others_later(release, number);
  }
  const std::vector<const Fleet::Member*> others = next_other_instances(release);
  if (!others.empty()) try_others_later(release, number);
  for (const Fleet::Member* other : others) try_other(release, number, *other);
  // The holder's idle connections may all have stopped delivering data while new ones work. Called last,
  // because it may end this release.
  if (release.open_calls > 0 && !std::exchange(release.retried_on_new_connection, true))
    try_holder(number, true);
}

std::vector<const Fleet::Member*> ReleaseDelivery::next_other_instances(const Release& release) const {
  const Fleet::Member* near = nullptr;
  const Fleet::Member* any = nullptr;
  const auto later = [](const Fleet::Member& member, const Fleet::Member* best) {
    return best == nullptr || member.last_answer > best->last_answer;
  };
  if (release.others_called.size() >= kMaxOtherInstances) return {};
  for (const auto& [instance, member] : fleet_.members()) {
    const bool live = member.entry.state == eiderarch::EngineState::live && !member.in_maintenance;
    if (!live || instance == release.order.instance || release.others_called.contains(instance)) continue;
    if (member.entry.zone == settings_.zone && later(member, near)) near = &member;
    if (later(member, any)) any = &member;
  }
  std::vector<const Fleet::Member*> result;
  if (any != nullptr) result.push_back(any);
  if (near != nullptr && near != any) result.push_back(near);
  return result;
}

void ReleaseDelivery::try_other(Release& release, Number number, const Fleet::Member& other) {
  const EngineId instance = other.entry.engine;
  release.others_called.insert(instance);
  // Checked again when the connection is established, by which time the next attempt may have begun.
  const auto may_write = [this, number, instance] {
    const auto it = releases_.find(number);
    if (it == releases_.end()) return false;
    const Order& order = it->second.order;
    if (attempt_unanswered_(order.id) && scheduler_.now() < order.due)
      it->second.others_called.erase(instance);
    return it->second.others_called.contains(instance);
  };
  instances_.release(other.target, release.order.payload, {.failure_harmless = true, .new_connection = true},
                     may_write, [this, number, instance](bool arrived) {
                       if (arrived) fleet_.record_answer(instance, scheduler_.now());
                       const auto it = releases_.find(number);
                       if (it == releases_.end()) return;
                       if (!arrived) {
                         ++figures_.tries_failed;
                         return;
                       }
                       if (std::exchange(it->second.released_by_other, true)) return;
                       ++figures_.answered_by_any;
                       const Duration took = scheduler_.now() - it->second.begun;
                       if (took < kSlowDeliveryThreshold) return;
                       log_("release", "request " + std::to_string(it->second.order.id) +
                                           ": released through another instance after " +
                                           std::to_string(milliseconds(took)) + " ms");
                     });
}

}  // namespace bankmux::core
