// Many fronts at once around a plain model of readers: first come first served, what is called off goes on,
// and what a reader has kept is found again there. Not the bench: only what a jam of readers needs.
#include <gtest/gtest.h>

#include <deque>
#include <list>
#include <map>
#include <random>

#include "front.hpp"

namespace eiderarch::test {
namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kGivenUp = 6s;
constexpr Tokens kPrompt = 4000;

class Fleet {
 public:
  Fleet(std::uint32_t fronts, std::uint32_t readers, double per_second) : rng_(3), rate_(per_second) {
    Settings s = plain_settings();
    s.fronts = fronts;
    s.classes[0].aim = 1200ms;
    s.limits.retry_advice = true;
    s.limits.max_retry_advice = 500ms;
    s.writers_read = false;
    std::vector<EngineEntry> list;
    for (EngineId id = 1; id <= readers; ++id) list.push_back(entry(id, 0, std::uint32_t(id % 4)));
    for (EngineId id = 101; id <= 100 + readers; ++id) list.push_back(entry(id, 1, std::uint32_t(id % 4)));
    readers_.resize(readers + 1);
    for (std::uint32_t i = 0; i < fronts; ++i) {
      s.seed = i + 1;
      fronts_.push_back({Router(s), RuleChecker(s), {ListChanged{ListScope::disk, list}}, {}});
    }
  }
  ~Fleet() {
    for (const OneFront& f : fronts_) {
      for (const std::string& fault : f.checker.faults()) ADD_FAILURE() << fault;
    }
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Lets time run with readers at `speed` of their usual; returns the part of the requests that arrived in it
  // and were answered within their aim.
  double run(Duration length, double speed) {
    const int before = arrived_, well_before = on_time_;
    for (const Time end = now_ + length; now_ < end; now_ += kStep) step(speed);
    return double(on_time_ - well_before) / double(std::max(1, arrived_ - before));
  }
  [[nodiscard]] const std::set<Duration>& advice() const { return advice_; }
  // From now on one session in ten has prompts of this length.
  void lengthen(Tokens prompt) { long_prompt_ = prompt; }
  // Answers of one session, in time or late, of what its clients asked, repeats not counted.
  struct Share {
    int asked = 0, answered = 0;
  };
  [[nodiscard]] const std::map<Key, Share>& sessions() const { return sessions_; }
  static bool is_long(Key session) { return session % 10 == 0; }

 private:
  struct OneFront {
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
    Tokens found = 0;
  };
  struct Reader {
    std::deque<Job> jobs;
    std::list<Key> kept;  // latest first
  };
  struct Known {
    RequestArrived ask;
    std::size_t front = 0;
    Time first{0};  // when its client first asked
    int attempts = 0;
    std::set<int> out;
    bool over = false;
    bool again = false;
  };

  void ask(Key session, Time first, bool again) {
    Known k;
    k.ask.id = next_++;
    k.ask.session = session;
    k.ask.prefix = 1000 + session % 12;
    k.ask.prompt_tokens = is_long(session) ? long_prompt_ : kPrompt;
    k.ask.prefix_tokens = 2000;
    k.ask.max_output = 200;
    k.ask.deadline = now_ + kGivenUp;
    k.front = rng_() % fronts_.size();
    k.first = first;
    k.again = again;
    fronts_[k.front].events.push_back(k.ask);
    requests_[k.ask.id] = k;
  }

  void end(Known& k, int attempt, EngineId engine, Time sent, Outcome outcome, Tokens detail) {
    if (k.out.erase(attempt) == 0) return;
    fronts_[k.front].events.push_back(
        AttemptEnded{k.ask.id, attempt, engine, outcome, now_ - sent, k.over, detail, {}});
  }

  void step(double speed) {
    for (due_ += rate_ * double(kStep.count()) / 1e6; due_ >= 1.0; due_ -= 1.0) {
      ++arrived_;
      const Key session = 1 + rng_() % 240;
      ++sessions_[session].asked;
      ask(session, now_, false);
    }
    while (!again_.empty() && again_.begin()->first <= now_) {
      const auto [session, first] = again_.begin()->second;
      again_.erase(again_.begin());
      ask(session, first, true);
    }
    for (EngineId id = 1; id < readers_.size(); ++id) read(id, 30000.0 * speed * double(kStep.count()) / 1e6);
    while (!streams_.empty() && streams_.begin()->first <= now_) {
      const auto [id, engine] = streams_.begin()->second;
      streams_.erase(streams_.begin());
      const auto it = requests_.find(id);
      if (it == requests_.end() || it->second.over) continue;
      Known& k = it->second;
      k.over = true;
      on_time_ += now_ - k.first <= 1200ms;
      ++sessions_[k.ask.session].answered;
      fronts_[k.front].events.push_back(StreamStarted{id, k.attempts - 1, engine, 50ms});
      end(k, k.attempts - 1, engine, now_ - 50ms, Outcome::served, 0);
    }
    for (auto& [id, k] : requests_) {
      if (k.over || now_ < k.ask.deadline) continue;
      k.over = true;
      fronts_[k.front].events.push_back(RequestGone{id});
    }
    for (std::size_t i = 0; i < fronts_.size(); ++i) serve(i);
    std::erase_if(requests_, [](const auto& p) { return p.second.over && p.second.out.empty(); });
  }

  // Works on the first in the queue; new text costs time, kept text none.
  void read(EngineId id, double tokens) {
    Reader& reader = readers_[id];
    while (!reader.jobs.empty() && tokens > 0.0) {
      Job& job = reader.jobs.front();
      const double part = std::min(tokens, job.left);
      job.left -= part;
      tokens -= part;
      if (job.left > 0.0) return;
      const auto it = requests_.find(job.id);
      if (it != requests_.end()) end(it->second, job.attempt, id, job.sent, Outcome::state_held, job.found);
      reader.jobs.pop_front();
    }
  }

  void serve(std::size_t index) {
    OneFront& f = fronts_[index];
    std::vector<Event> events = std::exchange(f.events, {});
    while (!f.timers.empty() && f.timers.begin()->first <= now_) {
      events.push_back(TimerFired{f.timers.begin()->second});
      f.timers.erase(f.timers.begin());
    }
    if (events.empty()) return;
    f.checker.saw(now_, events);
    const std::vector<Action> actions = f.router.handle(now_, events);
    f.checker.did(now_, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) f.timers.insert({timer->at, timer->tag});
      if (const auto* send = std::get_if<Send>(&action)) sent(*send);
      if (const auto* refuse = std::get_if<Refuse>(&action)) refused(*refuse);
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        const auto it = requests_.find(cancel->id);
        if (it != requests_.end()) end(it->second, cancel->attempt, 0, now_, Outcome::cancelled, 0);
      }
    }
  }

  void sent(const Send& send) {
    Known& k = requests_.at(send.id);
    const int attempt = k.attempts++;
    k.out.insert(attempt);
    if (send.engine > 100) {
      streams_.insert({now_ + 50ms, {send.id, send.engine}});
      return;
    }
    Reader& reader = readers_[send.engine];
    if (reader.jobs.size() >= 30) return end(k, attempt, send.engine, now_, Outcome::busy, 0);
    Job job{k.front, send.id, attempt, now_, double(k.ask.prompt_tokens), 0};
    for (const Key key : {k.ask.session, k.ask.prefix}) {
      const auto it = std::find(reader.kept.begin(), reader.kept.end(), key);
      if (it == reader.kept.end()) continue;
      job.found = std::max<Tokens>(job.found, key == k.ask.session ? k.ask.prompt_tokens - 400 : 2000);
      reader.kept.erase(it);
    }
    job.left -= double(job.found);
    reader.kept.push_front(k.ask.prefix);
    reader.kept.push_front(k.ask.session);
    while (reader.kept.size() > 40) reader.kept.pop_back();
    reader.jobs.push_back(job);
  }

  void refused(const Refuse& refuse) {
    Known& k = requests_.at(refuse.id);
    k.over = true;
    advice_.insert(refuse.stay_away);
    if (!k.again)
      again_.insert({now_ + std::max<Duration>(100ms, refuse.stay_away), {k.ask.session, k.first}});
  }

  std::mt19937 rng_;
  double rate_;
  double due_ = 0.0;
  Time now_{5s};
  RequestId next_ = 1;
  int arrived_ = 0, on_time_ = 0;
  std::vector<OneFront> fronts_;
  std::vector<Reader> readers_;
  std::map<RequestId, Known> requests_;
  std::multimap<Time, std::pair<RequestId, EngineId>> streams_;
  std::multimap<Time, std::pair<Key, Time>> again_;
  std::set<Duration> advice_;
  Tokens long_prompt_ = kPrompt;
  std::map<Key, Share> sessions_;
};

class Jam : public testing::TestWithParam<int> {};

// Readers bear some 250 requests a second read at home and 60 read anywhere; 120 arrive. For eight seconds
// they run at a tenth of their speed.
TEST_P(Jam, EndsWithItsCause) {
  Fleet fleet(std::uint32_t(GetParam()), 8, 120.0);
  fleet.run(6s, 1.0);
  EXPECT_GE(fleet.run(5s, 1.0), 0.9);
  fleet.run(8s, 0.1);
  fleet.run(5s, 1.0);
  EXPECT_GE(fleet.run(8s, 1.0), 0.9);
  // Refused ones are told when to come back: within what is allowed, not all at the same moment.
  ASSERT_GT(fleet.advice().size(), 10U);
  EXPECT_GT(*fleet.advice().begin(), 0ms);
  EXPECT_LE(*fleet.advice().rbegin(), 500ms);
}

INSTANTIATE_TEST_SUITE_P(Fronts, Jam, testing::Values(2, 150));

class QuietDay : public testing::TestWithParam<int> {};

// A third of what the readers bear arrives. A prompt of four times the length is answered as well as others,
// and nobody is refused throughout.
TEST_P(QuietDay, ServesLongPromptsAndEverySession) {
  Fleet fleet(std::uint32_t(GetParam()), 8, 40.0);
  fleet.lengthen(4 * kPrompt);
  fleet.run(60s, 1.0);
  Fleet::Share all, long_ones;
  for (const auto& [session, share] : fleet.sessions()) {
    EXPECT_TRUE(share.answered > 0 || share.asked < 3) << "session " << session << ", asked " << share.asked;
    for (Fleet::Share* part : {&all, Fleet::is_long(session) ? &long_ones : nullptr}) {
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

INSTANTIATE_TEST_SUITE_P(Fronts, QuietDay, testing::Values(2, 150));

}  // namespace
}  // namespace eiderarch::test
