// The interfaces between the core and its surroundings. The core depends on no wire protocol: the fronts, the
// instances, discovery and the event loop implement these interfaces.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eiderarch/router.hpp"

namespace bankmux::core {

using eiderarch::Duration;
using eiderarch::EngineId;
using eiderarch::RequestId;
using eiderarch::Time;
using eiderarch::Tokens;

// Silence of an instance within its answer after which it counts as lost. The client hears of it within 5 s
// of the last event, also from a process that is held up for 0.15 s.
constexpr Duration kMaxAnswerSilence{4'850'000};

// A request as its front received it. Opaque to the core, which passes it to the instances unchanged.
struct Payload;
using PayloadPtr = std::shared_ptr<const Payload>;

// An instance's own final answer to a request, relayed to the client unchanged. Opaque like the payload.
struct Answer;
using AnswerPtr = std::shared_ptr<const Answer>;

// A pending timer; destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
};

// The clock and the event loop.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  // Unix time in microseconds; never goes backwards.
  [[nodiscard]] virtual Time now() const = 0;
  [[nodiscard]] virtual std::unique_ptr<Timer> at(Time when, std::function<void()> run) = 0;
  // Runs `run` after all events that are ready in the loop now have been handled.
  virtual void soon(std::function<void()> run) = 0;
};

// What is known of a request that ends without a complete answer. The front derives from it whether the
// client may retry.
struct Ending {
  enum class Cause {
    refused,      // the module refused it, and a retry is harmless
    table_full,   // too many requests are open in this process
    shutdown,     // it arrived too late during the shutdown to be answered before the process is killed
    no_decision,  // the client's deadline passed before the module had decided
    failed,       // the module failed it, and a retry may execute it twice
    broke_off,    // its stream broke off after it had begun
  };
  Cause cause = Cause::failed;
  bool may_have_run = false;          // some attempt at a decode instance may have executed it
  bool repeat_safe = false;           // its class may be executed more than once
  Duration stay_away{0};              // advised delay before a retry; 0: no advice
  bool ended_by_error_event = false;  // broke_off: the instance sent an error event within the stream
  eiderarch::Outcome last = eiderarch::Outcome::skipped;  // outcome of the last attempt
};

// How a streamed answer whose instance was lost can be continued.
struct StreamContinuation {
  enum class What {
    broken,    // it cannot be continued
    finished,  // only the end marker was missing; the reply has supplied it
    go_on,     // by sending `payload` to another instance
  };
  What what = What::broken;
  PayloadPtr payload;
  Tokens written = 0;  // answer tokens sent so far; they become part of the prompt
  Tokens left = 0;     // answer tokens that may still follow; 0: limit unchanged
  Duration timeout{0};
};

// A connection that the next process of this conductor takes over: its descriptor, which remains owned by the
// object that returned it, and the connection state needed to continue. The state is opaque to the core.
struct HandoverState {
  int descriptor = -1;
  std::string state;
};

// The client's side of one request. Exactly one final answer is given: refuse, fail or relay, or begin
// followed by end or abort. A reply that is destroyed without a final answer fails the request.
class ClientReply {
 public:
  virtual ~ClientReply() = default;
  // Whether the operating system reports that the client has closed its connection or its sending half. The
  // event for that may still be queued when the loop is delayed.
  [[nodiscard]] virtual bool client_closed() const { return false; }
  // Called just before the first byte of an attempt that may execute the request is written to an instance.
  virtual void on_sending() {}
  // Called when the attempt announced by `on_sending` has ended and proved not to have executed the request.
  virtual void on_not_executed() {}
  virtual void refuse(const Ending& ending) = 0;
  virtual void fail(const Ending& ending) = 0;
  virtual void relay(const Answer& answer) = 0;
  virtual void begin() = 0;
  virtual void data(std::string_view bytes) = 0;
  // Whether the client reads its stream more slowly than data arrives. If so, `room` is called once, when the
  // client has caught up; a client that never catches up is disconnected eventually.
  [[nodiscard]] virtual bool wait_for_output_room(const std::function<void()>& /*room*/) { return false; }
  virtual void end() = 0;
  // Ends an incomplete stream in such a way that the client cannot take it for a complete one.
  virtual void abort(const Ending& ending) = 0;
  // Called when the instance was lost after the stream had begun and executing the request again is harmless.
  virtual StreamContinuation continue_answer() { return {}; }
  // Whether `continue_answer` may succeed, so that an instance may be given up when it is only suspected to
  // have failed.
  [[nodiscard]] virtual bool may_continue_answer() const { return false; }
  // The client's connection in the middle of a stream; nullopt if it cannot be passed on in its present
  // state.
  [[nodiscard]] virtual std::optional<HandoverState> handover_state() const { return std::nullopt; }
  // The connection has been passed on: the reply ends here without writing anything further.
  virtual void detach_after_handover() {}
  // Whether the output of another instance could not be joined to the answer; none of it has been sent.
  [[nodiscard]] virtual bool continuation_mismatched() const { return false; }
};

// How far an attempt has progressed. Up to `unwritten` the instance cannot have executed it.
enum class Progress { not_connected, unwritten, written, head, streaming, ended };

// The instance's answer, or that it gave none (`broken`). `rejected`: the request itself is invalid, and any
// other instance would reject it too.
enum class Verdict { broken, served, state_held, busy, no_state, error, rejected };

// How an instance's answer ended, for the log.
enum class AnswerEnd {
  none,           // there was none
  whole,          // complete, or a status that needs no body
  no_end_marker,  // its framing ended well, but its stream was not complete
  closed,         // the instance closed the connection within it
  reset,          // the connection failed within it
  malformed,
  error_event,  // an error event within its stream
  too_large,
  timed_out,  // within its head or body
  silent,     // within its stream
};

struct AttemptResult {
  Progress progress = Progress::not_connected;
  Verdict verdict = Verdict::broken;
  Tokens cached_tokens = 0;  // prompt tokens found in the instance's KV cache
  eiderarch::LoadReport report;
  bool ended_by_error_event = false;  // ended by an error event within the stream
  AnswerEnd answer_end = AnswerEnd::none;
  AnswerPtr answer;       // set if the request was rejected
  std::string last_data;  // of the answer, not passed to AttemptEvents::on_data before
  // This side closed the connection before the instance had answered completely or ended it. The instance may
  // go on with the request until it receives the close.
  bool closed_here = false;
};

// An instance as named in the discovery list.
struct Target {
  EngineId engine = 0;
  std::string id;
  std::string address;
};

// Receives the events of one attempt. Each of these calls may destroy the attempt. So an attempt makes one
// call for one event, as the last thing that it does, or checks afterwards that it still exists
// (net::DestructionWatch).
class AttemptEvents {
 public:
  virtual ~AttemptEvents() = default;
  // The last byte of the request has been written to the socket.
  virtual void on_written() = 0;
  virtual void on_data(std::string bytes) = 0;
  // The end, with the data that came with it (`last_data`). If that data ends the attempt, its result counts
  // no more.
  virtual void on_ended(AttemptResult result) = 0;
};

// Destroying it closes its connection; no event follows.
class Attempt {
 public:
  virtual ~Attempt() = default;
  [[nodiscard]] virtual Progress progress() const = 0;
  // Whether a part of the answer has arrived that the loop has not yet reported.
  [[nodiscard]] virtual bool has_unread_input() const { return false; }
  // Stops or resumes reading, so that the instance's sending is blocked by flow control.
  virtual void pause(bool /*on*/) {}
  // The instance's connection in the middle of a stream; nullopt if it cannot be passed on in its present
  // state.
  [[nodiscard]] virtual std::optional<HandoverState> handover_state() const { return std::nullopt; }
};

// Conditions under which a request or call may use a pooled connection.
struct ConnectionTerms {
  // The faults of a pooled connection are harmless to this exchange: a reset under the request, which may
  // then be sent again, and a late answer to the previous exchange, which would prove nothing about this one.
  bool failure_harmless = false;
  // Requires a new connection, because every idle one may have stopped delivering data without a reset.
  bool new_connection = false;
};

// The answer to a request for a reservation; `unknown`: none that could be understood.
enum class ReservationAnswer { held, not_held, unknown };

// Sends requests, calls and probes to instances.
class Instances {
 public:
  virtual ~Instances() = default;
  // `may_write` is called once the connection is established, before the first byte, and must not destroy the
  // attempt. The instance is sent the time left from that byte until `not_after`.
  [[nodiscard]] virtual std::unique_ptr<Attempt> start(const Target& target, const PayloadPtr& payload,
                                                       Time not_after, ConnectionTerms terms,
                                                       std::function<bool()> may_write,
                                                       AttemptEvents& events) = 0;
  // Asks a decode instance to reserve a place for the request.
  virtual void reserve(const Target& target, const PayloadPtr& payload, std::function<bool()> may_write,
                       std::function<void(ReservationAnswer)> done) = 0;
  // Releases everything held for the request there. done(true) is called only when the instance has answered
  // the call, since nothing else proves that the call has arrived.
  virtual void release(const Target& target, const PayloadPtr& payload, ConnectionTerms terms,
                       std::function<bool()> may_write, std::function<void(bool)> done) = 0;
  virtual void probe(const Target& target, std::function<bool()> may_write,
                     std::function<void(const AttemptResult&)> done) = 0;
  // The process behind that name has ended or been replaced: drops its connections and what waits on them.
  virtual void drop_connections(const Target& target) = 0;
};

// The source of the list of instances. Updates arrive at Conductor::update_fleet.
class Discovery {
 public:
  virtual ~Discovery() = default;
  virtual void subscribe() = 0;
  virtual void fetch() = 0;
};

// One entry of the discovery list: the module's part, and the name and address, which the module does not
// need.
struct ListEntry {
  eiderarch::EngineEntry entry;
  std::string id;
  std::string address;
};

// An update of the discovery list.
struct FleetUpdate {
  eiderarch::ListScope scope = eiderarch::ListScope::changes;
  std::vector<ListEntry> entries;
};

}  // namespace bankmux::core
