// A test fixture for the core without a wire protocol. Time, instances and clients are simulated, so that
// delayed loops and crossing calls can be produced exactly.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>

#include "core/conductor.hpp"
#include "fake_time.hpp"

namespace bankmux::test {

using namespace bankmux::core;
using namespace std::chrono_literals;

using EventLog = std::vector<std::string>;

class FakeInstances : public Instances, public Discovery {
 public:
  struct FakeAttempt : Attempt {
    FakeInstances& owner;
    std::string name;
    AttemptEvents& events;
    std::function<bool()> may_write;
    Time not_after;
    Progress current_progress = Progress::not_connected;
    FakeAttempt(FakeInstances& a, std::string n, AttemptEvents& e, std::function<bool()> m, Time until)
        : owner(a), name(std::move(n)), events(e), may_write(std::move(m)), not_after(until) {
      owner.log.push_back("open " + name);
      owner.attempt = this;
    }
    ~FakeAttempt() override {
      owner.log.push_back("close " + name);
      owner.attempt = nullptr;
    }
    [[nodiscard]] Progress progress() const override { return current_progress; }
    [[nodiscard]] bool has_unread_input() const override { return owner.unread_input; }
  };
  std::unique_ptr<Attempt> start(const Target& target, const PayloadPtr&, Time not_after, ConnectionTerms,
                                 std::function<bool()> may_write, AttemptEvents& events) override {
    CHECK(attempt == nullptr);  // never two attempts at once
    return std::make_unique<FakeAttempt>(*this, target.id, events, std::move(may_write), not_after);
  }
  void reserve(const Target& target, const PayloadPtr&, std::function<bool()> may_write,
               std::function<void(ReservationAnswer)> done) override {
    log.push_back("claim " + target.id);
    reservations.push_back(std::move(done));
    may_reserve = std::move(may_write);
  }
  void release(const Target& target, const PayloadPtr&, ConnectionTerms terms,
               std::function<bool()> may_write, std::function<void(bool)> done) override {
    log.push_back("release " + target.id);
    fresh.push_back(terms.new_connection);
    may_release.push_back(std::move(may_write));
    releases.push_back(std::move(done));
  }
  void probe(const Target&, std::function<bool()>, std::function<void(const AttemptResult&)>) override {}
  void drop_connections(const Target&) override {}
  void subscribe() override {}
  void fetch() override {}

  // The current attempt has written its request.
  void finish_write() {
    static_cast<void>(attempt->may_write());  // called before the first byte, as with sockets
    attempt->current_progress = Progress::written;
    attempt->events.on_written();
  }
  void end_attempt(Verdict verdict, Progress progress = Progress::ended, bool closed_here = false) {
    AttemptResult result;
    result.closed_here = closed_here;
    result.verdict = verdict;
    result.progress = progress;
    attempt->events.on_ended(std::move(result));
  }

  EventLog log;
  FakeAttempt* attempt = nullptr;
  bool unread_input = false;  // of all attempts
  std::vector<std::function<void(ReservationAnswer)>> reservations;
  std::function<bool()> may_reserve;
  std::vector<std::function<bool()>> may_release;  // in the order of the calls, as are `releases`
  std::vector<std::function<void(bool)>> releases;
  std::vector<bool> fresh;  // whether the call required a new connection
};

class FakeReply : public ClientReply {
 public:
  FakeReply(EventLog& log, int continuations, const bool& closed, const bool& mismatched)
      : log_(log), continuations_(continuations), closed_(closed), mismatched_(mismatched) {}
  [[nodiscard]] bool continuation_mismatched() const override { return mismatched_; }
  [[nodiscard]] bool client_closed() const override { return closed_; }
  StreamContinuation continue_answer() override {
    if (continuations_-- <= 0) return {};
    log_.emplace_back("go on");
    return {StreamContinuation::What::go_on, nullptr, 10, 50, 1s};
  }
  void refuse(const Ending&) override { log_.emplace_back("refused"); }
  void fail(const Ending&) override { log_.emplace_back("failed"); }
  void relay(const Answer&) override { log_.emplace_back("relayed"); }
  void begin() override { log_.emplace_back("begin"); }
  void data(std::string_view bytes) override { log_.emplace_back(bytes); }
  void end() override { log_.emplace_back("end"); }
  void abort(const Ending&) override { log_.emplace_back("abort"); }

 private:
  EventLog& log_;
  int continuations_;  // so many times
  const bool& closed_;
  const bool& mismatched_;
};

// A prompt whose prefill takes most of the target time, so that a reservation is requested ahead.
constexpr Tokens kLongPrompt = 20000;

struct CoreFixture {
  FakeTime time;
  FakeInstances instances;
  EventLog answers;
  bool client_closed = false;  // of all clients, as reported by the operating system
  bool mismatched = false;     // whether the data that arrives now can't be joined to the answer
  std::unique_ptr<Conductor> conductor;

  explicit CoreFixture(std::size_t max_requests = 10, Duration discovery_delay = 0s) {
    ConductorSettings s;
    s.module.classes.resize(3);
    s.module.classes[0].effect = eiderarch::Effect::safe;
    s.module.classes[1].effect = eiderarch::Effect::unsafe;
    s.module.classes[2].effect = eiderarch::Effect::keyed;
    s.module.classes[2].repeat_window = 500ms;
    for (auto& c : s.module.classes) {
      c.aim = 2s;
      c.deadline = 8s;
    }
    s.module.kinds = {{eiderarch::Role::reader, 0}, {eiderarch::Role::writer, 0}, {eiderarch::Role::both, 0}};
    s.module.limits.cancel = true;
    s.module.limits.max_attempts = 4;
    s.module.rules.drain_grace = 1s;
    s.module.rules.cold_time = 10s;
    s.module.rules.fall_time = 2s;
    s.module.rules.release_within = 300ms;
    s.module.claim_ahead = true;
    s.module.writers_read = true;
    s.module.resume = true;
    s.max_requests = max_requests;
    s.discovery_delay = discovery_delay;
    conductor =
        std::make_unique<Conductor>(s, time, instances, instances, [](const char*, const std::string&) {});
  }
  void list_instance(const std::string& id, std::uint32_t kind,
                     eiderarch::EngineState state = eiderarch::EngineState::live) {
    ListEntry row;
    row.id = row.address = id;
    row.entry.engine = std::hash<std::string>{}(id);
    row.entry.kind = kind;
    row.entry.state = state;
    conductor->update_fleet({eiderarch::ListScope::changes, {row}});
    time.run_ready();
  }
  // `continuations`: how many times the reply can continue an answer whose instance was lost.
  // `waited`: how long the request had been in the socket before it was read.
  RequestId send_request(std::uint32_t cls, Tokens prompt, Duration patience = 5s, int continuations = 0,
                         Duration waited = 0s) {
    ClientRequest client_request;
    client_request.waited = waited;
    client_request.facts.request_class = cls;
    client_request.facts.session = 7;
    client_request.facts.prompt_tokens = prompt;
    client_request.facts.deadline = time.now() + patience;
    const RequestId id =
        conductor->accept(std::move(client_request),
                          std::make_unique<FakeReply>(answers, continuations, client_closed, mismatched));
    time.run_ready();
    return id;
  }
  // The current attempt streams `word` and is lost.
  void lose_stream(const std::string& word) {
    instances.finish_write();
    instances.attempt->events.on_data(word);
    time.run_ready();
    instances.end_attempt(Verdict::broken, Progress::streaming);
    time.run_ready();
  }
};

}  // namespace bankmux::test
