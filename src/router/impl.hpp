// Decisions of one front. Each file in this folder implements one concern, named above its functions.
// Estimates of the instances' state are in src/estimates; docs/design.md describes the design.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "estimates/beliefs.hpp"
#include "estimates/quota.hpp"
#include "router/request.hpp"

namespace eiderarch {

class Router::Impl {
 public:
  explicit Impl(const Settings& settings) : s_(settings), known_(s_) {}
  std::vector<Action> handle(Time now, const std::vector<Event>& events);
  [[nodiscard]] std::vector<EngineId> set_aside(Time now) const;

 private:
  // ---- arrival.cpp ----
  void on(const RequestArrived& e);
  bool within_share(std::uint32_t tenant);
  void dispatch_waiting();
  [[nodiscard]] bool possible(const Request& r) const;
  bool dispatch(Request& r);

  // ---- writer.cpp ----
  Engine* choose_writer(const Request& r, const Engine* holder);
  static bool better(double score, const Engine& e, double best, const Engine& b, const Request& r);
  [[nodiscard]] bool near_room(const Engine& e) const;
  [[nodiscard]] bool memory_room(const Engine& e, const Request& r) const;

  // ---- reader.cpp ----
  void find_home(const Request& r);
  Engine* choose_reader(const Request& r, const Engine& writer);
  [[nodiscard]] double away(const Engine& e) const;
  bool ask(const Request& r, const Engine& writer);
  bool listen(Engine& e);
  [[nodiscard]] bool blind(const Engine& e) const;
  void probe(Engine& e);
  double read_cost(const Engine& e, const Engine& writer, const Request& r, bool idle = false) const;
  [[nodiscard]] double move_cost(const Engine& from, const Engine& to, Tokens tokens) const;
  [[nodiscard]] int place_of(EngineId reader) const;

  // ---- admission.cpp ----
  [[nodiscard]] bool admitted(const Request& r, const Engine& e, double cost) const;
  bool give_up(Request& r);
  void took(const Request& r, bool reading, std::optional<Duration> time);

  // ---- health.cpp ----
  void on(const ListChanged& e);
  [[nodiscard]] bool usable(const Engine& e, const Request& r) const;
  std::vector<Engine*> candidates(const Request& r, bool readers);
  void note(Engine& e, const Request& r, bool well, bool reached = true);
  void reach(Engine& e, bool reached);
  bool unproven(Engine& e);
  [[nodiscard]] double cold_part(const Engine& e) const;
  [[nodiscard]] double cold_credit(const Engine& e) const;
  [[nodiscard]] bool welcome(const Engine& e, const Request& r) const;
  void on(const ProbeEnded& e);

  // ---- attempts.cpp ----
  [[nodiscard]] bool affordable(const Engine& e, const Request& r) const;
  [[nodiscard]] static bool untried(const Engine& e, const Request& r);
  [[nodiscard]] bool repeat_allowed(const Engine& e, const Request& r) const;
  [[nodiscard]] static std::optional<Time> repeat_by(const Request& r);
  bool send(Request& r, Engine& e, bool to_reader);
  void on(const StreamStarted& e);
  Attempt* find(RequestId id, int number);
  void on(const AttemptEnded& e);
  [[nodiscard]] static double work_read(const Request& r, const Attempt& a, Tokens found);
  void settle(Engine& e, Request& r, const Attempt& a, const AttemptEnded& end, bool streamed);
  static void recount(Engine& e, const Request& r, const Attempt& a, Tokens found);
  void follow_up(Request& r, Attempt& a, const AttemptEnded& e);
  void on(const RequestGone& e);

  // ---- patience.cpp ----
  void on(const TimerFired& e);
  void lose_patience(Request& r);

  // ---- held.cpp ----
  void plan(Request& r, bool on);
  void on(const PlaceAnswer& e);
  void on(const HeldReleased& e);
  void hand_over(Request& r);
  void wait_again(Request& r);
  void let_go(Request& r);
  void close(Request& r);

  const Settings s_;
  Beliefs known_;
  Time now_{0};
  bool started_ = false;
  bool armed_ = false;
  std::optional<Time> resubscribe_;
  double retries_ = kRetryLeast;
  double fill_ = 0.95;
  Quotas quotas_;
  std::map<RequestId, Request> requests_;
  std::vector<RequestId> waiting_;
  EngineId home_ = 0;                  // home prefill instance of the request being dispatched
  std::vector<EngineId> homes_;        // home prefill instances of its prefix
  std::optional<std::uint32_t> near_;  // cell in which its decode instance is preferred
  std::vector<Action> actions_;
};

}  // namespace eiderarch
