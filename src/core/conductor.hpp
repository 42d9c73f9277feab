// The core: accepts requests from the fronts, asks the decision module at each point of choice and carries
// out its actions. Single-threaded; everything runs on the scheduler's loop.
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
#include "recovery/failure_detector.hpp"

namespace bankmux::core {

struct ConductorSettings {
  eiderarch::Settings module;
  // A stream without an event for this long has lost its instance.
  Duration stall_limit = kMaxAnswerSilence;
  // How late an update from discovery may arrive here although it already counts for the drain's grace.
  Duration discovery_delay{0};
  std::size_t max_requests = 400;
  std::size_t max_releases = 2000;
};

// A running stream, as one process of this conductor describes it to its successor.
struct RunningStream {
  ClientRequest client_request;  // its facts, and of its payload only the id
  std::string instance_id;
  int attempts = 1;
  Duration age{0};    // since the request was accepted
  Duration first{0};  // from then until its first event
  // For how long the next event has been awaited: since the last one, or since the client has caught up.
  Duration silence{0};
  HandoverState client, instance;
};

// Owns the open requests, the fleet as listed by discovery, and the decision module. What can't be served is
// refused or failed; nothing here throws because of what a client, an instance or discovery did.
class Conductor {
 public:
  using LogFunction = std::function<void(const char* topic, const std::string& text)>;
  using Observer = std::function<void(const RequestRecord&)>;

  Conductor(ConductorSettings settings, Scheduler& scheduler, Instances& instances, Discovery& discovery,
            LogFunction log);
  ~Conductor();
  Conductor(const Conductor&) = delete;
  Conductor& operator=(const Conductor&) = delete;

  // Sets the observer of each request's end, including refusals because too many are open.
  void observe(Observer observer) { observer_ = std::move(observer); }

  // Accepts a request and returns its id; returns 0 if it was refused at once, because too many are open or
  // because it came too late, see `refuse_from` and `abandon`.
  RequestId accept(ClientRequest client_request, std::unique_ptr<ClientReply> reply);
  // Reports that the client has closed its connection.
  void client_gone(RequestId id);
  // Applies an update of the discovery list.
  void update_fleet(const FleetUpdate& list_update);
  // Sets the complete list of ids that operators have taken out of rotation. Nothing new is sent there from
  // now on, whatever the discovery list says; an instance that returns counts as just started.
  void set_maintenance(std::set<std::string> ids);
  // Number of listed instances, and of those that get nothing at present: out for maintenance, draining, or
  // set aside by the module.
  [[nodiscard]] std::size_t listed() const;
  [[nodiscard]] std::size_t out_of_rotation() const;

  // Refuses every request whose last byte arrives at `time` or later. A process that is going to be killed
  // calls this during its shutdown, because an answer that begins late would be cut off. Applies to requests
  // as they are accepted, whether or not the loop was delayed in between.
  void refuse_from(Time time) { refuse_from_ = time; }
  // Ends all requests that have not begun to be answered, and refuses every later one, so that each client
  // gets a final answer and nothing stays held when this process is killed.
  void abandon();

  // Offers each running stream to `take`; a stream that is taken (true) ends here. Returns how many were
  // taken.
  std::size_t pass_streams(const std::function<bool(const RunningStream&)>& take);
  // Continues a stream that another process of this conductor began. `make` opens its attempt and is called
  // once; if it returns none, the stream breaks off. The module is not involved, since nothing is left to
  // decide for a stream that has begun.
  using MakeAttempt = std::function<std::unique_ptr<Attempt>(AttemptEvents&)>;
  RequestId take_over(const RunningStream& stream, std::unique_ptr<ClientReply> reply,
                      const MakeAttempt& make);

  // Whether requests of this class may be executed more than once. A class that the settings do not name may
  // not.
  [[nodiscard]] bool repeat_safe(std::uint32_t request_class) const;
  [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
  [[nodiscard]] std::size_t max_requests() const { return settings_.max_requests; }
  // Whether something held has not been released yet, at any instance.
  [[nodiscard]] bool releasing() const { return held_.releasing(); }
  [[nodiscard]] const Fleet& fleet() const { return fleet_; }
  [[nodiscard]] const RequestCounters& figures() const { return figures_; }
  [[nodiscard]] const ReleaseCounters& release_figures() const { return held_.release_figures(); }
  // Number of this conductor's current attempts at an instance.
  [[nodiscard]] std::size_t active_attempts_at(EngineId instance) const;

 private:
  // The end of an attempt and what follows from it.
  struct AttemptEnd {
    eiderarch::Outcome outcome = eiderarch::Outcome::error;
    Tokens detail = 0;
    eiderarch::LoadReport report;
    bool client_gone = false;
    bool ended_by_error_event = false;
    AnswerPtr answer = {};
    bool passed_on = false;
    bool ended_by_instance = false;  // by the instance, which no longer works on the request
    bool answered = false;           // the instance has answered something, so the attempt had arrived
    AnswerEnd answer_end = AnswerEnd::none;
  };
  // One attempt, from the module's Send to its end.
  struct CurrentAttempt {
    eiderarch::Send command;
    int number = 0;  // as the module counts
    Time sent{0};
    ExecutionRecord::Place place;
    bool prefill = false;  // at an instance that can't execute the request
    std::optional<Time> written;
    bool aborted = false;
    std::optional<EngineId> reservation_at;  // to be requested once the request has been written
    std::optional<AttemptEnd> end;
  };

  // Why a request is refused as it arrives, and the advised delay before a retry.
  struct Refusal {
    Ending::Cause cause;
    Duration retry_delay;
  };
  [[nodiscard]] std::optional<Refusal> refusal_on_arrival(const ClientRequest& client_request) const;

  // The lifecycle of a request, in request_lifecycle.cpp.
  Task serve(Request& r);
  // Starts the timers for the client's deadline for the first token.
  void watch_deadline(Request& r);
  // Whether the event ends a request that has no current attempt; its final answer has then been given.
  bool end_between_attempts(Request& r, const RequestEvent& event);
  CurrentAttempt begin_attempt(Request& r, const eiderarch::Send& command);
  // Opens the attempt's connection; false if nothing was or will be sent.
  bool open(Request& r, const CurrentAttempt& attempt);
  // Applies one event to the current attempt, which may end it.
  void attempt_step(Request& r, CurrentAttempt& attempt, RequestEvent& event);
  void close_attempt(Request& r, CurrentAttempt& attempt);
  void record_attempt(Request& r, const CurrentAttempt& attempt);
  void account_for_execution(Request& r, const CurrentAttempt& attempt);
  void account_for_held_caches(Request& r, const CurrentAttempt& attempt);
  // Gives the client its final answer if the end of the attempt brought one; false if the request continues.
  bool conclude_attempt(Request& r, CurrentAttempt& attempt);
  // The same for an attempt whose stream has begun.
  bool conclude_stream(Request& r, CurrentAttempt& attempt);
  void conclude_unanswered(Request& r, AttemptEnd& end);
  void report_attempt_end(const Request& r, CurrentAttempt& attempt, bool final);
  [[nodiscard]] static AttemptEnd evaluate(const AttemptResult& result, bool prefill);
  void log_failure(const Request& r, const CurrentAttempt& attempt) const;
  void reserve(Request& r, EngineId decode_instance);
  // Handles the answer to a reservation that was requested beside the prefill `attempt`.
  void reservation_answered(RequestId id, const PayloadPtr& payload, EngineId decode_instance, int attempt,
                            RequestId module_id, ReservationAnswer answer);
  [[nodiscard]] HeldCaches::AttemptState attempt_state(RequestId id) const;
  // What was held for the request has been released because the release time was up.
  void held_overdue(RequestId id, Duration held_for);
  [[nodiscard]] bool may_send(EngineId instance) const;
  // Whether the event has to wait until the instance of the last attempt has received its close; it is
  // delivered again then.
  bool postpone(Request& r, const RequestEvent& event);
  [[nodiscard]] bool at_prefill_instance(const eiderarch::Send& command) const;
  [[nodiscard]] ExecutionRecord::Place place_of(EngineId instance, Time sent) const;
  // Final check against a repeat that the class forbids: the repeat is not sent, and the request fails.
  bool may_execute_again(Request& r, EngineId instance);
  void fail_forbidden_repeat(Request& r);
  [[nodiscard]] eiderarch::RequestClass class_settings(std::uint32_t request_class) const;
  [[nodiscard]] eiderarch::RequestClass request_class(const Request& r) const;
  [[nodiscard]] bool repeat_safe(const Request& r) const;
  void refuse(Request& r, Ending::Cause cause, Duration stay_away = {});
  void fail(Request& r, Ending::Cause cause);
  // Records how the request ends and returns the ending for its reply.
  const Ending& set_ending(Request& r, RequestRecord::Result result, Ending::Cause cause,
                           Duration stay_away = {});
  void report_end(const Request& r);

  // A request's stream and its resumption, in stream.cpp.
  void begin_stream(Request& r, const CurrentAttempt& attempt);
  // Applies one event of the attempt, the client or a timer to the stream; returns the attempt's end if it
  // ended.
  std::optional<AttemptEnd> stream_step(Request& r, RequestEvent& event);
  // Ends the stream for its client and the counters; false if its instance was lost, so that it may be
  // resumed.
  bool end_stream(Request& r, const AttemptEnd& end);
  // Continues the answer at another instance; the module knows the request by a new id from here on.
  void resume(Request& r, const StreamContinuation& continuation);
  void break_off(Request& r);
  void start_stall_timer(Request& r, Duration time_limit);
  // Records an event and starts the timer for the next one. The limit follows the instance's event rate if
  // another instance could continue the stream.
  void record_stream_event(Request& r);
  [[nodiscard]] bool watches_silence(const Request& r) const;
  [[nodiscard]] bool may_continue_elsewhere(const Request& r) const;

  // The end of this process, in shutdown.cpp.
  Task follow_stream(Request& r);
  void answer_aborted(Request& r);

  // The decision module, in conductor.cpp.
  void post(eiderarch::Event event);
  void flush();
  void execute(const eiderarch::Action& action);
  void probe(EngineId instance);
  void set_module_timer(const eiderarch::SetTimer& command);
  void deliver(RequestId module_id, RequestEvent event);
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
  RequestCounters figures_;
  RequestId last_id_ = 0;
  std::map<RequestId, std::unique_ptr<Request>> requests_;
  std::map<RequestId, RequestId> aliases_;  // later module ids of requests that were resumed
  recovery::FailureDetector failure_detector_;
  HeldCaches held_;
  bool abandoned_ = false;           // see abandon
  std::optional<Time> refuse_from_;  // see refuse_from
  std::vector<eiderarch::Event> events_;
  bool flush_due_ = false;
  std::map<std::uint64_t, std::unique_ptr<Timer>> module_timers_;
  std::uint64_t last_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bankmux::core
