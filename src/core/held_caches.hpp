// The KV caches and reservations that requests may hold at instances, and their release. Each is released as
// soon as its request has no use for it, and a release is tried until it has arrived.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/fleet.hpp"
#include "core/ports.hpp"

namespace bankmux::core {

struct HeldCachesSettings {
  std::uint32_t zone = 0;           // this conductor's: releases prefer it
  std::size_t max_releases = 2000;  // waiting at a time; beyond that the oldest is dropped
};

class HeldCaches {
 public:
  // Whether an attempt of that request is out.
  using AttemptOut = std::function<bool(RequestId)>;
  using LogFunction = std::function<void(const char* topic, const std::string& text)>;

  HeldCaches(HeldCachesSettings settings, const Fleet& fleet, Scheduler& scheduler, Instances& instances,
             AttemptOut attempt_out, LogFunction log);

  // From now on something may be held there for the request.
  void may_hold(RequestId id, const PayloadPtr& payload, EngineId engine);
  // Nothing is held there for it any more.
  void holds_nothing(RequestId id, EngineId engine);
  [[nodiscard]] bool may_hold_any(RequestId id) const { return held_.contains(id); }
  // The request's stream has begun, and with that the instances let go of the rest by themselves.
  void forget(RequestId id) { held_.erase(id); }

  // Releases all that may be held for the request, wherever it is.
  void release_all(RequestId id);
  // Releases what may be held for the request at one instance.
  void release_at(RequestId id, const PayloadPtr& payload, EngineId engine);
  // Drops the releases still tried there: they would let go of what a new attempt is about to make. True
  // where there was one, so that the attempt has to account for what was held.
  bool withdraw_releases(const PayloadPtr& payload, EngineId engine);
  // Whether a release has not arrived yet, at any instance.
  [[nodiscard]] bool releasing() const;

  // A reservation has been asked for at an instance, and later been answered. What the answer is worth:
  enum class Reservation {
    wanted,        // the request may still use it
    released,      // the request had let go of all; its release is on its way
    not_on_record  // the request has ended, or its stream has begun at some instance
  };
  void reservation_asked(RequestId id, const PayloadPtr& payload, EngineId engine);
  Reservation reservation_answered(RequestId id, const PayloadPtr& payload, EngineId engine);

 private:
  // Where something may lie for a request, until a stream has begun or the release has arrived.
  struct Held {
    PayloadPtr payload;
    std::set<EngineId> at;
    int reservations_out = 0;
    bool let_go = false;
  };
  struct Release {
    RequestId id = 0;
    PayloadPtr payload;
    EngineId engine = 0;
    Time started{0};  // of the process that may hold it
    Time until{0};
    bool out = false;
    bool refused = false;     // a try has not arrived
    bool taken = false;       // by another instance, which releases what is held at any
    std::set<EngineId> told;  // others that were asked to
    std::unique_ptr<Timer> again, elsewhere;
  };

  // Whether the instance that the release is for can hold nothing of it any more, or its time is up.
  [[nodiscard]] bool pointless(const Release& release, const Fleet::Member* holder) const;
  [[nodiscard]] int releases_out(EngineId engine) const;
  void try_release(std::uint64_t number);
  void try_again_later(Release& release, std::uint64_t number);
  void release_elsewhere(std::uint64_t number);
  void look_elsewhere_later(Release& release, std::uint64_t number);
  // The instance to ask next in the holder's place: in the own zone where one is left there, else drawn by
  // the number. None where all have been asked.
  [[nodiscard]] const Fleet::Member* next_to_ask(const Release& release, std::uint64_t number) const;

  HeldCachesSettings settings_;
  const Fleet& fleet_;
  Scheduler& scheduler_;
  Instances& instances_;
  AttemptOut attempt_out_;
  LogFunction log_;
  std::map<RequestId, Held> held_;
  std::map<std::uint64_t, Release> releases_;
  std::uint64_t last_release_ = 0;
};

}  // namespace bankmux::core
