// Random legal events from fixed seeds, with the rule checker watching. Equal events must give equal actions.
#include <gtest/gtest.h>

#include <cmath>

#include "drawn_settings.hpp"
#include "front.hpp"
#include "host.hpp"

namespace eiderarch::test {
namespace {

struct ActiveAttempt {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Time sent{0};
  bool streaming = false;
  bool cancelled = false;
};

// Draws events that the interface allows next, without modelling how instances behave.
class RandomEventSource {
 public:
  RandomEventSource(const Settings& settings, std::uint32_t seed)
      : s_(settings), router_(settings), checker_(settings), draw_(seed) {
    list_ = {entry(kPrefillA, 0, 0), entry(kPrefillB, 0, 1), entry(13, 0, 2),
             entry(kDecodeA, 1, 0),  entry(kDecodeB, 1, 1),  entry(23, 1, 2)};
    if (s_.kinds.size() > 2) list_.push_back(entry(kMixed, 2, 0));
    handle({ListChanged{ListScope::disk, list_}});
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ += Duration(1000 * pick(1, 4));
      std::vector<Event> events = due();
      if (chance(0.08)) events.push_back(request());
      if (chance(0.008)) events.push_back(list_change());
      handle(events);
    }
    while (!active_.empty() || now_ < last_deadline_ + 1s) {
      now_ += 4ms;
      handle(due());
    }
    checker_.finish(now_);
  }
  [[nodiscard]] const std::vector<std::string>& faults() const { return checker_.faults(); }
  [[nodiscard]] const std::vector<std::string>& trace() const { return trace_; }

 private:
  int pick(int low, int high) { return draw_.pick(low, high); }
  bool chance(double p) { return draw_.chance(p); }
  [[nodiscard]] LoadReport report(bool probed) {
    const bool reported =
        s_.report_mode == ReportMode::answers || (probed && s_.report_mode != ReportMode::none);
    return reported ? random_report(draw_) : LoadReport{};
  }

  void handle(const std::vector<Event>& events) {
    checker_.record_events(now_, events);
    const auto actions = router_.handle(now_, events);
    checker_.record_actions(now_, actions);
    for (const Action& action : actions) execute(action);
  }

  void execute(const Action& action) {
    trace_.push_back(std::to_string(action.index()));
    if (const auto* send = std::get_if<Send>(&action)) {
      trace_.back() += ":" + std::to_string(send->id) + ">" + std::to_string(send->engine);
      active_.push_back({send->id, attempts_sent_[send->id]++, send->engine, now_, false, false});
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      for (ActiveAttempt& out : active_) {
        if (out.id == cancel->id && out.attempt == cancel->attempt && !out.streaming) out.cancelled = true;
      }
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.push_back(*timer);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      finished_.insert(refuse->id);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      finished_.insert(fail->id);
    } else if (const auto* claim = std::get_if<ClaimWriter>(&action)) {
      if (chance(0.7))
        places_.push_back({claim->id, attempts_sent_[claim->id] - 1, claim->engine, chance(0.6)});
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
      probes_.push_back(probe->engine);
    } else if (std::get_if<Subscribe>(&action) != nullptr || std::get_if<FetchList>(&action) != nullptr) {
      list_calls_ += 1;
    }
  }

  std::vector<Event> due() {
    std::vector<Event> events;
    std::vector<SetTimer> later;
    for (const SetTimer& timer : timers_) {
      if (timer.at <= now_) {
        events.push_back(TimerFired{timer.tag});
      } else {
        later.push_back(timer);
      }
    }
    timers_ = later;
    for (; list_calls_ > 0; --list_calls_) {
      events.push_back(chance(0.2) ? ListChanged{ListScope::failed, {}} : complete());
    }
    std::erase_if(probes_, [&](EngineId engine) {
      if (!chance(0.1)) return false;
      constexpr Outcome kEnds[] = {Outcome::served,        Outcome::served, Outcome::served,
                                   Outcome::not_connected, Outcome::busy,   Outcome::timed_out};
      events.push_back(ProbeEnded{engine, kEnds[pick(0, 5)], draw_.time(1, 300), report(true)});
      return true;
    });
    std::vector<ActiveAttempt> still;
    for (ActiveAttempt& out : active_) {
      for (const PlaceAnswer& place : places_) {
        if (place.id == out.id && place.attempt == out.attempt) events.push_back(place);
      }
      std::erase_if(places_,
                    [&out](const PlaceAnswer& p) { return p.id == out.id && p.attempt == out.attempt; });
      if (!ends(out, events)) still.push_back(out);
    }
    active_ = still;
    for (const auto& [id, deadline] : deadlines_) {
      const bool waits = !finished_.contains(id) && now_ < deadline;
      if (waits && !streams_.contains(id) && chance(0.0003)) {
        finished_.insert(id);
        events.push_back(RequestGone{id});
      }
    }
    return events;
  }

  bool ends(ActiveAttempt& out, std::vector<Event>& events) {
    const bool prefill = out.engine < kDecodeA;
    const Time deadline = deadlines_.at(out.id);
    AttemptEnded e;
    e.id = out.id;
    e.attempt = out.attempt;
    e.engine = out.engine;
    e.elapsed = now_ - out.sent;
    if (out.cancelled) {
      e.outcome = Outcome::cancelled;
    } else if (out.streaming) {
      if (!chance(0.01)) return false;
      e.outcome = chance(0.9) ? Outcome::served : Outcome::reset;
      finished_.insert(out.id);
    } else if (now_ >= deadline) {
      e.outcome = Outcome::timed_out;
    } else if (chance(0.02)) {
      if (!chance(0.3)) {
        if (prefill) {
          e.outcome = Outcome::state_held;
          e.detail = pick(0, 2000);
        } else if (!finished_.contains(out.id)) {
          out.streaming = true;
          streams_.insert(out.id);
          events.push_back(StreamStarted{out.id, out.attempt, out.engine, e.elapsed});
          return false;
        } else {
          e.outcome = Outcome::error;
        }
      } else {
        constexpr Outcome kBad[] = {Outcome::error, Outcome::busy, Outcome::not_connected, Outcome::reset};
        e.outcome = kBad[pick(0, 3)];
        e.detail = e.outcome == Outcome::busy && !prefill ? pick(0, 1) : 0;
      }
    } else {
      return false;
    }
    e.request_over = finished_.contains(out.id);
    e.report = report(false);
    events.push_back(e);
    return true;
  }

  Event request() {
    RequestArrived r;
    r.id = next_++;
    r.request_class = std::uint32_t(pick(0, int(s_.classes.size()) - 1));
    // May draw one tenant more than the settings name, which has no quota.
    if (!s_.tenants.empty()) r.tenant = std::uint32_t(pick(0, int(s_.tenants.size())));
    if (s_.resume) r.resumed = chance(0.1);
    r.client_retry = chance(0.1);
    r.session = Key(pick(1, 40));
    r.prefix = Key(pick(0, 5));
    r.prompt_tokens = pick(1, 6000);
    r.prefix_tokens = r.prefix == 0 ? 0 : std::min<Tokens>(r.prompt_tokens, 1500);
    r.max_output = 300;
    r.deadline = now_ + Duration(1000 * pick(300, 6000));
    last_deadline_ = std::max(last_deadline_, r.deadline);
    deadlines_[r.id] = r.deadline;
    return r;
  }

  Event list_change() {
    EngineEntry& e = list_[std::size_t(pick(0, int(list_.size()) - 1))];
    const int what = pick(0, 3);
    e.state = what == 0 ? EngineState::draining : what == 1 ? EngineState::gone : EngineState::live;
    if (what == 3) e.started = now_;
    if (chance(0.3)) return complete();
    return ListChanged{ListScope::changes, {e}};
  }

  [[nodiscard]] ListChanged complete() const {
    ListChanged all{ListScope::complete, {}};
    for (const EngineEntry& entry : list_) {
      if (entry.state != EngineState::gone) all.entries.push_back(entry);
    }
    return all;
  }

  Settings s_;
  Router router_;
  RuleChecker checker_;
  RandomSource draw_;
  Time now_{3s};
  Time last_deadline_{0};
  RequestId next_ = 1;
  std::vector<EngineEntry> list_;
  std::vector<ActiveAttempt> active_;
  std::vector<SetTimer> timers_;
  std::vector<PlaceAnswer> places_;
  std::vector<EngineId> probes_;
  int list_calls_ = 0;
  std::map<RequestId, int> attempts_sent_;
  std::map<RequestId, Time> deadlines_;
  std::set<RequestId> finished_;
  std::set<RequestId> streams_;
  std::vector<std::string> trace_;
};

class RandomEvents : public testing::TestWithParam<int> {};

TEST_P(RandomEvents, KeepTheRules) {
  Settings s = plain_settings();
  s.claim_ahead = GetParam() % 2 == 1;
  s.limits.cancel = GetParam() % 3 != 0;
  s.limits.second_copies = GetParam() % 5 == 0;
  s.resume = GetParam() % 4 == 0;
  RandomEventSource source(s, std::uint32_t(GetParam()));
  source.run(8000);
  for (const std::string& fault : source.faults()) ADD_FAILURE() << fault;
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, testing::Range(1, 13));

// Two known configurations may keep the rules by luck, so each seed draws a configuration of its own.
class DrawnSettings : public testing::TestWithParam<int> {};

TEST_P(DrawnSettings, KeepTheRules) {
  for (int configuration = 0; configuration < 8; ++configuration) {
    const auto seed = std::uint32_t(GetParam() * 100 + configuration);
    RandomEventSource source(random_settings(seed), seed);
    source.run(2000);
    for (const std::string& fault : source.faults())
      ADD_FAILURE() << "configuration " << seed << ": " << fault;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DrawnSettings, testing::Range(1, 13));

TEST(Determinism, EqualEventsGiveEqualActionsWithOrWithoutOtherRouters) {
  RandomEventSource alone(plain_settings(), 5);
  alone.run(4000);
  RandomEventSource other(plain_settings(), 6);
  RandomEventSource again(plain_settings(), 5);
  other.run(2000);
  again.run(4000);
  EXPECT_EQ(alone.trace(), again.trace());
  EXPECT_NE(alone.trace(), other.trace());
}

TEST(RuleChecker, ReportsBrokenRules) {
  RuleChecker checker(plain_settings());
  RequestArrived r;
  r.id = 1;
  r.request_class = 2;
  r.deadline = 5s;
  auto list = plain_list();
  list[3].state = EngineState::draining;
  checker.record_events(1s, {ListChanged{ListScope::disk, list}, r});
  checker.record_actions(1s, {Send{1, kDecodeA, 0s}});
  checker.record_events(2s, {AttemptEnded{1, 0, kDecodeA, Outcome::error, 1s, false, 0, {}}});
  checker.record_actions(2s, {Send{1, kDecodeB, 0s}});
  EXPECT_EQ(checker.faults().size(), 2U);  // an unsafe repeat, to a draining instance
  checker.record_actions(2s, {Refuse{1, 0s}, Fail{1}});
  EXPECT_GE(checker.faults().size(), 4U);
}

TEST(RuleChecker, ReportsWhatOtherSettingsForbid) {
  Settings s = plain_settings();
  s.limits.second_copies = true;  // only of requests that may be repeated
  s.limits.retry_advice = true;
  s.limits.max_retry_advice = 1s;
  RuleChecker checker(s);
  RequestArrived safe, unsafe;
  safe.id = 1;
  unsafe.id = 2;
  unsafe.request_class = 2;
  safe.deadline = unsafe.deadline = 5s;
  checker.record_events(1s, {ListChanged{ListScope::disk, plain_list()}, safe, unsafe});
  checker.record_actions(1s, {Send{1, kDecodeA, 0s}, Send{1, kDecodeB, 0s}, Send{2, kDecodeA, 0s}});
  EXPECT_TRUE(checker.faults().empty());
  // A second copy, and a repeat of a request that may have run.
  checker.record_actions(1s, {Send{2, kDecodeB, 0s}});
  EXPECT_EQ(checker.faults().size(), 2U);
  checker.record_events(2s, {AttemptEnded{1, 0, kDecodeA, Outcome::busy, 1s, false, 0, {}}});
  checker.record_actions(2s, {Refuse{1, 1500ms}});
  EXPECT_EQ(checker.faults().size(), 3U);  // advice above the longest allowed
  checker.record_actions(2s, {Move{2}});
  EXPECT_EQ(checker.faults().size(), 4U);  // moves are not allowed by these settings
}

}  // namespace
}  // namespace eiderarch::test
