// An explicit-state model of ownership: the real Ownership and a store in memory, in every interleaving of
// calls, lost and late and doubled ones, stops, wakes, expiries and acts that take their time, up to a depth.
#pragma once

#include <xxhash.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "memory_store.hpp"
#include "ownership/ownership.hpp"

namespace bankmux::test {

struct ModelSettings {
  int members = 3;
  std::vector<ownership::Duty> duties{"a", "b"};
  int depth = 8;
  std::size_t most_states = 2'000'000;
  int faults = 1;  // calls or answers lost, late or doubled, along one path
  int stops = 1;   // processes stopped, along one path
  // Deliberate defects, one for each promise.
  bool fencing = true;
  int margin = 2;
  bool from_answer = false;
};

struct ModelReport {
  std::size_t states = 0;
  int depth = 0;                         // reached in full
  std::optional<std::string> violation;  // and the steps that led to it
};

class OwnershipModel {
 public:
  explicit OwnershipModel(ModelSettings settings) : s_(std::move(settings)) {}

  ModelReport run() {
    ModelReport report;
    std::deque<State> queue{prepared()};
    std::unordered_set<std::uint64_t> seen;
    while (!queue.empty()) {
      const State state = std::move(queue.front());
      queue.pop_front();
      report.depth = int(state.path.size());
      if (auto fault = check(state)) {
        report.violation = *fault;
        for (const std::string& step : state.path) *report.violation += "\n  " + step;
        break;
      }
      if (int(state.path.size()) >= s_.depth || seen.size() >= s_.most_states) continue;
      for (State& next : steps(state)) {
        const std::string text = next.fingerprint();
        if (seen.insert(XXH3_64bits(text.data(), text.size())).second) queue.push_back(std::move(next));
      }
    }
    report.states = seen.size();
    return report;
  }

 private:
  using Time = ownership::Time;
  static constexpr Time kUnit{1};
  static constexpr int kLease = 6;  // units
  static constexpr int kLongestAct = 2;

  struct InFlight {
    ownership::Call call;
    std::optional<ownership::Answer> answer;  // once the store has been
  };
  struct Act {
    std::string duty;
    coordination::Revision token = 0;
    Time begun{0};
    bool in_time = false;  // its maker has not been stopped since: it takes no longer than the longest act
  };
  struct Member {
    ownership::Ownership self;
    std::optional<ownership::Ownership> before;  // where time is counted from the answer
    std::optional<InFlight> out;
    std::optional<Act> act;
    bool stopped = false;
  };
  struct State {
    Time now{0};
    Table store;
    std::vector<Member> members;
    std::map<std::string, coordination::Revision> landed;  // the newest token that acted, by duty
    std::optional<std::string> fault;
    int faults = 0, stops = 0;
    std::vector<std::string> path;

    [[nodiscard]] std::string fingerprint() const {
      std::string text = store.fingerprint(now);
      for (const Member& m : members) {
        text += '|' + m.self.fingerprint(now) + (m.stopped ? 'S' : 'R');
        if (m.out) text += m.out->answer ? 'a' : 'c';
        if (m.act) {
          text +=
              m.act->duty + std::to_string(m.act->token) + '/' + std::to_string((now - m.act->begun).count());
          text += m.act->in_time ? 't' : 'l';
        }
      }
      for (const auto& [duty, token] : landed) text += duty + std::to_string(token);
      return text + std::to_string(faults) + std::to_string(stops) + (fault ? *fault : "");
    }
  };

  static ownership::Answer ask(Table& store, Time now, const ownership::Call& call) {
    using Kind = ownership::Call::Kind;
    ownership::Answer answer;
    const auto of_lease = [&answer](const coordination::LeaseResult& r) {
      answer.fault = r.fault;
      answer.lease = r.lease;
      answer.revision = r.revision;
    };
    switch (call.kind) {
      case Kind::grant:
        of_lease(store.grant(now, Time(kLease)));
        break;
      case Kind::keep_alive:
        of_lease(store.keep_alive(now, call.lease));
        break;
      case Kind::revoke:
        of_lease(store.revoke(now, call.lease));
        break;
      default: {
        const coordination::Result r = store.transact(now, call.transaction);
        answer = {r.fault, r.applied, 0, r.revision, r.entries};
      }
    }
    return answer;
  }

  // All have joined, and each duty has its owner.
  [[nodiscard]] State prepared() const {
    State state;
    for (int i = 0; i < s_.members; ++i) {
      ownership::Settings settings;
      settings.self = "m" + std::to_string(i);
      settings.incarnation = std::uint64_t(i + 1);
      settings.duties = s_.duties;
      settings.time_to_live = Time(kLease);
      settings.margin = Time(s_.margin);
      settings.drift = 0.0;
      settings.dwell = Time(1);
      settings.first_wait = settings.most_wait = Time(1);
      state.members.push_back({ownership::Ownership(settings), {}, {}, {}, false});
    }
    for (int round = 0; round < 14; ++round) {
      for (Member& m : state.members) {
        m.self.changed();
        while (const auto call = m.self.next(state.now, 0.0)) {
          m.self.answered(state.now, call->number, ask(state.store, state.now, *call));
        }
      }
      if (round % 7 == 6) state.now += kUnit;
    }
    return state;
  }

  // Two that may act at the same moment, or an act that lands after a newer one.
  std::optional<std::string> check(const State& state) const {
    if (state.fault) return state.fault;
    for (const ownership::Duty& duty : s_.duties) {
      std::string owners;
      for (const Member& m : state.members) {
        const auto grant = m.stopped ? std::nullopt : m.self.grant(duty, state.now);
        if (grant) owners += (owners.empty() ? "" : " and ") + std::to_string(grant->token());
      }
      if (owners.find(" and ") != std::string::npos)
        return "two may act for " + duty + ", by tokens " + owners;
    }
    return std::nullopt;
  }

  std::vector<State> steps(const State& from) const {
    std::vector<State> all;
    const auto add = [&all, &from](State state, std::string step) {
      state.path = from.path;
      state.path.push_back(std::to_string(state.now.count()) + ": " + step);
      all.push_back(std::move(state));
    };
    for (std::size_t i = 0; i < from.members.size(); ++i) member_steps(from, i, add);
    State later = from;
    later.now += kUnit;
    later.store.expire(later.now);
    // An act whose maker was not stopped takes no longer than the longest act.
    for (Member& m : later.members) {
      if (m.act && m.act->in_time && later.now - m.act->begun >= Time(kLongestAct)) land(later, m);
    }
    add(std::move(later), "time passes");
    return all;
  }

  template <typename Add>
  void member_steps(const State& from, std::size_t i, Add& add) const {
    const Member& was = from.members[i];
    const std::string name = "m" + std::to_string(i);
    // A late answer arrives, or a call of which nobody hears any more.
    if (was.out) {
      State state = from;
      Member& m = state.members[i];
      if (!m.out->answer) {
        m.out->answer = ask(state.store, state.now, m.out->call);
        add(std::move(state), name + "'s late call reaches the store");
      } else if (!m.stopped) {
        hear(m, state.now, m.out->call, *m.out->answer);
        m.out.reset();
        add(std::move(state), name + " hears a late answer");
      }
    }
    // With word of a change, by which all is read again, or without.
    if (!was.stopped && !was.out) {
      for (const bool told : {false, true}) call_steps(from, i, told, add);
    }
    if (was.act) {
      State state = from;
      land(state, state.members[i]);
      add(std::move(state), name + "'s act for " + was.act->duty + " lands");
    } else if (!was.stopped) {
      for (const ownership::Duty& duty : s_.duties) {
        const auto grant = was.self.grant(duty, from.now);
        if (!grant) continue;
        State state = from;
        state.members[i].act = Act{duty, grant->token(), from.now, true};
        add(std::move(state), name + " begins to act for " + duty);
      }
    }
    if (was.stopped || from.stops < s_.stops) {
      State state = from;
      Member& m = state.members[i];
      m.stopped = !m.stopped;
      if (m.stopped) ++state.stops;
      if (m.act) m.act->in_time = false;
      add(std::move(state), name + (m.stopped ? " is stopped" : " wakes up"));
    }
  }

  template <typename Add>
  void call_steps(const State& from, std::size_t i, bool told, Add& add) const {
    State asked = from;
    Member& m = asked.members[i];
    const ownership::Ownership before = m.self;
    if (told) m.self.changed();
    const auto call = m.self.next(asked.now, 0.0);
    if (!call) return;
    if (s_.from_answer) m.before = before;
    const std::string what = "m" + std::to_string(i) + " calls (" + std::to_string(int(call->kind)) + ")";
    State heard = asked;
    hear(heard.members[i], heard.now, *call, ask(heard.store, heard.now, *call));
    add(std::move(heard), what);
    if (from.faults >= s_.faults) return;
    ++asked.faults;
    State lost = asked, late = asked, doubled = asked;
    (void)ask(lost.store, lost.now, *call);
    add(std::move(lost), what + ", done, and the answer is lost");
    late.members[i].out = InFlight{*call, std::nullopt};
    add(std::move(late), what + ", which is on its way for long");
    const auto answer = ask(doubled.store, doubled.now, *call);
    doubled.members[i].out = InFlight{*call, std::nullopt};  // the second of it
    hear(doubled.members[i], doubled.now, *call, answer);
    add(std::move(doubled), what + ", and once more later");
  }

  void hear(Member& m, Time now, const ownership::Call& call, const ownership::Answer& answer) const {
    if (m.before) {
      // The defect: as if the call had been sent when its answer came.
      m.self = *m.before;
      m.before.reset();
      if (const auto again = m.self.next(now, 0.0)) m.self.answered(now, again->number, answer);
      return;
    }
    m.self.answered(now, call.number, answer);
  }

  // At the store, by the token; without fencing, at a box that knows no token.
  void land(State& state, Member& m) const {
    const Act act = *m.act;
    m.act.reset();
    bool takes_effect = true;
    if (s_.fencing && !act.in_time) {
      // What its maker was stopped in may come at any time: only the token holds it.
      coordination::Transaction write{{{"duty/" + act.duty, act.token}}, {}, {}};
      takes_effect = state.store.transact(state.now, write).applied;
    }
    if (!takes_effect) return;
    coordination::Revision& newest = state.landed[act.duty];
    // Whoever holds a newer grant may rely on it from the moment that the store gave it.
    for (const Member& other : state.members) {
      const auto grant = other.stopped ? std::nullopt : other.self.grant(act.duty, state.now);
      if (grant && grant->token() > act.token) newest = std::max(newest, grant->token());
    }
    if (act.token < newest) {
      state.fault = "an act by token " + std::to_string(act.token) + " lands after one may act by " +
                    std::to_string(newest);
    }
    newest = std::max(newest, act.token);
  }

  ModelSettings s_;
};

}  // namespace bankmux::test
