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
  explicit Impl(const Settings& settings) : settings_(settings), estimates_(settings_) {}
  std::vector<Action> handle(Time now, const std::vector<Event>& events);
  [[nodiscard]] std::vector<EngineId> set_aside(Time now) const;

 private:
  // ---- arrival.cpp ----
  void on(const RequestArrived& e);
  bool within_share(std::uint32_t tenant);
  void dispatch_waiting();
  [[nodiscard]] bool can_be_served(const Request& r) const;
  bool dispatch(Request& r);

  // ---- writer.cpp ----
  Instance* choose_decode_instance(const Request& r, const Instance* cache_holder);
  static bool ranks_before(double score, const Instance& e, double best, const Instance& b, const Request& r);
  [[nodiscard]] bool has_local_capacity(const Instance& e) const;
  [[nodiscard]] bool has_memory_for(const Instance& e, const Request& r) const;

  // ---- reader.cpp ----
  void choose_home_instances(const Request& r);
  Instance* choose_prefill_instance(const Request& r, const Instance& decode_instance);
  [[nodiscard]] double zone_penalty(const Instance& e) const;
  bool await_queue_reports(const Request& r, const Instance& decode_instance);
  bool await_report(Instance& e);
  [[nodiscard]] bool lacks_samples(const Instance& e) const;
  void probe(Instance& e);
  double prefill_cost(const Instance& e, const Instance& decode_instance, const Request& r,
                      bool without_queue = false) const;
  [[nodiscard]] double transfer_cost(const Instance& from, const Instance& to, Tokens tokens) const;
  [[nodiscard]] int home_rank_of(EngineId prefill_instance) const;

  // ---- admission.cpp ----
  [[nodiscard]] bool admitted(const Request& r, const Instance& e, double cost) const;
  bool answer_unserved(Request& r);
  void record_stage_time(const Request& r, bool prefill, std::optional<Duration> time);

  // ---- health.cpp ----
  void on(const ListChanged& e);
  [[nodiscard]] bool usable(const Instance& e, const Request& r) const;
  std::vector<Instance*> candidates(const Request& r, bool prefill);
  void record_outcome(Instance& e, const Request& r, bool success, bool reached = true);
  void record_reachability(Instance& e, bool reached);
  bool awaits_liveness_probe(Instance& e);
  [[nodiscard]] double slow_start_share(const Instance& e) const;
  [[nodiscard]] double slow_start_credit(const Instance& e) const;
  [[nodiscard]] bool allowed_in_slow_start(const Instance& e, const Request& r) const;
  void on(const ProbeEnded& e);

  // ---- attempts.cpp ----
  [[nodiscard]] bool within_retry_budget(const Instance& e, const Request& r) const;
  [[nodiscard]] static bool untried(const Instance& e, const Request& r);
  [[nodiscard]] bool repeat_allowed(const Instance& e, const Request& r) const;
  [[nodiscard]] static std::optional<Time> repeat_deadline(const Request& r);
  bool send(Request& r, Instance& e, bool to_prefill);
  void on(const StreamStarted& e);
  Attempt* find_active_attempt(RequestId id, int number);
  void on(const AttemptEnded& e);
  [[nodiscard]] static double prefill_work(const Request& r, const Attempt& a, Tokens reported_cached);
  void record_end(Instance& e, Request& r, const Attempt& a, const AttemptEnded& end, bool streamed);
  static void correct_prefix_table(Instance& e, const Request& r, const Attempt& a, Tokens reported_cached);
  void follow_up(Request& r, Attempt& a, const AttemptEnded& e);
  void on(const RequestGone& e);

  // ---- patience.cpp ----
  void on(const TimerFired& e);
  void cancel_if_overdue(Request& r);

  // ---- held.cpp ----
  void count_planned(Request& r, bool on);
  void on(const PlaceAnswer& e);
  void on(const HeldReleased& e);
  void hand_over(Request& r);
  void requeue(Request& r);
  void release_held(Request& r);
  void finish(Request& r);

  const Settings settings_;
  Estimates estimates_;
  Time now_{0};
  bool started_ = false;
  bool sweep_armed_ = false;
  std::optional<Time> resubscribe_at_;
  double retry_budget_ = kMinRetryBudget;  // retries that may be sent now
  double memory_fill_ = 0.95;  // own tokens allowed at a decode instance over the even share of its memory
  Quotas quotas_;
  std::map<RequestId, Request> requests_;
  std::vector<RequestId> waiting_;
  EngineId home_instance_ = 0;                   // home prefill instance of the request being dispatched
  std::vector<EngineId> home_instances_;         // home prefill instances of its prefix
  std::optional<std::uint32_t> preferred_cell_;  // cell in which its decode instance is preferred
  std::vector<Action> actions_;
};

}  // namespace eiderarch
