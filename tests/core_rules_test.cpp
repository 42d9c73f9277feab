// The core and the decision module together, with random settings, instances and clients. The rules are
// checked where they take effect: at the instances and at the clients.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "core/conductor.hpp"
#include "drawn_settings.hpp"
#include "fake_time.hpp"
#include "net/http/payload.hpp"

using namespace bankmux::core;
using bankmux::test::FakeTime;
using eiderarch::test::RandomSource;
using namespace std::chrono_literals;

namespace {

// Three instances for prefill, three for decode, and one for both roles if the settings have that kind.
constexpr int kInstances = 7;
constexpr Duration kConnectTimeout =
    250ms;                             // after which a connection that is not established counts as failed
constexpr Duration kCallTimeout = 1s;  // after which an unanswered call counts as failed
constexpr Duration kSlack = 50ms;      // allowed beyond each time limit, as in the tests with sockets
// Additionally allowed for a release to arrive, as in the tests with sockets.
constexpr Duration kReleaseDelivery = 300ms;

struct Faults : std::vector<std::string> {
  void add(const std::string& request, const std::string& what) { push_back(request + ": " + what); }
};

// What the checker knows of one request, by the request's id.
struct TrackedRequest {
  bool safe = false;
  int answers = 0;
  int active = 0;    // current attempts
  int arrived = 0;   // those of them whose request has arrived completely
  int attempts = 0;  // attempts started so far
  // Attempts at decode instances that were written completely and not proven not to have run.
  int may_run = 0;
  bool streaming = false;
  std::map<EngineId, Time> held;  // caches held at prefill instances, and when the last attempt ended
};

class SimulatedSite : public Instances, public Discovery {
 public:
  SimulatedSite(const eiderarch::Settings& settings, std::uint32_t seed) : s(settings), draw(seed) {
    ConductorSettings all;
    all.module = settings;
    all.max_requests = 60;
    conductor = std::make_unique<Conductor>(all, time, *this, *this, [](const char*, const std::string&) {});
    FleetUpdate news{eiderarch::ListScope::disk, {}};
    for (int i = 0; i < kInstances; ++i) news.entries.push_back(list_entry(i, eiderarch::EngineState::live));
    conductor->update_fleet(news);
  }
  ~SimulatedSite() override { conductor.reset(); }

  struct SimulatedAttempt : Attempt {
    SimulatedSite& site;
    EngineId instance;
    std::string name;
    std::function<bool()> may_write;
    AttemptEvents& events;
    Progress current_progress = Progress::not_connected;
    bool arrived = false;
    bool ended = false;  // by the instance
    std::unique_ptr<Timer> next;
    SimulatedAttempt(SimulatedSite& owner, EngineId instance, std::string id, std::function<bool()> may,
                     AttemptEvents& attempt_events)
        : site(owner),
          instance(instance),
          name(std::move(id)),
          may_write(std::move(may)),
          events(attempt_events) {}
    ~SimulatedAttempt() override { site.closed(*this); }
    [[nodiscard]] Progress progress() const override { return current_progress; }
  };

  std::unique_ptr<Attempt> start(const Target& target, const PayloadPtr& payload, Time, ConnectionTerms,
                                 std::function<bool()> may_write, AttemptEvents& events) override {
    TrackedRequest& request = requests[payload->id];
    if (++request.active > 1) faults.add(payload->id, "two attempts at once");
    if (++request.attempts > s.limits.max_attempts) faults.add(payload->id, "more attempts than allowed");
    if (request.answers > 0) faults.add(payload->id, "sent after its final answer");
    request.held.erase(target.engine);
    auto attempt =
        std::make_unique<SimulatedAttempt>(*this, target.engine, payload->id, std::move(may_write), events);
    // Some connections are established only after the list has changed the state of the instance.
    const Duration wait = draw.chance(0.04) ? draw.time(30, 249) : draw.time(0, 30);
    const bool vanished =
        time.now() < vanished_[target.engine];  // it accepts no connection and sends nothing
    attempt->next =
        time.at(time.now() + (vanished ? kConnectTimeout : wait), [this, vanished, a = attempt.get()] {
          vanished ? end(*a, Verdict::broken, Progress::not_connected) : connected(*a);
        });
    return attempt;
  }
  void reserve(const Target&, const PayloadPtr&, std::function<bool()> may_write,
               std::function<void(ReservationAnswer)> done) override {
    if (!may_write()) return;
    later(draw.time(1, 40), [this, done = std::move(done)] { done(ReservationAnswer(draw.pick(0, 2))); });
  }
  void release(const Target& target, const PayloadPtr& payload, ConnectionTerms,
               std::function<bool()> may_write, std::function<void(bool)> done) override {
    later(draw.time(0, 60), [this, instance = target.engine, id = payload->id,
                             may_write = std::move(may_write), done = std::move(done)] {
      const bool arrives = draw.chance(0.8) && may_write();
      if (arrives) requests[id].held.erase(instance);
      done(arrives);
    });
  }
  void probe(const Target&, std::function<bool()>, std::function<void(const AttemptResult&)> done) override {
    later(draw.time(1, 300), [this, done = std::move(done)] {
      AttemptResult result;
      result.verdict = draw.chance(0.8) ? Verdict::served : Verdict::broken;
      result.report = eiderarch::test::random_report(draw);
      done(result);
    });
  }
  void drop_connections(const Target&) override {}
  void subscribe() override {}
  void fetch() override {}

  void run(Duration length) {
    const Time end = time.now() + length;
    while (time.now() < end) {
      time.advance(draw.time(1, 60));
      if (draw.chance(0.6)) send_request();
      if (draw.chance(0.03)) list_change();
      if (draw.chance(0.02)) client_leaves();
      if (draw.chance(0.03))
        vanished_[EngineId(draw.pick(1, kInstances))] = time.now() + draw.time(500, 4000);
      check_held();
    }
    time.advance(40s);  // past every deadline and stall limit
    check_held();
    for (const auto& [name, request] : requests) {
      if (request.answers != 1 && !clients_gone.contains(name))
        faults.add(name, std::to_string(request.answers) + " answers");
      if (request.active != 0) faults.add(name, "an attempt is still active");
    }
  }

  eiderarch::Settings s;
  RandomSource draw;
  FakeTime time;
  std::unique_ptr<Conductor> conductor;
  std::map<std::string, TrackedRequest> requests;
  std::set<std::string> clients_gone;  // requests whose clients have left
  Faults faults;
  int served = 0;

 private:
  class Reply : public ClientReply {
   public:
    Reply(SimulatedSite& site, std::string name) : site_(site), name_(std::move(name)) {}
    void refuse(const Ending& ending) override {
      TrackedRequest& request = answer();
      if (request.may_run > 0 && !request.safe && !keyed_)
        site_.faults.add(name_, "refused although it may have run");
      const Duration most = site_.s.limits.retry_advice ? site_.s.limits.max_retry_advice : Duration{0};
      if (ending.cause == Ending::Cause::refused && ending.stay_away > most) {
        site_.faults.add(name_, "advised a longer retry delay than the limit allows");
      }
    }
    void fail(const Ending&) override { answer(); }
    void relay(const Answer&) override { answer(); }
    void begin() override {
      if (site_.requests[name_].streaming) site_.faults.add(name_, "began its answer twice");
      site_.requests[name_].streaming = true;
    }
    void data(std::string_view) override {}
    void end() override {
      answer();
      ++site_.served;
    }
    void abort(const Ending&) override { answer(); }
    bool keyed_ = false;

   private:
    TrackedRequest& answer() {
      TrackedRequest& request = site_.requests[name_];
      ++request.answers;
      return request;
    }
    SimulatedSite& site_;
    std::string name_;
  };

  [[nodiscard]] bool is_prefill(EngineId instance) const { return instance <= 3; }
  [[nodiscard]] ListEntry list_entry(int i, eiderarch::EngineState state) const {
    ListEntry listed;
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

  void send_request() {
    ClientRequest client_request;
    client_request.facts.request_class = std::uint32_t(draw.pick(0, int(s.classes.size()) - 1));
    client_request.facts.tenant = std::uint32_t(draw.pick(0, int(s.tenants.size())));
    client_request.facts.session = eiderarch::Key(draw.pick(1, 30));
    client_request.facts.prefix = eiderarch::Key(draw.pick(0, 4));
    client_request.facts.prompt_tokens = draw.pick(1, 9000);
    client_request.facts.prefix_tokens =
        client_request.facts.prefix == 0 ? 0 : std::min<Tokens>(client_request.facts.prompt_tokens, 1500);
    client_request.facts.max_output = 300;
    client_request.facts.resumed = draw.chance(0.1);
    const eiderarch::RequestClass& cls = s.classes[client_request.facts.request_class];
    client_request.facts.deadline =
        time.now() + Duration(std::int64_t(double(cls.deadline.count()) * draw.between(0.3, 1.0)));
    auto payload = std::make_shared<Payload>();
    payload->id = "r" + std::to_string(++last_request_);
    requests[payload->id].safe = cls.effect == eiderarch::Effect::safe;
    auto reply = std::make_unique<Reply>(*this, payload->id);
    reply->keyed_ = cls.effect == eiderarch::Effect::keyed;
    const std::string name = payload->id;
    client_request.payload = std::move(payload);
    const RequestId id = conductor->accept(std::move(client_request), std::move(reply));
    if (id != 0) open_[name] = id;
  }

  void client_leaves() {
    if (open_.empty()) return;
    auto it = open_.begin();
    std::advance(it, draw.pick(0, int(open_.size()) - 1));
    if (requests[it->first].answers == 0) clients_gone.insert(it->first);
    conductor->client_gone(it->second);
    open_.erase(it);
  }

  void list_change() {
    const int i = draw.pick(0, kInstances - 1);
    const auto state = eiderarch::EngineState(draw.pick(0, 2));
    ListEntry changed = list_entry(i, state);
    const bool restarted = state == eiderarch::EngineState::live && draw.chance(0.4);
    if (restarted) changed.entry.started = time.now();
    if (restarted || state == eiderarch::EngineState::gone) {
      // What a process held is freed with it.
      for (auto& [name, request] : requests) request.held.erase(changed.entry.engine);
    }
    if (state == eiderarch::EngineState::live) {
      unavailable_since_.erase(changed.entry.engine);
    } else {
      unavailable_since_.try_emplace(changed.entry.engine, time.now());
    }
    state == eiderarch::EngineState::gone ? void(gone_.insert(changed.entry.engine))
                                          : void(gone_.erase(changed.entry.engine));
    conductor->update_fleet({eiderarch::ListScope::changes, {changed}});
  }

  // ---- Behaviour of an instance ----

  void connected(SimulatedAttempt& attempt) {
    if (draw.chance(0.05)) return end(attempt, Verdict::broken, Progress::not_connected);
    if (!attempt.may_write()) return end(attempt, Verdict::broken, Progress::not_connected);
    const auto unavailable = unavailable_since_.find(attempt.instance);
    if (unavailable != unavailable_since_.end() &&
        time.now() - unavailable->second > s.rules.drain_grace + kSlack) {
      faults.add(attempt.name, "sent to an instance that is draining or gone, after the grace");
    }
    attempt.current_progress = Progress::unwritten;
    attempt.next = time.at(time.now() + draw.time(0, 10), [this, &attempt] { written(attempt); });
  }
  void written(SimulatedAttempt& attempt) {
    TrackedRequest& request = requests[attempt.name];
    if (!is_prefill(attempt.instance)) {
      if (request.may_run > 0 && !request.safe && !keyed(attempt))
        faults.add(attempt.name, "sent again although it may have run");
      ++request.may_run;
    }
    attempt.current_progress = Progress::written;
    // Written into a connection that does not deliver data: the bytes have left this side and never arrive.
    if (draw.chance(0.06)) return attempt.events.on_written();
    ++request.arrived;
    attempt.arrived = true;
    attempt.next = time.at(time.now() + draw.time(1, 900), [this, &attempt] { answered(attempt); });
    attempt.events.on_written();
  }
  void answered(SimulatedAttempt& attempt) {
    if (draw.chance(0.06)) return;  // never answers
    TrackedRequest& request = requests[attempt.name];
    if (draw.chance(0.1)) {
      if (!is_prefill(attempt.instance)) --request.may_run;
      return end(attempt, draw.chance(0.5) ? Verdict::busy : Verdict::no_state, Progress::ended);
    }
    if (draw.chance(0.08)) return end(attempt, Verdict::error, Progress::ended);
    if (draw.chance(0.04)) return end(attempt, Verdict::broken, Progress::written);
    if (is_prefill(attempt.instance)) {
      if (!gone_.contains(attempt.instance)) request.held[attempt.instance] = time.now();
      return end(attempt, Verdict::state_held, Progress::ended);
    }
    request.held.clear();  // when a stream has begun the instances release the rest by themselves
    stream(attempt);
  }
  void stream(SimulatedAttempt& attempt) {
    attempt.current_progress = Progress::streaming;
    if (draw.chance(0.05)) return end(attempt, Verdict::broken, Progress::streaming);
    if (draw.chance(0.3) && requests[attempt.name].streaming)
      return end(attempt, Verdict::served, Progress::ended);
    attempt.next = time.at(time.now() + draw.time(5, 400), [this, &attempt] { stream(attempt); });
    attempt.events.on_data("x");
  }
  void end(SimulatedAttempt& attempt, Verdict verdict, Progress progress) {
    attempt.current_progress = progress;
    attempt.ended = true;
    AttemptResult result;
    result.verdict = verdict;
    result.progress = progress;
    result.cached_tokens = draw.pick(0, 4000);
    if (s.report_mode == eiderarch::ReportMode::answers) result.report = eiderarch::test::random_report(draw);
    attempt.events.on_ended(std::move(result));
  }
  void closed(SimulatedAttempt& attempt) {
    TrackedRequest& request = requests[attempt.name];
    --request.active;
    // An attempt that never arrived has fetched nothing, and the time since the earlier attempt counts.
    if (!attempt.arrived) return;
    --request.arrived;
    for (auto& [instance, since] : request.held) since = time.now();
    // The close may not be delivered either: then a prefill goes on to its end.
    if (!is_prefill(attempt.instance) || attempt.ended || attempt.current_progress != Progress::written ||
        !draw.chance(0.2))
      return;
    later(draw.time(1, 900), [this, instance = attempt.instance, name = attempt.name] {
      TrackedRequest& late = requests[name];
      if (!gone_.contains(instance) && !late.streaming) late.held[instance] = time.now();
    });
  }
  [[nodiscard]] bool keyed(const SimulatedAttempt&) const {
    return std::ranges::any_of(s.classes, [](const auto& c) { return c.effect == eiderarch::Effect::keyed; });
  }

  void check_held() {
    for (auto& [name, request] : requests) {
      if (request.arrived > 0) continue;
      for (const auto& [instance, since] : request.held) {
        if (time.now() - since <= s.rules.release_within + kReleaseDelivery + kSlack) continue;
        faults.add(name, "left a cache pinned beyond the release time");
        request.held.erase(instance);
        break;
      }
    }
  }

  int last_request_ = 0, calls_ = 0;
  std::map<std::string, RequestId> open_;
  std::map<EngineId, Time> unavailable_since_;
  std::set<EngineId> gone_;
  std::map<EngineId, Time> vanished_;
  std::map<int, std::unique_ptr<Timer>> timers_;
};

}  // namespace

TEST_CASE("Core: the core and the decision module keep the rules with random settings and instances") {
  int served = 0;
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SimulatedSite site(eiderarch::test::random_settings(seed), seed);
    site.run(12s);
    served += site.served;
    INFO("seed " << seed);
    for (const std::string& fault : site.faults) FAIL_CHECK(fault);
  }
  CHECK(served > 1000);  // enough was served for the checks to mean something
}
