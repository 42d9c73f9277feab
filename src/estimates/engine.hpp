// State that one front keeps for each instance. Data only.
#pragma once

#include <map>
#include <optional>

#include "estimates/figures.hpp"
#include "estimates/prefix_table.hpp"

namespace eiderarch {

using namespace std::chrono_literals;

constexpr Duration kFirstEjection = 1s;  // first ejection; doubles each time up to kMaxEjection

// One instance as this front sees it.
struct Instance {
  EngineEntry entry;
  Role role = Role::both;
  Tokens memory = 0;
  PrefixTable cached_prefixes;
  int cache_shortfalls = 0;      // consecutive reports with far fewer cached tokens than the table lists
  int active_requests = 0;       // own requests there, including streams and planned ones
  double work = 0.0;             // own tokens waiting there to be prefilled or fetched
  double resident_tokens = 0.0;  // own tokens in its memory
  Pace pace;                     // seconds per token of work
  OutcomeRecord all_classes;
  std::map<std::uint32_t, OutcomeRecord> by_class;
  Time ejected_until{0};
  Duration ejection_time = kFirstEjection;
  Time busy_until{0};
  // Share of its memory used by all fronts, as reported at `memory_reported_at`.
  double reported_memory_share = 0.0;
  double resident_at_report = 0.0;  // `resident_tokens` at that time
  Time memory_reported_at = -1h;
  double reported_tokens = 0.0;             // tokens of all fronts queued there, as reported at `reported_at`
  Time reported_at = -1h, probed_at = -1h;  // initially long ago
  bool probe_pending = false;               // a probe has been sent and not answered
  std::optional<Time> last_contact;         // time of its last sign of life
  double slow_start_credit = 0.0;           // sends allowed in slow start, as of `credit_at`
  Time credit_at{0};

  [[nodiscard]] bool is_prefill() const { return role == Role::reader; }
  [[nodiscard]] bool live() const { return entry.state == EngineState::live; }
};

// Rendezvous hash weighted by instance size: the score of an instance for a key; the highest score wins.
inline double rendezvous_score(Key key, const Instance& e) {
  return std::log(unit_interval(mix(key, e.entry.engine))) / std::max(0.01, e.entry.rating);
}

}  // namespace eiderarch
