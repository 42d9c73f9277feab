// History of a fault test: the events of its clients, servers and injected faults on one clock, and the rules
// that a history must satisfy.
#pragma once

#include <chrono>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace faults {

// Seconds since this test program began, on the monotonic clock.
double seconds_now();

struct HistoryEvent {
  enum class Kind {
    client_sent,          // a client sent a whole request; detail: class; number: seconds it waits
    client_disconnected,  // a client closed its connection before its answer was complete
    client_answered,      // a client received a final answer; number: its status
    client_unanswered,    // a client's connection ended without a complete answer
    attempt_received,     // a server received a complete attempt; number: remaining time in seconds
    attempt_ended,        // a server ended an attempt; detail: how
    cache_held,           // a prefill instance began to hold the KV cache of a prompt
    reservation_held,     // a decode instance began to hold a reservation
    released,             // a server received a release
    server_silenced,      // connections to a server pass no more data; id is empty
    server_restored,      // the silent connections were reset, and new ones work
    server_reset,         // the open connections of a server were reset
    drain_announced,      // discovery announced that a server drains; id is empty
    serving_announced     // discovery announced that a server serves again; id is empty
  };
  double at = 0.0;
  Kind kind = Kind::client_sent;
  std::string id;
  std::string server;
  std::string detail;
  double number = 0.0;
};

// Detail of attempt_ended if the server ended its response well, but not its answer.
inline const std::string kPartialAnswer = "partial answer";
// Detail of client_unanswered if the connection ended within the answer.
inline const std::string kBrokenStream = "broken within its answer";

class History {
 public:
  void add(HistoryEvent::Kind kind, const std::string& id, const std::string& server = "",
           const std::string& detail = "", double number = 0.0);
  // Adds an event that happened before it is recorded.
  void add_at(double at, HistoryEvent::Kind kind, const std::string& id, const std::string& server = "",
              const std::string& detail = "", double number = 0.0);
  // Moves the time of the last `client_sent` of that request to now, when its last byte has been sent.
  void sent_completely(const std::string& id);
  // In the order in which they happened.
  [[nodiscard]] std::vector<HistoryEvent> events() const;
  // Whether a server has received an attempt of that request. Uses an index, since every client of a run
  // calls it.
  [[nodiscard]] bool forwarded(const std::string& id) const;

 private:
  mutable std::mutex mutex_;
  std::vector<HistoryEvent> events_;
  std::unordered_set<std::string> forwarded_;
};

// Time limits of the rules, in seconds.
struct RuleLimits {
  // Longest time a held cache or reservation may stay unused: the release time of the settings + 0.3.
  double held = 0.6;
  double answer_slack = 0.5;        // a final answer may come this long after the client's wait
  double after_disconnect = 0.1;    // an attempt may begin this long after its client has disconnected
  double stated_time_slack = 0.15;  // an attempt may state this much more than the client's remaining time
  double drain_grace = 1.0;         // attempts may still be sent this long after a drain is announced
  double delivery_delay = 0.05;     // delivery time on loopback with busy processors
};

// Longest time that a cache or reservation was held for a request while none of its attempts was in progress.
double longest_held(const std::vector<HistoryEvent>& events, const std::string& id);

// Checks all rules. Returns one line per violation; empty if all rules hold. `until`: the end of the run.
std::vector<std::string> find_violations(const std::vector<HistoryEvent>& events, const RuleLimits& limits,
                                         double until);

std::string to_text(const HistoryEvent& event);

}  // namespace faults
