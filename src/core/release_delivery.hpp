// Delivery of releases of held KV caches and reservations. A release has arrived once a running instance has
// answered it: neither a written call nor a connection that came up proves that. Until then it is tried at
// the instance that may hold something, and at others on new connections, for any instance releases all.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet.hpp"
#include "core/ports.hpp"

namespace bankmux::core {

// Counts since the process started.
struct ReleaseFigures {
  std::uint64_t begun = 0;
  std::uint64_t answered = 0;         // by the instance that may have held something
  std::uint64_t answered_by_any = 0;  // first by another one
  std::uint64_t tries_failed = 0;     // calls that brought no answer
  std::uint64_t abandoned = 0;        // pointless or dropped before an answer
};

class ReleaseDelivery {
 public:
  struct Settings {
    std::uint32_t zone = 0;           // this conductor's: releases prefer it
    std::size_t max_releases = 2000;  // waiting at a time; beyond that the oldest is dropped
  };
  // One release to deliver. From `due` on it goes to other instances also beside an attempt that has not been
  // heard of: up to then such an attempt may be making a cache anew.
  struct Order {
    RequestId id = 0;
    PayloadPtr payload;
    EngineId engine = 0;
    Time due{0};
    // Until then something may still come to be held there: a prefill whose connection was closed here, and
    // that may not have heard of it. The release is repeated until then.
    Time repeat_until{0};
  };
  // Whether an attempt of that request is out of which nothing has been heard.
  using AttemptUnproven = std::function<bool(RequestId)>;
  using LogFunction = std::function<void(const char* topic, const std::string& text)>;

  ReleaseDelivery(Settings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
                  AttemptUnproven attempt_unproven, LogFunction log);

  void start(const Order& order);
  // Drops the releases still tried there: they would release what a new attempt is about to make. Returns the
  // earliest time at which one of them was due; nothing where there was none.
  std::optional<Time> withdraw(const PayloadPtr& payload, EngineId engine);
  // Something that has arrived has restarted the request's clock: its releases are not due before then.
  void postpone(RequestId id, Time due);
  // Whether a release has not arrived yet, at any instance. One that is only to be repeated has, unless its
  // instance's connections have shown to be silent, so that the end of its attempt was hardly heard.
  [[nodiscard]] bool pending() const;
  [[nodiscard]] const ReleaseFigures& figures() const { return figures_; }

 private:
  struct Release {
    Order order;
    Time instance_started{0};  // of the process that may hold something
    Time begun{0};
    int calls_out = 0;
    bool failed = false;         // a try has not arrived
    bool taken = false;          // by another instance, which releases what is held at any
    bool asked_afresh = false;   // its holder, on a new connection
    std::set<EngineId> also_at;  // others that were asked to
    std::unique_ptr<Timer> again, elsewhere;
  };
  struct Repeat {
    Order order;
    bool silent = false;  // a call to the instance on an idle connection was not answered in time
    std::unique_ptr<Timer> at;
  };
  using Number = std::uint64_t;

  // Whether the instance that the release is for can hold nothing of it any more, or its time is up.
  [[nodiscard]] bool pointless(const Release& release, const Fleet::Member* holder) const;
  [[nodiscard]] int calls_out(EngineId engine) const;
  void abandon(std::map<Number, Release>::iterator at);
  void try_holder(Number number, bool new_connection);
  void holder_answered(Number number, bool arrived);
  void repeat_later(const Order& order, bool silent);
  void repeat(Number number);
  void try_holder_later(Release& release, Number number);
  void look_elsewhere(Number number);
  void look_elsewhere_later(Release& release, Number number);
  void try_other(Release& release, Number number, const Fleet::Member& other);
  // The instances to ask next in the holder's place: the one last heard in the own zone, and the one last
  // heard of all. None where all have been asked.
  [[nodiscard]] std::vector<const Fleet::Member*> next_others(const Release& release) const;

  Settings settings_;
  Fleet& fleet_;
  Scheduler& scheduler_;
  Instances& instances_;
  AttemptUnproven attempt_unproven_;
  LogFunction log_;
  std::map<Number, Release> releases_;
  std::map<Number, Repeat> repeats_;
  Number last_number_ = 0;
  ReleaseFigures figures_;
};

}  // namespace bankmux::core
