// State that one front keeps for each instance. Data only.
#pragma once

#include <map>
#include <optional>

#include "estimates/figures.hpp"
#include "estimates/prefix_table.hpp"

namespace eiderarch {

using namespace std::chrono_literals;

constexpr Duration kEjectFirst = 1s;  // first ejection; doubles each time up to kMaxEjection

// One instance as this front sees it.
struct Engine {
  EngineEntry entry;
  Role role = Role::both;
  Tokens memory = 0;
  PrefixTable kept;
  int shortfalls = 0;  // consecutive reports with far fewer cached tokens than the table lists
  int out = 0;         // own requests there, including streams and planned ones
  double work = 0.0;   // own tokens waiting there to be prefilled or fetched
  double held = 0.0;   // own tokens in its memory
  Pace pace;           // seconds per token of work
  Record all;
  std::map<std::uint32_t, Record> by_class;
  Time aside_until{0};
  Duration aside_for = kEjectFirst;
  Time full_until{0};
  // Share of its memory used by all fronts, as reported at `memory_reported_at`.
  double told_share = 0.0;
  double held_then = 0.0;  // `resident_tokens` at that time
  Time share_at = -1h;
  double told = 0.0;                   // tokens of all fronts queued there, as reported at `reported_at`
  Time told_at = -1h, asked_at = -1h;  // initially long ago
  bool asked = false;                  // a probe has been sent and not answered
  std::optional<Time> heard;           // time of its last sign of life
  double cold_credit = 0.0;            // sends allowed in slow start, as of `credit_at`
  Time cold_at{0};

  [[nodiscard]] bool reads() const { return role == Role::reader; }
  [[nodiscard]] bool live() const { return entry.state == EngineState::live; }
};

// Rendezvous hash weighted by instance size: the score of an instance for a key; the highest score wins.
inline double rank(Key key, const Engine& e) {
  return std::log(unit(mix(key, e.entry.engine))) / std::max(0.01, e.entry.rating);
}

}  // namespace eiderarch
