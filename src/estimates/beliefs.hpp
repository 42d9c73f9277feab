// What one front believes of the servers: the list, and estimates of pace, queues, failures and what is found
// kept, learned from its own events. It chooses nothing; the decisions read it and add to it.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "estimates/engine.hpp"

namespace eiderarch {

constexpr double kBaseWork = 400.0;  // tokens; the fixed part of a step, so that tiny requests measure fairly
constexpr double kFirstDelay = 0.05;    // seconds that a stage takes, before anything was heard
constexpr double kFirstPace = 1.25e-4;  // seconds a token before anything was heard; soon corrected
constexpr double kFarMove = 3e-5;       // seconds a token over a cell's shared link, until measured
constexpr double kNearMove = 4e-6;      // seconds a token moved inside a cell, until measured
constexpr double kFirstDoubt = 0.05;    // failing share taken before anything was heard
constexpr double kSick = 0.2;  // failing share of a class over a role from which proven servers count more
constexpr double kFoundFirst = 0.6;  // part of a prompt kept at its home reader, until answers tell
constexpr double kCutCost = 5.0;     // seconds; what such a path is taken to cost
constexpr Duration kAskWait = 30ms;  // how long a request waits for reports; a round trip takes a few ms
constexpr double kFirstJam = 2e4;    // tokens; a second of a reader's work
constexpr double kToldFade = 1.0;    // seconds in which a report goes over to the role's usual

struct Beliefs {
  explicit Beliefs(const Settings& s) : settings(s) {}

  // The moment of all that follows.
  void at(Time moment) {
    now = moment;
    usual = {};
  }
  // Takes the list over; a server's new start drops what was learned of the old one.
  void take(const ListChanged& e);
  Engine* find(EngineId id) {
    const auto it = engines.find(id);
    return it == engines.end() ? nullptr : &it->second;
  }

  [[nodiscard]] double delay(bool reading) const;
  [[nodiscard]] double queue(const Engine& e) const;
  [[nodiscard]] double queue_told(const Engine& e) const;
  [[nodiscard]] double found_share(std::uint32_t cls, int place) const;
  // Takes the share of its memory that a server tells in an answer; other fields are passed over.
  void hear(Engine& e, const LoadReport& report) const;
  // Share of its memory that is taken, as told and by own sends since; 0 where its size is not known.
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
  static constexpr double kRateWindow = 5.0;  // seconds over which own sends are counted

  const Settings& settings;
  Time now{0};
  bool listed = false;                 // the list has been told since the start
  Record reached;                      // connections, at all servers
  std::array<double, 2> usual_told{};  // tokens waiting at a writer and a reader, as reports told
  double jam = kFirstJam;              // the same where the answer was slow to come
  std::map<EngineId, Engine> engines;
  std::map<std::pair<bool, std::uint32_t>, Record> roles;  // by reader or not, and class
  std::map<std::uint32_t, Record> zones;
  std::map<std::uint32_t, Sizes> cells;
  Sizes all, most;                                        // of what the list has live, now and at most so far
  std::map<std::pair<std::uint32_t, int>, double> found;  // by class and place
  std::map<std::pair<std::uint32_t, std::uint32_t>, Time> cuts;  // by cells: reader's, writer's
  std::map<std::uint32_t, Pace> links;  // the cells' shared links, by first tokens of states that crossed
  mutable std::array<std::optional<double>, 2> usual;                   // see usual_pace
  std::array<Trend, 2> delays{Trend{kFirstDelay}, Trend{kFirstDelay}};  // seconds to a first token, of a read
  std::array<Trend, 2> paces{Trend{kFirstPace}, Trend{kFirstPace}};     // of writers and of readers
  std::deque<std::pair<Time, double>> arrivals;                         // of late, with their priority
};

}  // namespace eiderarch
