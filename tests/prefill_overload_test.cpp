// Many fronts around a simple model of prefill instances, which process first come first served, complete
// cancelled jobs, and find cached prefixes again. It models only what an overload of prefill instances needs;
// the bench models more.
#include <gtest/gtest.h>

#include <deque>
#include <list>
#include <map>
#include <random>

#include "front.hpp"

namespace eiderarch::test {
namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kClientTimeout = 6s;
constexpr Tokens kPromptTokens = 4000;

class FleetModel {
 public:
  FleetModel(std::uint32_t fronts, std::uint32_t prefill_instances, double per_second)
      : rng_(3), rate_(per_second) {
    Settings s = plain_settings();
    s.fronts = fronts;
    s.classes[0].aim = 1200ms;
    s.limits.retry_advice = true;
    s.limits.max_retry_advice = 500ms;
    s.writers_read = false;
    std::vector<EngineEntry> list;
    for (EngineId id = 1; id <= prefill_instances; ++id) list.push_back(entry(id, 0, std::uint32_t(id % 4)));
    for (EngineId id = 101; id <= 100 + prefill_instances; ++id)
      list.push_back(entry(id, 1, std::uint32_t(id % 4)));
    prefill_instances_.resize(prefill_instances + 1);
    for (std::uint32_t i = 0; i < fronts; ++i) {
      s.seed = i + 1;
      fronts_.push_back({Router(s), RuleChecker(s), {ListChanged{ListScope::disk, list}}, {}});
    }
  }
  ~FleetModel() {
    for (const FrontState& f : fronts_) {
      for (const std::string& fault : f.checker.faults()) ADD_FAILURE() << fault;
    }
  }
  FleetModel(const FleetModel&) = delete;
  FleetModel& operator=(const FleetModel&) = delete;

  // Advances time with the prefill instances at `speed` times their usual speed. Returns the share of the
  // requests arriving in that time that were answered within their target time.
  double run(Duration length, double speed) {
    const int arrived_before = arrived_, on_time_before = on_time_;
    for (const Time end = now_ + length; now_ < end; now_ += kStep) step(speed);
    return double(on_time_ - on_time_before) / double(std::max(1, arrived_ - arrived_before));
  }
  [[nodiscard]] const std::set<Duration>& advice() const { return advice_; }
  // From now on one session in ten has prompts of this length.
  void set_long_prompts(Tokens prompt) { long_prompt_ = prompt; }
  // Requests of one session, without retries, and how many of them were answered, in time or late.
  struct SessionCounts {
    int asked = 0, answered = 0;
  };
  [[nodiscard]] const std::map<Key, SessionCounts>& sessions() const { return sessions_; }
  static bool is_long(Key session) { return session % 10 == 0; }

 private:
  struct FrontState {
    Router router;
    RuleChecker checker;
    std::vector<Event> events;
    std::set<std::pair<Time, std::uint64_t>> timers;
  };
  struct Job {
    std::size_t front = 0;
    RequestId id = 0;
    int attempt = 0;
    Time sent{0};
    double left = 0.0;
    Tokens cached_tokens = 0;
  };
  struct PrefillInstance {
    std::deque<Job> jobs;
    std::list<Key> cached;  // most recently used first
  };
  struct RequestState {
    RequestArrived arrival;
    std::size_t front = 0;
    Time first{0};  // when its client sent it for the first time
    int attempts = 0;
    std::set<int> active;
    bool over = false;
    bool is_retry = false;
  };

  void send_request(Key session, Time first, bool is_retry) {
    RequestState k;
    k.arrival.id = next_++;
    k.arrival.session = session;
    k.arrival.prefix = 1000 + session % 12;
    k.arrival.prompt_tokens = is_long(session) ? long_prompt_ : kPromptTokens;
    k.arrival.prefix_tokens = 2000;
    k.arrival.max_output = 200;
    k.arrival.deadline = now_ + kClientTimeout;
    k.front = rng_() % fronts_.size();
    k.first = first;
    k.is_retry = is_retry;
    fronts_[k.front].events.push_back(k.arrival);
    requests_[k.arrival.id] = k;
  }

  void end(RequestState& k, int attempt, EngineId engine, Time sent, Outcome outcome, Tokens detail) {
    if (k.active.erase(attempt) == 0) return;
    fronts_[k.front].events.push_back(
        AttemptEnded{k.arrival.id, attempt, engine, outcome, now_ - sent, k.over, detail, {}});
  }

  void step(double speed) {
    for (arrivals_due_ += rate_ * double(kStep.count()) / 1e6; arrivals_due_ >= 1.0; arrivals_due_ -= 1.0) {
      ++arrived_;
      const Key session = 1 + rng_() % 240;
      ++sessions_[session].asked;
      send_request(session, now_, false);
    }
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      const auto [session, first] = retries_.begin()->second;
      retries_.erase(retries_.begin());
      send_request(session, first, true);
    }
    for (EngineId id = 1; id < prefill_instances_.size(); ++id)
      process_queue(id, 30000.0 * speed * double(kStep.count()) / 1e6);
    while (!streams_.empty() && streams_.begin()->first <= now_) {
      const auto [id, engine] = streams_.begin()->second;
      streams_.erase(streams_.begin());
      const auto it = requests_.find(id);
      if (it == requests_.end() || it->second.over) continue;
      RequestState& k = it->second;
      k.over = true;
      on_time_ += now_ - k.first <= 1200ms;
      ++sessions_[k.arrival.session].answered;
      fronts_[k.front].events.push_back(StreamStarted{id, k.attempts - 1, engine, 50ms});
      end(k, k.attempts - 1, engine, now_ - 50ms, Outcome::served, 0);
    }
    for (auto& [id, k] : requests_) {
      if (k.over || now_ < k.arrival.deadline) continue;
      k.over = true;
      fronts_[k.front].events.push_back(RequestGone{id});
    }
    for (std::size_t i = 0; i < fronts_.size(); ++i) run_front(i);
    std::erase_if(requests_, [](const auto& p) { return p.second.over && p.second.active.empty(); });
  }

  // Processes the first job of the queue; new tokens take time, cached tokens none.
  void process_queue(EngineId id, double tokens) {
    PrefillInstance& prefill_instance = prefill_instances_[id];
    while (!prefill_instance.jobs.empty() && tokens > 0.0) {
      Job& job = prefill_instance.jobs.front();
      const double processed = std::min(tokens, job.left);
      job.left -= processed;
      tokens -= processed;
      if (job.left > 0.0) return;
      const auto it = requests_.find(job.id);
      if (it != requests_.end())
        end(it->second, job.attempt, id, job.sent, Outcome::state_held, job.cached_tokens);
      prefill_instance.jobs.pop_front();
    }
  }

  void run_front(std::size_t index) {
    FrontState& f = fronts_[index];
    std::vector<Event> events = std::exchange(f.events, {});
    while (!f.timers.empty() && f.timers.begin()->first <= now_) {
      events.push_back(TimerFired{f.timers.begin()->second});
      f.timers.erase(f.timers.begin());
    }
    if (events.empty()) return;
    f.checker.record_events(now_, events);
    const std::vector<Action> actions = f.router.handle(now_, events);
    f.checker.record_actions(now_, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) f.timers.insert({timer->at, timer->tag});
      if (const auto* send = std::get_if<Send>(&action)) on_send(*send);
      if (const auto* refuse = std::get_if<Refuse>(&action)) on_refuse(*refuse);
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        const auto it = requests_.find(cancel->id);
        if (it != requests_.end()) end(it->second, cancel->attempt, 0, now_, Outcome::cancelled, 0);
      }
    }
  }

  void on_send(const Send& send) {
    RequestState& k = requests_.at(send.id);
    const int attempt = k.attempts++;
    k.active.insert(attempt);
    if (send.engine > 100) {
      streams_.insert({now_ + 50ms, {send.id, send.engine}});
      return;
    }
    PrefillInstance& prefill_instance = prefill_instances_[send.engine];
    if (prefill_instance.jobs.size() >= 30) return end(k, attempt, send.engine, now_, Outcome::busy, 0);
    Job job{k.front, send.id, attempt, now_, double(k.arrival.prompt_tokens), 0};
    for (const Key key : {k.arrival.session, k.arrival.prefix}) {
      const auto it = std::find(prefill_instance.cached.begin(), prefill_instance.cached.end(), key);
      if (it == prefill_instance.cached.end()) continue;
      job.cached_tokens = std::max<Tokens>(job.cached_tokens,
                                           key == k.arrival.session ? k.arrival.prompt_tokens - 400 : 2000);
      prefill_instance.cached.erase(it);
    }
    job.left -= double(job.cached_tokens);
    prefill_instance.cached.push_front(k.arrival.prefix);
    prefill_instance.cached.push_front(k.arrival.session);
    while (prefill_instance.cached.size() > 40) prefill_instance.cached.pop_back();
    prefill_instance.jobs.push_back(job);
  }

  void on_refuse(const Refuse& refuse) {
    RequestState& k = requests_.at(refuse.id);
    k.over = true;
    advice_.insert(refuse.stay_away);
    if (!k.is_retry)
      retries_.insert({now_ + std::max<Duration>(100ms, refuse.stay_away), {k.arrival.session, k.first}});
  }

  std::mt19937 rng_;
  double rate_;
  double arrivals_due_ = 0.0;
  Time now_{5s};
  RequestId next_ = 1;
  int arrived_ = 0, on_time_ = 0;
  std::vector<FrontState> fronts_;
  std::vector<PrefillInstance> prefill_instances_;
  std::map<RequestId, RequestState> requests_;
  std::multimap<Time, std::pair<RequestId, EngineId>> streams_;
  std::multimap<Time, std::pair<Key, Time>> retries_;
  std::set<Duration> advice_;
  Tokens long_prompt_ = kPromptTokens;
  std::map<Key, SessionCounts> sessions_;
};

class PrefillOverload : public testing::TestWithParam<int> {};

// The prefill instances can process some 250 requests a second where their prefixes are cached, and 60
// anywhere else; 120 a second arrive. For eight seconds the instances run at a tenth of their speed.
TEST_P(PrefillOverload, EndsWhenSpeedReturns) {
  FleetModel fleet(std::uint32_t(GetParam()), 8, 120.0);
  fleet.run(6s, 1.0);
  EXPECT_GE(fleet.run(5s, 1.0), 0.9);
  fleet.run(8s, 0.1);
  fleet.run(5s, 1.0);
  EXPECT_GE(fleet.run(8s, 1.0), 0.9);
  // Refused clients are advised when to retry: within the allowed limit, and not all at the same time.
  ASSERT_GT(fleet.advice().size(), 10U);
  EXPECT_GT(*fleet.advice().begin(), 0ms);
  EXPECT_LE(*fleet.advice().rbegin(), 500ms);
}

INSTANTIATE_TEST_SUITE_P(Fronts, PrefillOverload, testing::Values(2, 150));

class ModerateLoad : public testing::TestWithParam<int> {};

// Requests arrive at a third of the prefill instances' capacity. Prompts of four times the usual length are
// answered as well as others, and no session is refused throughout.
TEST_P(ModerateLoad, ServesLongPromptsAndEverySession) {
  FleetModel fleet(std::uint32_t(GetParam()), 8, 40.0);
  fleet.set_long_prompts(4 * kPromptTokens);
  fleet.run(60s, 1.0);
  FleetModel::SessionCounts all, long_ones;
  for (const auto& [session, share] : fleet.sessions()) {
    EXPECT_TRUE(share.answered > 0 || share.asked < 3) << "session " << session << ", asked " << share.asked;
    for (FleetModel::SessionCounts* part : {&all, FleetModel::is_long(session) ? &long_ones : nullptr}) {
      if (part == nullptr) continue;
      part->asked += share.asked;
      part->answered += share.answered;
    }
  }
  ASSERT_GT(long_ones.asked, 100);
  const double usual = double(all.answered) / all.asked;
  EXPECT_GE(usual, 0.9);
  EXPECT_GE(double(long_ones.answered) / long_ones.asked, usual * 2.0 / 3.0);
}

INSTANTIATE_TEST_SUITE_P(Fronts, ModerateLoad, testing::Values(2, 150));

}  // namespace
}  // namespace eiderarch::test
