// Checks the five rules over what one router was told and what it did. Knows nothing of servers.
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
  // How long after its deadline an answer may still come, for a time-out trimmed to the deadline.
  static constexpr Duration kAnswerGrace{8000};
  // How late the front may look at what waits: its own timer.
  static constexpr Duration kIdleGrace{50000};

  explicit RuleChecker(Settings settings) : s_(std::move(settings)) {}

  void saw(Time now, const std::vector<Event>& events) {
    now_ = now;
    for (const Event& event : events) std::visit([this](const auto& e) { see(e); }, event);
  }
  void did(Time now, const std::vector<Action>& actions) {
    now_ = now;
    for (const Action& action : actions) std::visit([this](const auto& a) { act(a); }, action);
    for (auto& [id, r] : requests_) check_held(id, r);
  }
  // To be called when nothing is out any more and all deadlines have passed.
  void finish(Time now) {
    now_ = now;
    for (auto& [id, r] : requests_) {
      if (!r.over) fault(id, "never got a final answer");
      check_held(id, r);
    }
  }
  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Try {
    EngineId engine = 0;
    Time sent{0};
    bool reader = false;
    bool out = true;
    bool proven_unrun = false;
    bool streaming = false;
  };
  struct Known {
    RequestArrived ask;
    std::vector<Try> tries;
    bool over = false;
    bool answered = false;             // by the router itself
    Time told_over{-1};                // when events told of its end; a send in that same moment is no fault
    std::optional<Time> pinned_since;  // something is held and no attempt is out
    bool holds = false;
    Time aim{0};
    bool idle_fault = false;
  };
  struct Listed {
    EngineEntry entry;
    std::optional<Time> bad_since;
  };

  void fault(RequestId id, const std::string& what) {
    faults_.push_back("request " + std::to_string(id) + " at " + std::to_string(now_.count()) + ": " + what);
  }
  [[nodiscard]] const RequestClass& cls(const Known& r) const { return s_.classes.at(r.ask.request_class); }

  void check_held(RequestId id, Known& r) {
    const bool out = std::any_of(r.tries.begin(), r.tries.end(), [](const Try& t) { return t.out; });
    // What waits past its aim with nothing out is being kept from its client, not for a server.
    if (!out && !r.over && !r.idle_fault && now_ > r.aim + kIdleGrace) {
      fault(id, "held with nothing out, past its aim");
      r.idle_fault = true;
    }
    if (!r.holds || out) {
      r.pinned_since.reset();
    } else if (!r.pinned_since) {
      r.pinned_since = now_;
    } else if (now_ - *r.pinned_since > s_.rules.release_within) {
      fault(id, "left something pinned");
      r.holds = false;
    }
  }

  void ended(Known& r) const {
    if (!r.over) r.told_over = now_;
    r.over = true;
  }

  void see(const ListChanged& e) {
    if (e.scope == ListScope::failed) return;
    if (e.scope != ListScope::changes) {
      for (auto& [id, listed] : list_) {
        const bool named = std::any_of(e.entries.begin(), e.entries.end(),
                                       [id = id](const EngineEntry& entry) { return entry.engine == id; });
        if (!named && !listed.bad_since) listed.bad_since = now_;
      }
    }
    for (const EngineEntry& entry : e.entries) {
      Listed& listed = list_[entry.engine];
      listed.entry = entry;
      if (entry.state == EngineState::live) {
        listed.bad_since.reset();
      } else if (!listed.bad_since) {
        listed.bad_since = now_;
      }
    }
  }
  void see(const RequestArrived& e) {
    Known& r = requests_[e.id];
    r.ask = e;
    r.aim = now_;
    if (e.request_class < s_.classes.size())
      r.aim += cls(r).aim + cls(r).aim_per_kilotoken * (e.prompt_tokens / 1000 + 1);
  }
  void see(const StreamStarted& e) {
    Known& r = requests_.at(e.id);
    r.tries.at(std::size_t(e.attempt)).streaming = true;
    r.holds = false;
  }
  void see(const AttemptEnded& e) {
    Known& r = requests_.at(e.id);
    Try& t = r.tries.at(std::size_t(e.attempt));
    t.out = false;
    t.proven_unrun = e.outcome == Outcome::busy || e.outcome == Outcome::not_connected ||
                     e.outcome == Outcome::skipped || t.reader;
    if (e.outcome == Outcome::state_held) r.holds = true;
    if (e.request_over) ended(r);
  }
  void see(const HeldReleased& e) {
    if (const auto it = requests_.find(e.id); it != requests_.end()) it->second.holds = false;
  }
  void see(const PlaceAnswer& e) {
    if (e.held) requests_.at(e.id).holds = true;
  }
  void see(const RequestGone& e) { ended(requests_.at(e.id)); }
  void see(const TimerFired&) {}
  void see(const ProbeEnded&) {}

  void check_engine(RequestId id, EngineId engine) {
    const auto it = list_.find(engine);
    if (it == list_.end()) return fault(id, "sent to a server that no list named");
    const auto& since = it->second.bad_since;
    if (since && now_ - *since > s_.rules.drain_grace) fault(id, "sent to a server that drains or is gone");
  }

  void act(const Send& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "sent an unknown request");
    Known& r = it->second;
    if (r.over && r.told_over != now_) fault(a.id, "sent after its end");
    if (int(r.tries.size()) >= s_.limits.max_attempts) fault(a.id, "more attempts than allowed");
    check_engine(a.id, a.engine);
    const EngineEntry& to = list_[a.engine].entry;
    const bool reader = s_.kinds.at(to.kind).role == Role::reader;
    for (const Try& t : r.tries) {
      const bool copies = s_.limits.second_copies && (reader || cls(r).effect == Effect::safe);
      if (t.out && !copies) fault(a.id, "two attempts at once");
      const bool may_have_run = !t.reader && !t.proven_unrun;
      if (!may_have_run || cls(r).effect == Effect::safe) continue;
      if (cls(r).effect == Effect::unsafe) fault(a.id, "sent again though it may have run");
      const EngineEntry& first = list_[t.engine].entry;
      const bool same = cls(r).group == RepeatGroup::all ||
                        (cls(r).group == RepeatGroup::zone ? first.zone == to.zone : first.cell == to.cell);
      if (!same || now_ - t.sent > cls(r).repeat_window) fault(a.id, "repeat outside its group or window");
    }
    r.tries.push_back({a.engine, now_, reader, true, false, false});
  }
  void act(const Cancel& a) {
    if (!s_.limits.cancel) fault(a.id, "cancel where it is not allowed");
    const auto it = requests_.find(a.id);
    if (it == requests_.end() || a.attempt < 0 || std::size_t(a.attempt) >= it->second.tries.size()) {
      fault(a.id, "cancel of an attempt never made");
    }
  }
  void act(const Refuse& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "refused an unknown request");
    Known& r = it->second;
    const Duration most = s_.limits.retry_advice ? s_.limits.max_retry_advice : Duration{0};
    if (a.stay_away > most) fault(a.id, "advised to stay away for longer than clients may be told");
    for (const Try& t : r.tries) {
      if (t.reader || t.proven_unrun || cls(r).effect == Effect::safe) continue;
      if (cls(r).effect == Effect::keyed && cls(r).group == RepeatGroup::all) continue;
      fault(a.id, "refused though it may have run");
    }
    answer(a.id, r);
  }
  void act(const Fail& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "failed an unknown request");
    answer(a.id, it->second);
  }
  void answer(RequestId id, Known& r) {
    if (r.answered || (r.over && r.told_over != now_)) fault(id, "a second final answer");
    if (now_ > r.ask.deadline + kAnswerGrace) fault(id, "a final answer after the deadline");
    r.over = r.answered = true;
  }
  void act(const Move& a) {
    if (!s_.resume) return fault(a.id, "moved where that is not allowed");
    Known& r = requests_.at(a.id);
    const bool runs = std::any_of(r.tries.begin(), r.tries.end(), [](const Try& t) { return t.streaming; });
    if (!runs || r.over) fault(a.id, "moved a stream that does not run");
    r.over = true;
  }
  void act(const ClaimWriter& a) {
    if (!s_.claim_ahead) fault(a.id, "claimed where that is not allowed");
    check_engine(a.id, a.engine);
  }
  void act(const Release& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end()) return fault(a.id, "released an unknown request");
    const bool out =
        std::any_of(it->second.tries.begin(), it->second.tries.end(), [](const Try& t) { return t.out; });
    if (!out) it->second.holds = false;
  }
  void act(const Probe& a) {
    if (!s_.limits.probes) fault(0, "probe where that is not allowed");
    if (!list_.contains(a.engine)) fault(0, "probe of a server that no list named");
  }
  void act(const SetTimer& a) {
    if (a.at < now_) fault(0, "timer in the past");
  }
  void act(const Subscribe&) {
    if (s_.list_mode != ListMode::on_request) fault(0, "subscribed where lists are pushed");
  }
  void act(const FetchList&) {}
  void act(const Log&) {}

  Settings s_;
  Time now_{0};
  std::map<RequestId, Known> requests_;
  std::map<EngineId, Listed> list_;
  std::vector<std::string> faults_;
};

}  // namespace eiderarch::test
