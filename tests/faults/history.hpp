// What the processes and peers of a fault test did, on one clock, and the rules that must hold over it.
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
    client_sent,  // the last byte of a request is written; detail: class, number: client's wait in seconds
    client_left,  // the client closed its connection before its answer was whole
    client_answered,  // a final answer; number: its status
    client_unserved,  // the connection ended without an answer
    attempt_taken,    // a server has read an attempt whole; number: the time it was told, in seconds
    attempt_ended,    // a server has ended it; detail: how
    cache_held,       // a prefill instance holds the KV cache of a prompt
    place_held,       // a decode instance holds a reservation
    released,         // a server has read a release
    server_silenced,  // connections to it have fallen silent; id is empty
    server_healed,    // and were reset, new ones work
    server_reset,     // its open connections were reset
    drain_told,       // discovery has told that the server drains; id is empty
    serving_told      // and that it serves again
  };
  double at = 0.0;
  Kind kind = Kind::client_sent;
  std::string id;
  std::string server;
  std::string detail;
  double number = 0.0;
};

// Detail of a client that was cut off within its answer.
inline const std::string kBrokenStream = "broken within its answer";

class History {
 public:
  void add(HistoryEvent::Kind kind, const std::string& id, const std::string& server = "",
           const std::string& detail = "", double number = 0.0);
  [[nodiscard]] std::vector<HistoryEvent> events() const;
  // Whether a server has taken an attempt of that request. Cheap: all that a run does goes through here.
  [[nodiscard]] bool forwarded(const std::string& id) const;

 private:
  mutable std::mutex mutex_;
  std::vector<HistoryEvent> events_;
  std::unordered_set<std::string> forwarded_;
};

// The bounds that the rules set; seconds.
struct RuleLimits {
  double held = 0.6;  // a held cache or place may stay untaken: the release time of the settings + 0.3
  double answer_slack = 0.5;   // a final answer past the client's wait is still no loss
  double after_leaving = 0.1;  // an attempt may begin after its client has closed
  double told_slack = 0.15;    // beyond the client's rest
  double drain_grace = 1.0;
  double transit = 0.05;  // on loopback, with busy processors
};

// How long something was held for that request while no attempt of it was out, at most.
double longest_held(const std::vector<HistoryEvent>& events, const std::string& id);

// One line for each breach of a rule; empty where all hold. `until`: the end of the run.
std::vector<std::string> breaches(const std::vector<HistoryEvent>& events, const RuleLimits& limits,
                                  double until);

std::string to_text(const HistoryEvent& event);

}  // namespace faults
