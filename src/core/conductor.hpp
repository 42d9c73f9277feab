// The core: takes requests from the fronts, asks the module at each point of choice and carries out what it
// says. One thread; everything runs on the scheduler's loop.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/execution.hpp"
#include "core/fleet.hpp"
#include "core/held_caches.hpp"
#include "core/ports.hpp"
#include "core/request.hpp"
#include "core/request_record.hpp"
#include "core/task.hpp"
#include "eiderarch/router.hpp"
#include "recovery/silence.hpp"

namespace bankmux::core {

struct ConductorSettings {
  eiderarch::Settings module;
  // A stream this long without an event has lost its instance. Events come every few tokens; its client is to
  // know within 5 s.
  Duration stall_limit{4'000'000};
  // By how much discovery's word may come late here while it counts as told already.
  Duration news_late{0};
  std::size_t max_requests = 400;
  std::size_t max_releases = 2000;
};

// A stream that runs, as one process of this conductor tells it to the one that follows.
struct RunningStream {
  Ask ask;  // its facts, and of its payload no more than its name
  std::string box;
  int attempts = 1;
  Duration age{0};    // since it was taken
  Duration first{0};  // from then to its first event
  Passed client, instance;
};

// Owns the requests in hand, the fleet as the list names it, and the module. It refuses or fails what can't
// be served; nothing here throws for what a client, an instance or discovery did.
class Conductor {
 public:
  using LogFunction = std::function<void(const char* topic, const std::string& text)>;
  using Observer = std::function<void(const RequestRecord&)>;

  Conductor(ConductorSettings settings, Scheduler& scheduler, Instances& instances, Discovery& discovery,
            LogFunction log);
  ~Conductor();
  Conductor(const Conductor&) = delete;
  Conductor& operator=(const Conductor&) = delete;

  // Is told of each request's end, refusals by a full table included.
  void observe(Observer observer) { observer_ = std::move(observer); }

  // Takes a request; 0 where the table is full and `reply` has been refused.
  RequestId take(Ask ask, std::unique_ptr<ClientReply> reply);
  // The client has closed its connection.
  void client_gone(RequestId id);
  void news(const FleetNews& news);
  // The ids that operators have taken out, all of them: nothing new goes there from now on, whatever the list
  // says, and one that is no longer among them is as one that has just started.
  void maintain(std::set<std::string> ids);
  // Instances on the list, and those of them that get nothing now: out, draining, or set aside by the module.
  [[nodiscard]] std::size_t listed() const;
  [[nodiscard]] std::size_t out_of_rotation() const;

  // Gives up what has not begun to be answered, and whatever still comes, so that each client hears so and
  // nothing stays held when this process is killed.
  void abandon();

  // Offers each stream that runs; one that is taken (true) is over here. Returns how many were.
  std::size_t pass_streams(const std::function<bool(const RunningStream&)>& take);
  // Goes on with a stream that another process of this conductor began. `make` opens its attempt, once; where
  // that gives none, the stream breaks off. The module is not asked: it chose nothing here, and a stream that
  // has begun belongs to its client.
  using MakeAttempt = std::function<std::unique_ptr<Attempt>(AttemptEvents&)>;
  RequestId take_over(const RunningStream& stream, std::unique_ptr<ClientReply> reply,
                      const MakeAttempt& make);

  [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
  [[nodiscard]] std::size_t most_requests() const { return settings_.max_requests; }
  // Whether something held has not been let go of yet, at any instance.
  [[nodiscard]] bool releasing() const { return held_.releasing(); }
  [[nodiscard]] const Fleet& fleet() const { return fleet_; }
  [[nodiscard]] const Figures& figures() const { return figures_; }
  [[nodiscard]] const ReleaseFigures& release_figures() const { return held_.release_figures(); }
  // Own attempts out at an instance.
  [[nodiscard]] std::size_t out_at(EngineId engine) const;

 private:
  // How an attempt ended, and what follows from that.
  struct AttemptEnd {
    eiderarch::Outcome outcome = eiderarch::Outcome::error;
    Tokens detail = 0;
    eiderarch::LoadReport report;
    bool client_gone = false;
    bool told = false;
    AnswerPtr answer = {};
    bool passed_on = false;
    bool ended_there = false;  // by the instance: it is not at work on the request any more
    bool answered = false;     // the instance has said anything: the attempt had arrived
  };
  // One attempt, from the module's order to its end.
  struct AttemptInHand {
    eiderarch::Send order;
    int number = 0;  // as the module counts
    Time sent{0};
    ExecutionRecord::Place place;
    bool prefill = false;  // at an instance that can't execute
    std::optional<Time> written;
    bool aborted = false;
    std::optional<EngineId> reservation_at;  // to be asked for once the request is written
    std::optional<AttemptEnd> end;
  };

  // The lifecycle of a request, in request_lifecycle.cpp.
  Task serve(Request& r);
  // Sets the timers of its client's wait for a first token.
  void watch_deadline(Request& r);
  // Whether that event ends a request of which no attempt is out; its client then has its final answer.
  bool end_between_attempts(Request& r, const RequestEvent& event);
  AttemptInHand begin_attempt(Request& r, const eiderarch::Send& order);
  // Opens its connection; false where nothing was or will be sent.
  bool open(Request& r, const AttemptInHand& attempt);
  // What an attempt that is out does with one event; it may end by that.
  void attempt_step(Request& r, AttemptInHand& attempt, RequestEvent& event);
  void close_attempt(Request& r, AttemptInHand& attempt);
  void record_attempt(Request& r, const AttemptInHand& attempt);
  void account_for_execution(Request& r, const AttemptInHand& attempt);
  void account_for_held_caches(Request& r, const AttemptInHand& attempt);
  // Gives the client its final answer where the attempt's end brought one; false where the request goes on.
  bool conclude_attempt(Request& r, AttemptInHand& attempt);
  // The same for an attempt whose stream has begun.
  bool conclude_stream(Request& r, AttemptInHand& attempt);
  void conclude_unanswered(Request& r, AttemptEnd& end);
  void tell_module(const Request& r, AttemptInHand& attempt, bool final);
  [[nodiscard]] static AttemptEnd judge(const AttemptResult& result, bool prefill);
  void log_failure(const Request& r, const AttemptInHand& attempt) const;
  void reserve(Request& r, EngineId writer);
  // Something has been answered for a reservation that was asked for beside the prefill `attempt`.
  void reservation_answered(RequestId id, const PayloadPtr& payload, EngineId writer, int attempt,
                            RequestId module_id, ClaimAnswer answer);
  [[nodiscard]] HeldCaches::AttemptState attempt_state(RequestId id) const;
  // What was held for the request has been released, for its time was up.
  void held_overdue(RequestId id, Duration held_for);
  [[nodiscard]] bool may_send(EngineId engine) const;
  // Whether that event has to wait until the last attempt's end has been heard; it comes again then.
  bool postpone(Request& r, const RequestEvent& event);
  [[nodiscard]] bool at_prefill_instance(const eiderarch::Send& order) const;
  [[nodiscard]] ExecutionRecord::Place place_of(EngineId engine, Time sent) const;
  // The last line in front of a repeat that its class forbids: logged, and the request fails.
  bool may_execute_again(Request& r, EngineId engine);
  void fail_barred(Request& r);
  [[nodiscard]] eiderarch::RequestClass request_class(const Request& r) const;
  [[nodiscard]] bool repeat_safe(const Request& r) const;
  void refuse(Request& r, Ending::Cause cause, Duration stay_away = {});
  void fail(Request& r, Ending::Cause cause);
  // Notes how it ends; the reply is then told of it.
  const Ending& ends(Request& r, RequestRecord::Result result, Ending::Cause cause, Duration stay_away = {});
  void tell_end(const Request& r);

  // A request's stream and its resumption, in stream.cpp.
  void begin_stream(Request& r, const AttemptInHand& attempt);
  // What a stream does with one event of its attempt, its client or its clock; its end, once it has one.
  std::optional<AttemptEnd> stream_step(Request& r, RequestEvent& event);
  // Its end for its client and the figures; false where its instance was lost, which is not the end yet.
  bool end_stream(Request& r, const AttemptEnd& end);
  // Its answer goes on elsewhere: from here on the module knows it by another name.
  void resume(Request& r, const Onward& onward);
  void break_off(Request& r);
  void expect_more(Request& r, Duration patience);
  // An event has come: the next one is due by the pace of its instance, where another could go on.
  void note_event(Request& r);
  [[nodiscard]] bool suspects(const Request& r) const;

  // The end of this process, in shutdown.cpp.
  Task follow(Request& r);
  void answer_aborted(Request& r);

  // The module, in conductor.cpp.
  void post(eiderarch::Event event);
  void flush();
  void carry_out(const eiderarch::Action& action);
  void probe(EngineId engine);
  void set_module_timer(const eiderarch::SetTimer& order);
  void give(RequestId module_id, RequestEvent event);
  [[nodiscard]] RequestId resolve(RequestId module_id) const;
  void reap();
  void reap_soon();

  ConductorSettings settings_;
  Scheduler& scheduler_;
  Instances& instances_;
  Discovery& discovery_;
  LogFunction log_;
  Observer observer_;
  eiderarch::Router router_;
  Fleet fleet_;
  Figures figures_;
  RequestId last_id_ = 0;
  std::map<RequestId, std::unique_ptr<Request>> requests_;
  std::map<RequestId, RequestId> aliases_;  // the module's later names of requests that went on elsewhere
  recovery::SilenceDetector silence_;
  HeldCaches held_;
  bool given_up_ = false;  // see abandon
  std::vector<eiderarch::Event> events_;
  bool flush_due_ = false;
  std::map<std::uint64_t, std::unique_ptr<Timer>> module_timers_;
  std::uint64_t last_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bankmux::core
