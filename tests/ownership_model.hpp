// Explicit-state model checker for Ownership: runs the production class against an in-memory store through
// every interleaving, up to a depth, of calls (also lost, late and repeated ones), suspended and resumed
// processes, lease expiries, and owner operations that take time to reach the store.
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
  std::size_t max_states = 2'000'000;
  int faults = 1;       // calls or answers that are lost, late or repeated, along one path
  int suspensions = 1;  // suspended processes, along one path
  // Deliberate defects: each one breaks a guarantee, and the model has to find the violation.
  bool fencing = true;
  int margin = 2;
  bool lease_from_answer = false;
};

struct ModelReport {
  std::size_t states = 0;
  int depth = 0;                         // fully explored
  std::optional<std::string> violation;  // with the steps that led to it
};

class OwnershipModel {
 public:
  explicit OwnershipModel(ModelSettings settings) : settings_(std::move(settings)) {}

  ModelReport run() {
    ModelReport report;
    std::deque<State> queue{initial_state()};
    std::unordered_set<std::uint64_t> seen;
    while (!queue.empty()) {
      const State state = std::move(queue.front());
      queue.pop_front();
      report.depth = int(state.path.size());
      if (auto violation = check(state)) {
        report.violation = *violation;
        for (const std::string& step : state.path) *report.violation += "\n  " + step;
        break;
      }
      if (int(state.path.size()) >= settings_.depth || seen.size() >= settings_.max_states) continue;
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
  static constexpr Time kTimeUnit{1};
  static constexpr int kLeaseUnits = 6;  // time to live of a lease, in time units
  static constexpr int kLongestOperation = 2;

  struct InFlight {
    ownership::Call call;
    std::optional<ownership::Answer> answer;  // set once the store has handled the call
  };
  struct Operation {
    std::string duty;
    coordination::Revision token = 0;
    Time begun{0};
    bool in_time = false;  // its member has not been suspended since: takes at most kLongestOperation
  };
  struct Member {
    ownership::Ownership self;
    std::optional<ownership::Ownership> before_call;  // with `lease_from_answer`: the state before the call
    std::optional<InFlight> pending;
    std::optional<Operation> operation;
    bool suspended = false;
  };
  struct State {
    Time now{0};
    MemoryStore store;
    std::vector<Member> members;
    std::map<std::string, coordination::Revision> applied_tokens;  // newest token that took effect, by duty
    std::optional<std::string> violation;
    int faults = 0, suspensions = 0;
    std::vector<std::string> path;

    [[nodiscard]] std::string fingerprint() const {
      std::string text = store.fingerprint(now);
      for (const Member& m : members) {
        text += '|' + m.self.fingerprint(now) + (m.suspended ? 'S' : 'R');
        if (m.pending) text += m.pending->answer ? 'a' : 'c';
        if (m.operation) {
          text += m.operation->duty + std::to_string(m.operation->token) + '/' +
                  std::to_string((now - m.operation->begun).count());
          text += m.operation->in_time ? 't' : 'l';
        }
      }
      for (const auto& [duty, token] : applied_tokens) text += duty + std::to_string(token);
      return text + std::to_string(faults) + std::to_string(suspensions) + (violation ? *violation : "");
    }
  };

  static ownership::Answer send_to_store(MemoryStore& store, Time now, const ownership::Call& call) {
    using Kind = ownership::Call::Kind;
    ownership::Answer answer;
    const auto on_lease_result = [&answer](const coordination::LeaseResult& r) {
      answer.failure = r.failure;
      answer.lease = r.lease;
      answer.revision = r.revision;
    };
    switch (call.kind) {
      case Kind::grant:
        on_lease_result(store.grant(now, Time(kLeaseUnits)));
        break;
      case Kind::keep_alive:
        on_lease_result(store.keep_alive(now, call.lease));
        break;
      case Kind::revoke:
        on_lease_result(store.revoke(now, call.lease));
        break;
      default: {
        const coordination::Result r = store.transact(now, call.transaction);
        answer = {r.failure, r.applied, 0, r.revision, r.entries};
      }
    }
    return answer;
  }

  // Initial state: all members have joined, and each duty has an owner.
  [[nodiscard]] State initial_state() const {
    State state;
    for (int i = 0; i < settings_.members; ++i) {
      ownership::Settings settings;
      settings.member_name = "m" + std::to_string(i);
      settings.incarnation = std::uint64_t(i + 1);
      settings.duties = settings_.duties;
      settings.time_to_live = Time(kLeaseUnits);
      settings.margin = Time(settings_.margin);
      settings.drift = 0.0;
      settings.min_ownership_time = Time(1);
      settings.initial_backoff = settings.max_backoff = Time(1);
      state.members.push_back({ownership::Ownership(settings), {}, {}, {}, false});
    }
    for (int round = 0; round < 14; ++round) {
      for (Member& m : state.members) {
        m.self.store_changed();
        while (const auto call = m.self.next_call(state.now, 0.0)) {
          m.self.handle_answer(state.now, call->number, send_to_store(state.store, state.now, *call));
        }
      }
      if (round % 7 == 6) state.now += kTimeUnit;
    }
    return state;
  }

  // Returns a violation: two members hold a grant at the same moment, or an operation took effect after one
  // with a newer token.
  std::optional<std::string> check(const State& state) const {
    if (state.violation) return state.violation;
    for (const ownership::Duty& duty : settings_.duties) {
      std::string owners;
      for (const Member& m : state.members) {
        const auto grant = m.suspended ? std::nullopt : m.self.grant(duty, state.now);
        if (grant) owners += (owners.empty() ? "" : " and ") + std::to_string(grant->token());
      }
      if (owners.find(" and ") != std::string::npos)
        return "two members hold grants for " + duty + ", with tokens " + owners;
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
    later.now += kTimeUnit;
    later.store.expire(later.now);
    // An operation of a member that was not suspended takes at most kLongestOperation.
    for (Member& m : later.members) {
      if (m.operation && m.operation->in_time && later.now - m.operation->begun >= Time(kLongestOperation))
        apply_operation(later, m);
    }
    add(std::move(later), "time passes");
    return all;
  }

  template <typename Add>
  void member_steps(const State& from, std::size_t i, Add& add) const {
    const Member& was = from.members[i];
    const std::string name = "m" + std::to_string(i);
    // A late answer arrives, or a late call reaches the store.
    if (was.pending) {
      State state = from;
      Member& m = state.members[i];
      if (!m.pending->answer) {
        m.pending->answer = send_to_store(state.store, state.now, m.pending->call);
        add(std::move(state), name + "'s late call reaches the store");
      } else if (!m.suspended) {
        receive_answer(m, state.now, m.pending->call, *m.pending->answer);
        m.pending.reset();
        add(std::move(state), name + " receives a late answer");
      }
    }
    // With and without a change notification, which makes the member read all entries again.
    if (!was.suspended && !was.pending) {
      for (const bool notified : {false, true}) call_steps(from, i, notified, add);
    }
    if (was.operation) {
      State state = from;
      apply_operation(state, state.members[i]);
      add(std::move(state), name + "'s operation for " + was.operation->duty + " takes effect");
    } else if (!was.suspended) {
      for (const ownership::Duty& duty : settings_.duties) {
        const auto grant = was.self.grant(duty, from.now);
        if (!grant) continue;
        State state = from;
        state.members[i].operation = Operation{duty, grant->token(), from.now, true};
        add(std::move(state), name + " begins an operation for " + duty);
      }
    }
    if (was.suspended || from.suspensions < settings_.suspensions) {
      State state = from;
      Member& m = state.members[i];
      m.suspended = !m.suspended;
      if (m.suspended) ++state.suspensions;
      if (m.operation) m.operation->in_time = false;
      add(std::move(state), name + (m.suspended ? " is suspended" : " resumes"));
    }
  }

  template <typename Add>
  void call_steps(const State& from, std::size_t i, bool notified, Add& add) const {
    State after_call = from;
    Member& m = after_call.members[i];
    const ownership::Ownership before = m.self;
    if (notified) m.self.store_changed();
    const auto call = m.self.next_call(after_call.now, 0.0);
    if (!call) return;
    if (settings_.lease_from_answer) m.before_call = before;
    const std::string step = "m" + std::to_string(i) + " calls (" + std::to_string(int(call->kind)) + ")";
    State answered = after_call;
    receive_answer(answered.members[i], answered.now, *call,
                   send_to_store(answered.store, answered.now, *call));
    add(std::move(answered), step);
    if (from.faults >= settings_.faults) return;
    ++after_call.faults;
    State lost = after_call, late = after_call, repeated = after_call;
    (void)send_to_store(lost.store, lost.now, *call);
    add(std::move(lost), step + ", applied, and the answer is lost");
    late.members[i].pending = InFlight{*call, std::nullopt};
    add(std::move(late), step + ", which is delayed");
    const auto answer = send_to_store(repeated.store, repeated.now, *call);
    repeated.members[i].pending = InFlight{*call, std::nullopt};  // the repeated call
    receive_answer(repeated.members[i], repeated.now, *call, answer);
    add(std::move(repeated), step + ", and again later");
  }

  void receive_answer(Member& m, Time now, const ownership::Call& call,
                      const ownership::Answer& answer) const {
    if (m.before_call) {
      // The defect: behaves as if the call had been sent when its answer arrived.
      m.self = *m.before_call;
      m.before_call.reset();
      if (const auto again = m.self.next_call(now, 0.0)) m.self.handle_answer(now, again->number, answer);
      return;
    }
    m.self.handle_answer(now, call.number, answer);
  }

  // Lets an operation take effect. With fencing the store checks its token; without it nothing does.
  void apply_operation(State& state, Member& m) const {
    const Operation operation = *m.operation;
    m.operation.reset();
    bool takes_effect = true;
    if (settings_.fencing && !operation.in_time) {
      // An operation that was interrupted by a suspension may arrive at any time; only its token can stop it.
      coordination::Transaction write{{{"duty/" + operation.duty, operation.token}}, {}, {}};
      takes_effect = state.store.transact(state.now, write).applied;
    }
    if (!takes_effect) return;
    coordination::Revision& newest = state.applied_tokens[operation.duty];
    // A member with a newer grant may rely on it from the moment that the store issued it.
    for (const Member& other : state.members) {
      const auto grant = other.suspended ? std::nullopt : other.self.grant(operation.duty, state.now);
      if (grant && grant->token() > operation.token) newest = std::max(newest, grant->token());
    }
    if (operation.token < newest) {
      state.violation = "an operation with token " + std::to_string(operation.token) +
                        " takes effect after a grant with token " + std::to_string(newest);
    }
    newest = std::max(newest, operation.token);
  }

  ModelSettings settings_;
};

}  // namespace bankmux::test
