// The KV caches and reservations that requests may hold at instances, and the release time of each request. A
// held cache is what a prefill instance keeps, after it has processed a prompt, until the decode instance has
// fetched it. A reservation is a place that a decode instance keeps free for a request. The release time of
// the settings limits how long either may be held without an attempt at work on the request. Its clock runs
// while no attempt of the request is known to have arrived at a running instance; a write into a local socket
// is no proof of that and does not stop the clock. When the time is up everything is released, even if such
// an attempt is out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/fleet.hpp"
#include "core/ports.hpp"
#include "core/release_delivery.hpp"

namespace bankmux::core {

struct HeldCachesSettings {
  std::uint32_t zone = 0;
  std::size_t max_releases = 2000;
  Duration release_within{0};  // release time of the settings; 0: none is set and no clock runs
};

class HeldCaches {
 public:
  // `unanswered`: the instance has not begun to answer, so the attempt may never have arrived.
  enum class AttemptState { none, unanswered, answered };
  struct Hooks {
    // State of the request's current attempt.
    std::function<AttemptState(RequestId)> attempt_state;
    // Called when the request's held caches and reservations have been released because the release time was
    // up. `held_for`: time since the clock started.
    std::function<void(RequestId, Duration held_for)> overdue;
    ReleaseDelivery::LogFunction log;
  };

  HeldCaches(HeldCachesSettings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
             Hooks hooks);

  // A prefill of the request begins there; once it has ended, its cache may be held.
  void add_prefill(RequestId id, const PayloadPtr& payload, EngineId instance);
  // From now on the instance may hold something for the request.
  void add_holder(RequestId id, const PayloadPtr& payload, EngineId instance);
  // The instance no longer holds anything for the request.
  void remove_holder(RequestId id, EngineId instance);
  [[nodiscard]] bool may_hold_any(RequestId id) const { return held_.contains(id); }
  // Called when the request's stream has begun: the instances then release the rest by themselves.
  void forget(RequestId id) { held_.erase(id); }

  // An attempt that is known to have arrived has ended: the release time starts anew.
  void restart_clock(RequestId id);
  // An attempt that may not have arrived has ended: a running clock continues, an expired one starts anew.
  void continue_clock(RequestId id);
  // The current attempt is known to have arrived.
  void stop_clock(RequestId id);

  // Releases everything that may be held for the request, at every instance.
  void release_all(RequestId id);
  // Releases what one instance may hold for the request.
  void release_at(RequestId id, const PayloadPtr& payload, EngineId instance);
  // The same for a prefill whose connection was closed by this side. It may have completed just then. On a
  // connection that no longer delivers data it may not have received the close, and may hold its cache later,
  // up to `until`, the deadline that it was sent.
  void release_cut_off_prefill(RequestId id, const PayloadPtr& payload, EngineId instance, Time until);
  // Drops the pending releases there, because they would release what a new attempt is about to create.
  // Returns whether there was one: the new attempt then has to account for what was held, and its clock
  // continues.
  bool withdraw_releases(RequestId id, const PayloadPtr& payload, EngineId instance);
  // Whether some release has not arrived yet, at any instance.
  [[nodiscard]] bool releasing() const { return delivery_.pending(); }
  [[nodiscard]] const ReleaseCounters& release_figures() const { return delivery_.figures(); }

  // The state of a reservation whose answer has arrived:
  enum class Reservation {
    usable,        // the request may still use it
    released,      // the request had released everything; a release of this one has been started
    not_on_record  // the request has ended, or its stream has begun at some instance
  };
  void reservation_requested(RequestId id, const PayloadPtr& payload, EngineId instance);
  Reservation reservation_answered(RequestId id, const PayloadPtr& payload, EngineId instance);

 private:
  // Where something may be held for a request, until its stream or its release has begun.
  struct Held {
    PayloadPtr payload;
    std::set<EngineId> instances;
    std::optional<EngineId> prefilling_at;  // where a prefill is running
    int open_reservations = 0;
    bool all_released = false;
    std::optional<Time> clock_start;  // start of the clock, while it runs
    std::unique_ptr<Timer> release_timer;
  };
  Held& record(RequestId id, const PayloadPtr& payload);
  void start_clock(RequestId id, Held& held, Time clock_start);
  void on_release_due(RequestId id);
  // How long after the start of the clock a release has to be sent.
  [[nodiscard]] Duration release_delay() const;

  HeldCachesSettings settings_;
  Scheduler& scheduler_;
  Hooks hooks_;
  std::map<RequestId, Held> held_;
  ReleaseDelivery delivery_;
};

}  // namespace bankmux::core
