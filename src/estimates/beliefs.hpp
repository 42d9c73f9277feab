// One front's estimates of the instances: the list, pace, queues, failures and cached prompt shares, learned
// from its own events. They choose nothing; the decisions in src/router read and update them.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "estimates/engine.hpp"

namespace eiderarch {

// Tokens; the fixed cost of a step, so that the pace measured on tiny requests is comparable.
constexpr double kBaseWork = 400.0;
constexpr double kFirstDelay = 0.05;    // seconds that a stage takes, before the first sample
constexpr double kFirstPace = 1.25e-4;  // seconds per token before the first sample; soon corrected
constexpr double kFarMove = 3e-5;       // seconds per token over a cell's shared link, until measured
constexpr double kNearMove = 4e-6;      // seconds per token within a cell, until measured
constexpr double kFirstDoubt = 0.05;    // failure share assumed before the first outcome
// Failure share of a class over a role from which instances that are known to work are preferred.
constexpr double kSick = 0.2;
// Share of a prompt cached at its home instance, until reports arrive.
constexpr double kFoundFirst = 0.6;
constexpr double kCutCost = 5.0;  // seconds; assumed transfer time over a path that failed
// How long a request waits for load reports; a round trip takes a few ms.
constexpr Duration kAskWait = 30ms;
constexpr double kFirstJam = 2e4;  // tokens; about one second of a prefill instance's work
// Seconds in which the weight of a report fades in favour of the role's typical queue.
constexpr double kToldFade = 1.0;

struct Beliefs {
  explicit Beliefs(const Settings& s) : settings(s) {}

  // Sets the time for all following calls.
  void at(Time moment) {
    now = moment;
    usual = {};
  }
  // Applies an instance list; a new start time drops what was learned about the old process.
  void take(const ListChanged& e);
  Engine* find(EngineId id) {
    const auto it = engines.find(id);
    return it == engines.end() ? nullptr : &it->second;
  }

  [[nodiscard]] double delay(bool reading) const;
  [[nodiscard]] double queue(const Engine& e) const;
  [[nodiscard]] double queue_told(const Engine& e) const;
  [[nodiscard]] double found_share(std::uint32_t cls, int place) const;
  // Stores the memory share from a load report; other fields are ignored.
  void hear(Engine& e, const LoadReport& report) const;
  // Share of an instance's memory in use, from its last report and own requests since; 0 if its size is
  // unknown.
  [[nodiscard]] double filled(const Engine& e) const;
  void learn_found(std::uint32_t cls, int place, Tokens prompt, Tokens told);
  [[nodiscard]] double move_time(const Engine& from, const Engine& to, Tokens tokens) const;
  [[nodiscard]] double usual_pace(bool readers) const;
  [[nodiscard]] double pace(const Engine& e) const;
  void sample(Engine& e, double value);
  [[nodiscard]] double role_doubt(bool reads, std::uint32_t cls) const;
  [[nodiscard]] double doubt(const Engine& e, std::uint32_t cls, double guess) const;
  [[nodiscard]] bool cold(const Engine& e) const;
  [[nodiscard]] double usual_rate(const Engine& e) const;

  struct Sizes {
    double readers = 0.0, writers = 0.0;
  };
  static constexpr double kRateWindow = 5.0;  // seconds over which own requests are counted

  const Settings& settings;
  Time now{0};
  bool listed = false;  // a list other than the one saved on disk has arrived
  Record reached;       // connection attempts to all instances
  // Tokens queued at a decode and at a prefill instance, by reports.
  std::array<double, 2> usual_told{};
  double jam = kFirstJam;  // the same where the probe's answer was late
  std::map<EngineId, Engine> engines;
  std::map<std::pair<bool, std::uint32_t>, Record> roles;  // by prefill or not, and class
  std::map<std::uint32_t, Record> zones;
  std::map<std::uint32_t, Sizes> cells;
  Sizes all, most;  // of the live instances, now and at the maximum so far
  std::map<std::pair<std::uint32_t, int>, double> found;  // by class and home rank
  // By cells of the prefill and the decode instance: end of the avoidance.
  std::map<std::pair<std::uint32_t, std::uint32_t>, Time> cuts;
  // Cells' shared links, from first tokens after transfers between cells.
  std::map<std::uint32_t, Pace> links;
  mutable std::array<std::optional<double>, 2> usual;  // cache of median_pace
  // Seconds to a first token, of a prefill.
  std::array<Trend, 2> delays{Trend{kFirstDelay}, Trend{kFirstDelay}};
  // Of decode and of prefill instances, seconds per token.
  std::array<Trend, 2> paces{Trend{kFirstPace}, Trend{kFirstPace}};
  std::deque<std::pair<Time, double>> arrivals;  // recent arrivals with their priority
};

}  // namespace eiderarch
