// The core and the module together on sites that nobody has seen: drawn settings, drawn boxes, drawn clients.
// The rules are counted where they land, at the boxes and at the clients.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "core/conductor.hpp"
#include "drawn_settings.hpp"
#include "fake_time.hpp"
#include "net/http/payload.hpp"

using namespace bankmux::core;
using bankmux::test::FakeTime;
using eiderarch::test::Draw;
using namespace std::chrono_literals;

namespace {

constexpr int kBoxes = 7;              // three readers, three writers, one of both kinds where there are any
constexpr Duration kConnect = 250ms;   // after which a connection that is not up counts as failed
constexpr Duration kCallTimeout = 1s;  // after which a call that was not answered counts as failed
constexpr Duration kSlack = 50ms;      // of every limit in time, as on sockets
constexpr Duration kArrival = 300ms;   // more for a release, as on sockets

struct Faults : std::vector<std::string> {
  void add(const std::string& request, const std::string& what) { push_back(request + ": " + what); }
};

// What the checker knows of one request, by its name.
struct Story {
  bool safe = false;
  int answers = 0;
  int out = 0;      // attempts open
  int there = 0;    // of those, attempts that have arrived whole
  int sent = 0;     // attempts started
  int may_run = 0;  // at writers, written whole and not proven unrun
  bool streaming = false;
  std::map<EngineId, Time> held;  // states that lie at readers, since the last attempt ended
};

class Site : public Instances, public Discovery {
 public:
  Site(const eiderarch::Settings& settings, std::uint32_t seed) : s(settings), draw(seed) {
    ConductorSettings all;
    all.module = settings;
    all.max_requests = 60;
    conductor = std::make_unique<Conductor>(all, time, *this, *this, [](const char*, const std::string&) {});
    FleetNews news{eiderarch::ListScope::disk, {}};
    for (int i = 0; i < kBoxes; ++i) news.entries.push_back(row(i, eiderarch::EngineState::live));
    conductor->news(news);
  }
  ~Site() override { conductor.reset(); }

  struct Out : Attempt {
    Site& site;
    EngineId at;
    std::string name;
    std::function<bool()> may_write;
    AttemptEvents& events;
    Progress so_far = Progress::not_connected;
    bool arrived = false;
    bool ended = false;  // by the box
    std::unique_ptr<Timer> next;
    Out(Site& owner, EngineId engine, std::string id, std::function<bool()> may, AttemptEvents& told)
        : site(owner), at(engine), name(std::move(id)), may_write(std::move(may)), events(told) {}
    ~Out() override { site.closed(*this); }
    [[nodiscard]] Progress progress() const override { return so_far; }
  };

  std::unique_ptr<Attempt> start(const Target& target, const PayloadPtr& payload, Time, ConnectionTerms,
                                 std::function<bool()> may_write, AttemptEvents& events) override {
    Story& story = stories[payload->id];
    if (++story.out > 1) faults.add(payload->id, "two attempts out at once");
    if (++story.sent > s.limits.max_attempts) faults.add(payload->id, "more attempts than allowed");
    if (story.answers > 0) faults.add(payload->id, "sent after its final answer");
    story.held.erase(target.engine);
    auto out = std::make_unique<Out>(*this, target.engine, payload->id, std::move(may_write), events);
    // Now and then a connection comes up only after the list has changed its mind about the box.
    const Duration wait = draw.chance(0.04) ? draw.time(30, 249) : draw.time(0, 30);
    const bool vanished = time.now() < vanished_[target.engine];  // it takes no connection, and says nothing
    out->next = time.at(time.now() + (vanished ? kConnect : wait), [this, vanished, o = out.get()] {
      vanished ? end(*o, Verdict::broken, Progress::not_connected) : connected(*o);
    });
    return out;
  }
  void claim(const Target&, const PayloadPtr&, std::function<bool()> may_write,
             std::function<void(ClaimAnswer)> done) override {
    if (!may_write()) return;
    later(draw.time(1, 40), [this, done = std::move(done)] { done(ClaimAnswer(draw.pick(0, 2))); });
  }
  void release(const Target& target, const PayloadPtr& payload, ConnectionTerms,
               std::function<bool()> may_write, std::function<void(bool)> done) override {
    later(draw.time(0, 60), [this, engine = target.engine, id = payload->id, may_write = std::move(may_write),
                             done = std::move(done)] {
      const bool arrives = draw.chance(0.8) && may_write();
      if (arrives) stories[id].held.erase(engine);
      done(arrives);
    });
  }
  void probe(const Target&, std::function<bool()>, std::function<void(const AttemptResult&)> done) override {
    later(draw.time(1, 300), [this, done = std::move(done)] {
      AttemptResult result;
      result.verdict = draw.chance(0.8) ? Verdict::served : Verdict::broken;
      result.report = eiderarch::test::drawn_report(draw);
      done(result);
    });
  }
  void forget(const Target&) override {}
  void subscribe() override {}
  void fetch() override {}

  void run(Duration length) {
    const Time end = time.now() + length;
    while (time.now() < end) {
      time.pass(draw.time(1, 60));
      if (draw.chance(0.6)) ask();
      if (draw.chance(0.03)) list_change();
      if (draw.chance(0.02)) leave();
      if (draw.chance(0.03)) vanished_[EngineId(draw.pick(1, kBoxes))] = time.now() + draw.time(500, 4000);
      check_held();
    }
    time.pass(40s);  // past every deadline and stall
    check_held();
    for (const auto& [name, story] : stories) {
      if (story.answers != 1 && !left.contains(name))
        faults.add(name, std::to_string(story.answers) + " answers");
      if (story.out != 0) faults.add(name, "an attempt is still out");
    }
  }

  eiderarch::Settings s;
  Draw draw;
  FakeTime time;
  std::unique_ptr<Conductor> conductor;
  std::map<std::string, Story> stories;
  std::set<std::string> left;  // whose clients have gone
  Faults faults;
  int served = 0;

 private:
  class Reply : public ClientReply {
   public:
    Reply(Site& site, std::string name) : site_(site), name_(std::move(name)) {}
    void refuse(const Ending& ending) override {
      Story& story = answer();
      if (story.may_run > 0 && !story.safe && !keyed_)
        site_.faults.add(name_, "refused though it may have run");
      const Duration most = site_.s.limits.retry_advice ? site_.s.limits.max_retry_advice : Duration{0};
      if (ending.cause == Ending::Cause::refused && ending.stay_away > most) {
        site_.faults.add(name_, "advised to stay away for longer than clients may be told");
      }
    }
    void fail(const Ending&) override { answer(); }
    void relay(const Answer&) override { answer(); }
    void begin() override {
      if (site_.stories[name_].streaming) site_.faults.add(name_, "began twice");
      site_.stories[name_].streaming = true;
    }
    void data(std::string_view) override {}
    void end() override {
      answer();
      ++site_.served;
    }
    void abort(const Ending&) override { answer(); }
    bool keyed_ = false;

   private:
    Story& answer() {
      Story& story = site_.stories[name_];
      ++story.answers;
      return story;
    }
    Site& site_;
    std::string name_;
  };

  [[nodiscard]] bool reader(EngineId engine) const { return engine <= 3; }
  [[nodiscard]] Listed row(int i, eiderarch::EngineState state) const {
    Listed listed;
    listed.id = listed.address = "box" + std::to_string(i);
    listed.entry.engine = EngineId(i + 1);
    listed.entry.kind = i < 3 ? 0 : i < 6 || s.kinds.size() < 3 ? 1 : 2;
    listed.entry.zone = listed.entry.cell = std::uint32_t(i % 3);
    listed.entry.state = state;
    return listed;
  }
  void later(Duration wait, std::function<void()> run) {
    const int number = ++calls_;
    timers_[number] = time.at(time.now() + wait, [this, number, run = std::move(run)] {
      const auto mine = timers_.extract(number);
      run();
    });
  }

  void ask() {
    Ask ask;
    ask.facts.request_class = std::uint32_t(draw.pick(0, int(s.classes.size()) - 1));
    ask.facts.tenant = std::uint32_t(draw.pick(0, int(s.tenants.size())));
    ask.facts.session = eiderarch::Key(draw.pick(1, 30));
    ask.facts.prefix = eiderarch::Key(draw.pick(0, 4));
    ask.facts.prompt_tokens = draw.pick(1, 9000);
    ask.facts.prefix_tokens = ask.facts.prefix == 0 ? 0 : std::min<Tokens>(ask.facts.prompt_tokens, 1500);
    ask.facts.max_output = 300;
    ask.facts.resumed = draw.chance(0.1);
    const eiderarch::RequestClass& cls = s.classes[ask.facts.request_class];
    ask.facts.deadline =
        time.now() + Duration(std::int64_t(double(cls.deadline.count()) * draw.between(0.3, 1.0)));
    auto payload = std::make_shared<Payload>();
    payload->id = "r" + std::to_string(++asked_);
    stories[payload->id].safe = cls.effect == eiderarch::Effect::safe;
    auto reply = std::make_unique<Reply>(*this, payload->id);
    reply->keyed_ = cls.effect == eiderarch::Effect::keyed;
    const std::string name = payload->id;
    ask.payload = std::move(payload);
    const RequestId id = conductor->take(std::move(ask), std::move(reply));
    if (id != 0) open_[name] = id;
  }

  void leave() {
    if (open_.empty()) return;
    auto it = open_.begin();
    std::advance(it, draw.pick(0, int(open_.size()) - 1));
    if (stories[it->first].answers == 0) left.insert(it->first);
    conductor->client_gone(it->second);
    open_.erase(it);
  }

  void list_change() {
    const int i = draw.pick(0, kBoxes - 1);
    const auto state = eiderarch::EngineState(draw.pick(0, 2));
    Listed changed = row(i, state);
    const bool restarted = state == eiderarch::EngineState::live && draw.chance(0.4);
    if (restarted) changed.entry.started = time.now();
    if (restarted || state == eiderarch::EngineState::gone) {
      // What a process held went with it.
      for (auto& [name, story] : stories) story.held.erase(changed.entry.engine);
    }
    if (state == eiderarch::EngineState::live) {
      bad_since_.erase(changed.entry.engine);
    } else {
      bad_since_.try_emplace(changed.entry.engine, time.now());
    }
    state == eiderarch::EngineState::gone ? void(gone_.insert(changed.entry.engine))
                                          : void(gone_.erase(changed.entry.engine));
    conductor->news({eiderarch::ListScope::changes, {changed}});
  }

  // ---- A box, as it may behave ----

  void connected(Out& out) {
    if (draw.chance(0.05)) return end(out, Verdict::broken, Progress::not_connected);
    if (!out.may_write()) return end(out, Verdict::broken, Progress::not_connected);
    const auto bad = bad_since_.find(out.at);
    if (bad != bad_since_.end() && time.now() - bad->second > s.rules.drain_grace + kSlack) {
      faults.add(out.name, "sent to a box that drains or is gone");
    }
    out.so_far = Progress::unwritten;
    out.next = time.at(time.now() + draw.time(0, 10), [this, &out] { written(out); });
  }
  void written(Out& out) {
    Story& story = stories[out.name];
    if (!reader(out.at)) {
      if (story.may_run > 0 && !story.safe && !keyed(out))
        faults.add(out.name, "sent again though it may have run");
      ++story.may_run;
    }
    out.so_far = Progress::written;
    // Into a connection that has fallen silent: its bytes are out here, and arrive nowhere.
    if (draw.chance(0.06)) return out.events.on_written();
    ++story.there;
    out.arrived = true;
    out.next = time.at(time.now() + draw.time(1, 900), [this, &out] { answered(out); });
    out.events.on_written();
  }
  void answered(Out& out) {
    if (draw.chance(0.06)) return;  // silent for ever
    Story& story = stories[out.name];
    if (draw.chance(0.1)) {
      if (!reader(out.at)) --story.may_run;
      return end(out, draw.chance(0.5) ? Verdict::turned_away : Verdict::no_state, Progress::ended);
    }
    if (draw.chance(0.08)) return end(out, Verdict::error, Progress::ended);
    if (draw.chance(0.04)) return end(out, Verdict::broken, Progress::written);
    if (reader(out.at)) {
      if (!gone_.contains(out.at)) story.held[out.at] = time.now();
      return end(out, Verdict::state_held, Progress::ended);
    }
    story.held.clear();  // a stream that has begun lets go of the rest
    stream(out);
  }
  void stream(Out& out) {
    out.so_far = Progress::streaming;
    if (draw.chance(0.05)) return end(out, Verdict::broken, Progress::streaming);
    if (draw.chance(0.3) && stories[out.name].streaming) return end(out, Verdict::served, Progress::ended);
    out.next = time.at(time.now() + draw.time(5, 400), [this, &out] { stream(out); });
    out.events.on_data("x");
  }
  void end(Out& out, Verdict verdict, Progress progress) {
    out.so_far = progress;
    out.ended = true;
    AttemptResult result;
    result.verdict = verdict;
    result.progress = progress;
    result.found = draw.pick(0, 4000);
    if (s.report_mode == eiderarch::ReportMode::answers) result.report = eiderarch::test::drawn_report(draw);
    out.events.on_ended(std::move(result));
  }
  void closed(Out& out) {
    Story& story = stories[out.name];
    --story.out;
    // What never arrived has taken nothing, and its time runs on from before.
    if (!out.arrived) return;
    --story.there;
    for (auto& [engine, since] : story.held) since = time.now();
    // The close may not be heard either: then a prefill goes on to its end.
    if (!reader(out.at) || out.ended || out.so_far != Progress::written || !draw.chance(0.2)) return;
    later(draw.time(1, 900), [this, engine = out.at, name = out.name] {
      Story& late = stories[name];
      if (!gone_.contains(engine) && !late.streaming) late.held[engine] = time.now();
    });
  }
  [[nodiscard]] bool keyed(const Out&) const {
    return std::ranges::any_of(s.classes, [](const auto& c) { return c.effect == eiderarch::Effect::keyed; });
  }

  void check_held() {
    for (auto& [name, story] : stories) {
      if (story.there > 0) continue;
      for (const auto& [engine, since] : story.held) {
        if (time.now() - since <= s.rules.release_within + kArrival + kSlack) continue;
        faults.add(name, "left a state pinned");
        story.held.erase(engine);
        break;
      }
    }
  }

  int asked_ = 0, calls_ = 0;
  std::map<std::string, RequestId> open_;
  std::map<EngineId, Time> bad_since_;
  std::set<EngineId> gone_;
  std::map<EngineId, Time> vanished_;
  std::map<int, std::unique_ptr<Timer>> timers_;
};

}  // namespace

TEST_CASE("Core and module keep the rules on drawn sites") {
  int served = 0;
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    Site site(eiderarch::test::drawn_settings(seed), seed);
    site.run(12s);
    served += site.served;
    INFO("site " << seed);
    for (const std::string& fault : site.faults) FAIL_CHECK(fault);
  }
  CHECK(served > 1000);  // the sites did serve: nothing is proven by boxes that nobody asked
}
