// Delivery of releases of held KV caches and reservations. A release has arrived when a running instance has
// answered it; neither a written call nor an established connection proves that. Until then it is retried at
// the instance that may hold something and, on new connections, at other instances, since every instance
// releases what is held at any instance.
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

// Counters since the process started.
struct ReleaseCounters {
  std::uint64_t begun = 0;
  std::uint64_t answered = 0;         // by the instance that may have held something
  std::uint64_t answered_by_any = 0;  // first by another instance
  std::uint64_t tries_failed = 0;     // calls without an answer
  std::uint64_t abandoned = 0;        // obsolete, or dropped before an answer
};

class ReleaseDelivery {
 public:
  struct Settings {
    std::uint32_t zone = 0;           // of this conductor; instances in it are preferred
    std::size_t max_releases = 2000;  // pending at a time; beyond that the oldest is dropped
  };
  // One release to deliver. From `due` on it is also sent to other instances if an attempt of the request is
  // out that has not answered; before that, such an attempt may be creating a cache anew.
  struct Order {
    RequestId id = 0;
    PayloadPtr payload;
    EngineId instance = 0;
    Time due{0};
    // Until then something may still become held there, by a prefill whose connection was closed by this side
    // and that may not have received the close. The release is repeated until then.
    Time repeat_until{0};
  };
  // Whether an attempt of that request is out that has not answered anything.
  using AttemptUnanswered = std::function<bool(RequestId)>;
  using LogFunction = std::function<void(const char* topic, const std::string& text)>;

  ReleaseDelivery(Settings settings, Fleet& fleet, Scheduler& scheduler, Instances& instances,
                  AttemptUnanswered attempt_unanswered, LogFunction log);

  void start(const Order& order);
  // Drops the pending releases there, because they would release what a new attempt is about to create.
  // Returns the earliest time at which one of them was due; nullopt if there was none.
  std::optional<Time> withdraw(const PayloadPtr& payload, EngineId instance);
  // The request's clock was restarted by an attempt that has arrived: its releases are not due before then.
  void postpone(RequestId id, Time due);
  // Whether some release has not arrived yet, at any instance. A release that is only to be repeated has
  // arrived, unless its instance's connections have not been delivering data, so that the instance probably
  // did not receive the end of its attempt.
  [[nodiscard]] bool pending() const;
  [[nodiscard]] const ReleaseCounters& figures() const { return figures_; }

 private:
  struct Release {
    Order order;
    Time instance_started{0};  // start of the process that may hold something
    Time begun{0};
    int open_calls = 0;
    bool failed = false;                     // a call has failed
    bool released_by_other = false;          // by another instance, which releases what every holder holds
    bool retried_on_new_connection = false;  // at its holder, on a new connection
    std::set<EngineId> others_called;        // other instances that were called
    std::unique_ptr<Timer> retry_timer, others_timer;
  };
  struct Repeat {
    Order order;
    bool silent = false;  // a call to the instance on an idle connection was not answered in time
    std::unique_ptr<Timer> timer;
  };
  using Number = std::uint64_t;

  // Whether the instance can no longer hold anything for this release, or the release has been tried long
  // enough.
  [[nodiscard]] bool is_obsolete(const Release& release, const Fleet::Member* holder) const;
  [[nodiscard]] int open_calls(EngineId instance) const;
  void abandon(std::map<Number, Release>::iterator it);
  void try_holder(Number number, bool new_connection);
  void holder_answered(Number number, bool arrived);
  void repeat_later(const Order& order, bool silent);
  void repeat(Number number);
  void try_holder_later(Release& release, Number number);
  void try_others(Number number);
  void try_others_later(Release& release, Number number);
  void try_other(Release& release, Number number, const Fleet::Member& other);
  // The next instances to call in the holder's place: the one in this conductor's zone and the one in the
  // whole fleet that answered most recently. Empty if all have been called.
  [[nodiscard]] std::vector<const Fleet::Member*> next_other_instances(const Release& release) const;

  Settings settings_;
  Fleet& fleet_;
  Scheduler& scheduler_;
  Instances& instances_;
  AttemptUnanswered attempt_unanswered_;
  LogFunction log_;
  std::map<Number, Release> releases_;
  std::map<Number, Repeat> repeats_;
  Number last_number_ = 0;
  ReleaseCounters figures_;
};

}  // namespace bankmux::core
