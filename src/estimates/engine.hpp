// What one front holds of one server. Data alone.
#pragma once

#include <map>
#include <optional>

#include "estimates/figures.hpp"
#include "estimates/prefix_table.hpp"

namespace eiderarch {

using namespace std::chrono_literals;

constexpr Duration kEjectFirst = 1s;  // first time set aside; doubles each time up to kEjectMost

// One server as this front sees it.
struct Engine {
  EngineEntry entry;
  Role role = Role::both;
  Tokens memory = 0;
  PrefixTable kept;
  int shortfalls = 0;  // answers in a row that kept far less than the table claimed
  int out = 0;         // own requests there, streams and planned ones too
  double work = 0.0;   // own tokens to be read or fetched there
  double held = 0.0;   // own tokens in its memory
  Pace pace;           // of work
  Record all;
  std::map<std::uint32_t, Record> by_class;
  Time aside_until{0};
  Duration aside_for = kEjectFirst;
  Time full_until{0};
  double told_share = 0.0;  // of its memory that is taken, of all fronts, as it told at `share_at`
  double held_then = 0.0;   // `held` at that time
  Time share_at = -1h;
  double told = 0.0;  // tokens that all fronts have waiting there, as it reported at `told_at`
  Time told_at = -1h, asked_at = -1h;  // at first: long ago
  bool asked = false;                  // a probe is out
  std::optional<Time> heard;           // its last sign of life
  double cold_credit = 0.0;            // sends that it may get while cold, as of then
  Time cold_at{0};

  [[nodiscard]] bool reads() const { return role == Role::reader; }
  [[nodiscard]] bool live() const { return entry.state == EngineState::live; }
};

// Place of a server for a key, the highest first: rendezvous hash, each server by its size.
inline double rank(Key key, const Engine& e) {
  return std::log(unit(mix(key, e.entry.engine))) / std::max(0.01, e.entry.rating);
}

}  // namespace eiderarch
