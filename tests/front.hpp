// A router under test with a simulated clock and the rule checker attached.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "eiderarch/router.hpp"
#include "rule_checker.hpp"

namespace eiderarch::test {

using namespace std::chrono_literals;

constexpr EngineId kPrefillA = 11;
constexpr EngineId kPrefillB = 12;
constexpr EngineId kDecodeA = 21;
constexpr EngineId kDecodeB = 22;
constexpr EngineId kMixed = 31;

// Two prefill instances, two decode instances and one of both roles, in two cells. Classes: safe, keyed
// (group cell), unsafe.
inline Settings plain_settings() {
  Settings s;
  s.seed = 7;
  s.fronts = 2;
  s.classes.resize(3);
  for (RequestClass& c : s.classes) {
    c.aim = 2s;
    c.aim_per_kilotoken = 50ms;
    c.token_aim = 50ms;
    c.deadline = 8s;
    c.repeat_window = 3s;
  }
  s.classes[0].effect = Effect::safe;
  s.classes[1].effect = Effect::keyed;
  s.classes[1].group = RepeatGroup::cell;
  s.classes[2].effect = Effect::unsafe;
  s.kinds = {{Role::reader, 100000}, {Role::writer, 100000}, {Role::both, 100000}};
  s.limits.cancel = true;
  s.limits.max_attempts = 4;
  s.rules.drain_grace = 0s;
  s.rules.cold_time = 10s;
  s.rules.cold_from = 0.3;
  s.rules.overload_factor = 3.0;
  s.rules.fall_time = 1s;
  s.rules.release_within = 300ms;
  s.rules.ask_within = 10s;
  s.writers_read = true;
  return s;
}

inline EngineEntry entry(EngineId id, std::uint32_t kind, std::uint32_t cell) {
  EngineEntry e;
  e.engine = id;
  e.kind = kind;
  e.cell = cell;
  e.zone = cell;
  return e;
}

inline std::vector<EngineEntry> plain_list() {
  return {entry(kPrefillA, 0, 0), entry(kPrefillB, 0, 1), entry(kDecodeA, 1, 0), entry(kDecodeB, 1, 1)};
}

class RouterHarness {
 public:
  explicit RouterHarness(const Settings& settings = plain_settings(),
                         std::vector<EngineEntry> list = plain_list())
      : router_(settings), checker_(settings) {
    handle({ListChanged{ListScope::disk, std::move(list)}});
  }
  ~RouterHarness() {
    for (const std::string& fault : checker_.faults()) ADD_FAILURE() << fault;
  }
  RouterHarness(RouterHarness&&) = delete;
  RouterHarness& operator=(const RouterHarness&) = delete;

  std::vector<Action> handle(const std::vector<Event>& events) {
    checker_.record_events(now, events);
    last = router_.handle(now, events);
    checker_.record_actions(now, last);
    for (const Action& action : last) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.insert({timer->at, timer->tag});
      log.push_back(action);
    }
    return last;
  }

  // Advances the clock and fires the timers that come due.
  void run(Duration length) {
    const Time end = now + length;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto due = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, due.first);
      handle({TimerFired{due.second}});
    }
    now = end;
  }

  std::vector<Action> arrive(RequestId id, std::uint32_t cls = 0, Tokens prompt = 3000, Key session = 0,
                             Key prefix = 0, Tokens prefix_tokens = 0) {
    RequestArrived r;
    r.id = id;
    r.request_class = cls;
    r.prompt_tokens = prompt;
    r.session = session == 0 ? id + 1000 : session;
    r.prefix = prefix;
    r.prefix_tokens = prefix_tokens;
    r.max_output = 200;
    r.deadline = now + 6s;
    return handle({r});
  }

  std::vector<Action> end(RequestId id, int attempt, EngineId engine, Outcome outcome, Tokens detail = 0,
                          bool over = false) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.engine = engine;
    e.outcome = outcome;
    e.elapsed = 50ms;
    e.detail = detail;
    e.request_over = over;
    return handle({e});
  }
  std::vector<Action> stream(RequestId id, int attempt, EngineId engine) {
    return handle({StreamStarted{id, attempt, engine, 50ms}});
  }

  // Runs a request without faults from arrival to end; returns the decode instance.
  EngineId serve(RequestId id, std::uint32_t cls = 0, Tokens prompt = 3000, Key session = 0,
                 Tokens kept = 0) {
    arrive(id, cls, prompt, session);
    int attempt = 0;
    std::optional<EngineId> to = sent();
    if (to && (*to == kPrefillA || *to == kPrefillB)) {
      end(id, attempt++, *to, Outcome::state_held, kept);
      to = sent();
    }
    if (!to) return 0;
    stream(id, attempt, *to);
    end(id, attempt, *to, Outcome::served, kept, true);
    return *to;
  }

  // The instance of the first Send among the last actions.
  [[nodiscard]] std::optional<EngineId> sent() const {
    for (const Action& action : last) {
      if (const auto* send = std::get_if<Send>(&action)) return send->engine;
    }
    return std::nullopt;
  }
  template <typename A>
  [[nodiscard]] int count() const {
    return int(std::count_if(last.begin(), last.end(),
                             [](const Action& a) { return std::holds_alternative<A>(a); }));
  }
  template <typename A>
  [[nodiscard]] int logged() const {
    return int(
        std::count_if(log.begin(), log.end(), [](const Action& a) { return std::holds_alternative<A>(a); }));
  }

  Time now{5s};
  std::vector<Action> last;
  std::vector<Action> log;

 private:
  Router router_;
  RuleChecker checker_;
  std::set<std::pair<Time, std::uint64_t>> timers_;
};

inline bool is_prefill_instance(std::optional<EngineId> id) { return id == kPrefillA || id == kPrefillB; }
inline bool is_decode_instance(std::optional<EngineId> id) { return id == kDecodeA || id == kDecodeB; }

}  // namespace eiderarch::test
