// Checks the five rules against the events that one router received and the actions that it returned.
// Independent of any server.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eiderarch/router.hpp"

namespace eiderarch::test {

class RuleChecker {
 public:
  // How long after its deadline an answer may still come, for an attempt time-out limited to the deadline
  // (microseconds).
  static constexpr Duration kAnswerGrace{8000};
  // How late the front's timer for a waiting request may fire (microseconds).
  static constexpr Duration kIdleGrace{50000};

  explicit RuleChecker(Settings settings) : s_(std::move(settings)) {}

  void record_events(Time now, const std::vector<Event>& events) {
    now_ = now;
    for (const Event& event : events) std::visit([this](const auto& e) { apply_event(e); }, event);
  }
  void record_actions(Time now, const std::vector<Action>& actions) {
    now_ = now;
    for (const Action& action : actions) std::visit([this](const auto& a) { check_action(a); }, action);
    for (auto& [id, r] : requests_) check_held(id, r);
  }
  // To be called when there is no current attempt any more and all deadlines have passed.
  void finish(Time now) {
    now_ = now;
    for (auto& [id, r] : requests_) {
      if (!r.over) fault(id, "got no final answer");
      check_held(id, r);
    }
  }
  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct AttemptState {
    EngineId engine = 0;
    Time sent{0};
    bool prefill = false;
    bool active = true;
    bool proven_not_executed = false;
    bool streaming = false;
  };
  struct RequestState {
    RequestArrived ask;
    std::vector<AttemptState> attempts;
    bool over = false;
    bool answered = false;  // by an action of the router
    Time over_since{-1};    // when an event reported its end; a Send at that same time is no violation
    std::optional<Time> held_since;  // something is held and there is no current attempt
    bool holds = false;
    Time aim{0};
    bool idle_fault_reported = false;
  };
  struct ListEntry {
    EngineEntry entry;
    std::optional<Time> unavailable_since;
  };

  void fault(RequestId id, const std::string& what) {
    faults_.push_back("request " + std::to_string(id) + " at " + std::to_string(now_.count()) + ": " + what);
  }
  [[nodiscard]] const RequestClass& cls(const RequestState& r) const {
    return s_.classes.at(r.ask.request_class);
  }

  void check_held(RequestId id, RequestState& r) {
    const bool any_active =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const AttemptState& t) { return t.active; });
    // A request without an attempt after its target time is kept from its client without waiting for a
    // server.
    if (!any_active && !r.over && !r.idle_fault_reported && now_ > r.aim + kIdleGrace) {
      fault(id, "kept past its target time without an attempt");
      r.idle_fault_reported = true;
    }
    if (!r.holds || any_active) {
      r.held_since.reset();
    } else if (!r.held_since) {
      r.held_since = now_;
    } else if (now_ - *r.held_since > s_.rules.release_within) {
      fault(id, "left something held beyond the release time");
      r.holds = false;
    }
  }

  void mark_over(RequestState& r) const {
    if (!r.over) r.over_since = now_;
    r.over = true;
  }

  void apply_event(const ListChanged& e) {
    if (e.scope == ListScope::failed) return;
    if (e.scope != ListScope::changes) {
      for (auto& [id, listed] : list_) {
        const bool is_listed =
            std::any_of(e.entries.begin(), e.entries.end(),
                        [id = id](const EngineEntry& entry) { return entry.engine == id; });
        if (!is_listed && !listed.unavailable_since) listed.unavailable_since = now_;
      }
    }
    for (const EngineEntry& entry : e.entries) {
      ListEntry& listed = list_[entry.engine];
      listed.entry = entry;
      if (entry.state == EngineState::live) {
        listed.unavailable_since.reset();
      } else if (!listed.unavailable_since) {
        listed.unavailable_since = now_;
      }
    }
  }
  void apply_event(const RequestArrived& e) {
    RequestState& r = requests_[e.id];
    r.ask = e;
    r.aim = now_;
    if (e.request_class < s_.classes.size())
      r.aim += cls(r).aim + cls(r).aim_per_kilotoken * (e.prompt_tokens / 1000 + 1);
  }
  void apply_event(const StreamStarted& e) {
    RequestState& r = requests_.at(e.id);
    r.attempts.at(std::size_t(e.attempt)).streaming = true;
    r.holds = false;
  }
  void apply_event(const AttemptEnded& e) {
    RequestState& r = requests_.at(e.id);
    AttemptState& t = r.attempts.at(std::size_t(e.attempt));
    t.active = false;
    t.proven_not_executed = e.outcome == Outcome::busy || e.outcome == Outcome::not_connected ||
                            e.outcome == Outcome::skipped || t.prefill;
    if (e.outcome == Outcome::state_held) r.holds = true;
    if (e.request_over) mark_over(r);
  }
  void apply_event(const HeldReleased& e) {
    if (const auto it = requests_.find(e.id); it != requests_.end()) it->second.holds = false;
  }
  void apply_event(const PlaceAnswer& e) {
    if (e.held) requests_.at(e.id).holds = true;
  }
  void apply_event(const RequestGone& e) { mark_over(requests_.at(e.id)); }
  void apply_event(const TimerFired&) {}
  void apply_event(const ProbeEnded&) {}

  void check_engine(RequestId id, EngineId engine) {
    const auto it = list_.find(engine);
    if (it == list_.end()) return fault(id, "sent to an instance that no list named");
    const auto& since = it->second.unavailable_since;
    if (since && now_ - *since > s_.rules.drain_grace)
      fault(id, "sent to an instance that is draining or gone, after the grace");
  }

  void check_action(const Send& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "sent an unknown request");
    RequestState& r = it->second;
    if (r.over && r.over_since != now_) fault(a.id, "sent after its end");
    if (int(r.attempts.size()) >= s_.limits.max_attempts) fault(a.id, "more attempts than allowed");
    check_engine(a.id, a.engine);
    const EngineEntry& to = list_[a.engine].entry;
    const bool prefill = s_.kinds.at(to.kind).role == Role::reader;
    for (const AttemptState& t : r.attempts) {
      const bool second_copy_allowed = s_.limits.second_copies && (prefill || cls(r).effect == Effect::safe);
      if (t.active && !second_copy_allowed) fault(a.id, "two attempts at once");
      const bool may_have_run = !t.prefill && !t.proven_not_executed;
      if (!may_have_run || cls(r).effect == Effect::safe) continue;
      if (cls(r).effect == Effect::unsafe) fault(a.id, "sent again although it may have run");
      const EngineEntry& first = list_[t.engine].entry;
      const bool same = cls(r).group == RepeatGroup::all ||
                        (cls(r).group == RepeatGroup::zone ? first.zone == to.zone : first.cell == to.cell);
      if (!same || now_ - t.sent > cls(r).repeat_window) fault(a.id, "repeat outside its group or window");
    }
    r.attempts.push_back({a.engine, now_, prefill, true, false, false});
  }
  void check_action(const Cancel& a) {
    if (!s_.limits.cancel) fault(a.id, "cancelled although cancelling is not allowed");
    const auto it = requests_.find(a.id);
    if (it == requests_.end() || a.attempt < 0 || std::size_t(a.attempt) >= it->second.attempts.size()) {
      fault(a.id, "cancelled an attempt that was never made");
    }
  }
  void check_action(const Refuse& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "refused an unknown request");
    RequestState& r = it->second;
    const Duration most = s_.limits.retry_advice ? s_.limits.max_retry_advice : Duration{0};
    if (a.stay_away > most) fault(a.id, "advised a longer retry delay than the limit allows");
    for (const AttemptState& t : r.attempts) {
      if (t.prefill || t.proven_not_executed || cls(r).effect == Effect::safe) continue;
      if (cls(r).effect == Effect::keyed && cls(r).group == RepeatGroup::all) continue;
      fault(a.id, "refused although it may have run");
    }
    answer(a.id, r);
  }
  void check_action(const Fail& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "failed an unknown request");
    answer(a.id, it->second);
  }
  void answer(RequestId id, RequestState& r) {
    if (r.answered || (r.over && r.over_since != now_)) fault(id, "a second final answer");
    if (now_ > r.ask.deadline + kAnswerGrace) fault(id, "a final answer after the deadline");
    r.over = r.answered = true;
  }
  void check_action(const Move& a) {
    if (!s_.resume) return fault(a.id, "moved although moving is not allowed");
    RequestState& r = requests_.at(a.id);
    const bool streaming =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const AttemptState& t) { return t.streaming; });
    if (!streaming || r.over) fault(a.id, "moved a stream that is not running");
    r.over = true;
  }
  void check_action(const ClaimWriter& a) {
    if (!s_.claim_ahead) fault(a.id, "requested a reservation although that is not allowed");
    check_engine(a.id, a.engine);
  }
  void check_action(const Release& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "released an unknown request");
    const bool any_active = std::any_of(it->second.attempts.begin(), it->second.attempts.end(),
                                        [](const AttemptState& t) { return t.active; });
    if (!any_active) it->second.holds = false;
  }
  void check_action(const Probe& a) {
    if (!s_.limits.probes) fault(0, "probed although probes are not allowed");
    if (!list_.contains(a.engine)) fault(0, "probed an instance that no list named");
  }
  void check_action(const SetTimer& a) {
    if (a.at < now_) fault(0, "set a timer in the past");
  }
  void check_action(const Subscribe&) {
    if (s_.list_mode != ListMode::on_request) fault(0, "subscribed although lists are pushed");
  }
  void check_action(const FetchList&) {}
  void check_action(const Log&) {}

  Settings s_;
  Time now_{0};
  std::map<RequestId, RequestState> requests_;
  std::map<EngineId, ListEntry> list_;
  std::vector<std::string> faults_;
};

}  // namespace eiderarch::test
