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
constexpr double kBaseWorkTokens = 400.0;
constexpr double kInitialDelaySeconds = 0.05;  // seconds that a stage takes, before the first sample
constexpr double kInitialPace = 1.25e-4;       // seconds per token before the first sample; soon corrected
constexpr double kInitialCellLinkPace = 3e-5;  // seconds per token over a cell's shared link, until measured
constexpr double kSameCellMovePace = 4e-6;     // seconds per token within a cell, until measured
constexpr double kInitialFailureShare = 0.05;  // failure share assumed before the first outcome
// Failure share of a class over a role from which instances that are known to work are preferred.
constexpr double kDegradedFailureShare = 0.2;
// Share of a prompt cached at its home instance, until reports arrive.
constexpr double kInitialCachedShare = 0.6;
constexpr double kFailedPathSeconds = 5.0;  // seconds; assumed transfer time over a path that failed
// How long a request waits for load reports; a round trip takes a few ms.
constexpr Duration kReportWait = 30ms;
constexpr double kInitialLateProbeQueue = 2e4;  // tokens; about one second of a prefill instance's work
// Seconds in which the weight of a report fades in favour of the role's typical queue.
constexpr double kReportFadeSeconds = 1.0;

struct Estimates {
  explicit Estimates(const Settings& s) : settings(s) {}

  // Sets the time for all following calls.
  void set_time(Time moment) {
    now = moment;
    median_paces = {};
  }
  // Applies an instance list; a new start time drops what was learned about the old process.
  void apply_list(const ListChanged& e);
  Instance* find(EngineId id) {
    const auto it = instances.find(id);
    return it == instances.end() ? nullptr : &it->second;
  }

  [[nodiscard]] double stage_delay(bool prefill) const;
  [[nodiscard]] double queued_tokens(const Instance& e) const;
  // Queued tokens without this front's own: from a recent report, else typical for the role.
  [[nodiscard]] double reported_queue(const Instance& e) const;
  [[nodiscard]] double cached_share(std::uint32_t cls, int home_rank) const;
  // Stores the memory share from a load report; other fields are ignored.
  void apply_report(Instance& e, const LoadReport& report) const;
  // Share of an instance's memory in use, from its last report and own requests since; 0 if its size is
  // unknown.
  [[nodiscard]] double memory_used(const Instance& e) const;
  void learn_cached_share(std::uint32_t cls, int home_rank, Tokens prompt, Tokens reported);
  [[nodiscard]] double transfer_time(const Instance& from, const Instance& to, Tokens tokens) const;
  [[nodiscard]] double median_pace(bool prefill) const;
  [[nodiscard]] double pace(const Instance& e) const;
  void sample(Instance& e, double value);
  [[nodiscard]] double role_failure_share(bool prefill, std::uint32_t cls) const;
  [[nodiscard]] double failure_share(const Instance& e, std::uint32_t cls, double prior) const;
  [[nodiscard]] bool in_slow_start(const Instance& e) const;
  [[nodiscard]] double expected_rate(const Instance& e) const;

  struct Capacity {
    double prefill = 0.0, decode = 0.0;
  };
  static constexpr double kRateWindowSeconds = 5.0;  // seconds over which own requests are counted

  const Settings& settings;
  Time now{0};
  bool list_received = false;  // a list other than the one saved on disk has arrived
  OutcomeRecord connections;   // connection attempts to all instances
  // Arrays over the two roles hold the value for decode instances at 0 and for prefill instances at 1.
  // Typical tokens queued at an instance, from reports.
  std::array<double, 2> typical_queue{};
  // Tokens assumed to be queued at an instance whose probe answers late, learned from late answers.
  double late_probe_queue = kInitialLateProbeQueue;
  std::map<EngineId, Instance> instances;
  std::map<std::pair<bool, std::uint32_t>, OutcomeRecord> role_outcomes;  // by prefill or not, and class
  std::map<std::uint32_t, OutcomeRecord> zone_outcomes;
  std::map<std::uint32_t, Capacity> cell_capacity;
  Capacity capacity, peak_capacity;  // of the live instances, now and at the maximum so far
  std::map<std::pair<std::uint32_t, int>, double> cached_shares;  // by class and home rank
  // By cells of the prefill and the decode instance: end of the avoidance.
  std::map<std::pair<std::uint32_t, std::uint32_t>, Time> failed_paths;
  // Cells' shared links, from first tokens after transfers between cells.
  std::map<std::uint32_t, Pace> cell_links;
  mutable std::array<std::optional<double>, 2> median_paces;  // cache of median_pace
  // Seconds until the first token at a decode instance, and until the end of a prefill.
  std::array<Trend, 2> stage_delays{Trend{kInitialDelaySeconds}, Trend{kInitialDelaySeconds}};
  // Seconds per token.
  std::array<Trend, 2> role_paces{Trend{kInitialPace}, Trend{kInitialPace}};
  std::deque<std::pair<Time, double>> arrivals;  // recent arrivals with their priority
};

}  // namespace eiderarch
