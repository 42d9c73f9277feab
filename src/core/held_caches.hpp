// The KV caches and reservations that requests may hold at instances, and the clock that the release time
// sets them. The clock runs while no attempt of the request is known to have arrived at a running instance: a
// write into a local socket stops nothing. When the time is up all is released, beside such an attempt too.
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
  Duration release_within{0};  // of the settings; 0: none is told, and no clock runs
};

class HeldCaches {
 public:
  // `unproven`: its instance has not begun to answer, so that it may never have arrived there.
  enum class AttemptState { none, unproven, heard };
  struct Hooks {
    // Of the attempt of that request that is out.
    std::function<AttemptState(RequestId)> attempt_state;
    // What was held for the request has been released, for its time is up. `held_for`: since the clock began.
    std::function<void(RequestId, Duration held_for)> overdue;
    ReleaseDelivery::LogFunction log;
  };

  HeldCaches(HeldCachesSettings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
             Hooks hooks);

  // A prefill of the request begins there: from its end on its cache may be held.
  void prefill_begins(RequestId id, const PayloadPtr& payload, EngineId engine);
  // From now on something may be held there for the request.
  void may_hold(RequestId id, const PayloadPtr& payload, EngineId engine);
  // Nothing is held there for it any more.
  void holds_nothing(RequestId id, EngineId engine);
  [[nodiscard]] bool may_hold_any(RequestId id) const { return held_.contains(id); }
  // The request's stream has begun, and with that the instances release the rest by themselves.
  void forget(RequestId id) { held_.erase(id); }

  // An attempt that has arrived is over: what is held has the release time from now on.
  void restart_clock(RequestId id);
  // An attempt that may not have arrived is over: a clock that runs goes on, one that has struck begins anew.
  void continue_clock(RequestId id);
  // The attempt that is out has been proved to have arrived.
  void stop_clock(RequestId id);

  // Releases all that may be held for the request, wherever it is.
  void release_all(RequestId id);
  // Releases what may be held for the request at one instance.
  void release_at(RequestId id, const PayloadPtr& payload, EngineId engine);
  // The same for a prefill whose connection was closed here. It may have ended well just then; or, on a
  // silent connection, not have heard of that, and hold its cache later, up to `until`, when its time is
  // over.
  void release_cut_off_prefill(RequestId id, const PayloadPtr& payload, EngineId engine, Time until);
  // Drops the releases still tried there: they would release what a new attempt is about to make. True where
  // there was one: the attempt has to account for what was held, whose clock goes on.
  bool withdraw_releases(RequestId id, const PayloadPtr& payload, EngineId engine);
  // Whether a release has not arrived yet, at any instance.
  [[nodiscard]] bool releasing() const { return delivery_.pending(); }
  [[nodiscard]] const ReleaseFigures& release_figures() const { return delivery_.figures(); }

  // A reservation has been asked for at an instance, and later been answered. What the answer is worth:
  enum class Reservation {
    wanted,        // the request may still use it
    released,      // the request had let go of all; its release is on its way
    not_on_record  // the request has ended, or its stream has begun at some instance
  };
  void reservation_asked(RequestId id, const PayloadPtr& payload, EngineId engine);
  Reservation reservation_answered(RequestId id, const PayloadPtr& payload, EngineId engine);

 private:
  // Where something may lie for a request, until a stream has begun or the release has begun.
  struct Held {
    PayloadPtr payload;
    std::set<EngineId> at;
    std::optional<EngineId> prefilling_at;  // where a cache is being made
    int reservations_out = 0;
    bool let_go = false;
    std::optional<Time> since;  // the clock's beginning, while it runs
    std::unique_ptr<Timer> due;
  };
  Held& record(RequestId id, const PayloadPtr& payload);
  void run_clock(RequestId id, Held& held, Time since);
  void time_is_up(RequestId id);
  // How long after the clock's beginning a release has to go out.
  [[nodiscard]] Duration allowed() const;

  HeldCachesSettings settings_;
  Scheduler& scheduler_;
  Hooks hooks_;
  std::map<RequestId, Held> held_;
  ReleaseDelivery delivery_;
};

}  // namespace bankmux::core
