// The state of one open request: its events, its attempts, and what is known of their execution.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/execution.hpp"
#include "core/ports.hpp"
#include "core/request_record.hpp"
#include "core/task.hpp"

namespace bankmux::core {

// Events of a request, beside the module's commands (Send, Cancel, Refuse, Fail, ClaimWriter) and the end of
// its attempt (AttemptResult).
struct RequestWritten {};  // the last byte has been written to the instance
struct AnswerData {
  std::string bytes;
};
struct ClientGone {};
struct DeadlinePassed {};   // the client's limit for the first token has passed
struct DecisionOverdue {};  // the module has not ended the request soon after that
struct AttemptTimedOut {};  // the module's time limit for this attempt has passed
struct SendTooLate {};      // the module's limit for writing the last byte has passed
struct StreamStalled {};
struct ClientCaughtUp {};  // the client has read what was sent to it
struct HeldOverdue {};     // the request's held caches were released at the end of the release time
struct InstanceLost {};    // the attempt's instance has left the list or has been replaced
struct Aborted {};         // this process is about to be terminated
struct PassedOn {};        // another process continues the stream

using RequestEvent =
    std::variant<eiderarch::Send, eiderarch::Cancel, eiderarch::Refuse, eiderarch::Fail,
                 eiderarch::ClaimWriter, RequestWritten, AnswerData, AttemptResult, ClientGone,
                 DeadlinePassed, DecisionOverdue, AttemptTimedOut, SendTooLate, StreamStalled, ClientCaughtUp,
                 HeldOverdue, InstanceLost, Aborted, PassedOn>;

struct Request : AttemptEvents {
  RequestId id = 0;
  RequestId module_id = 0;  // its id at the module: a new one each time its stream is resumed
  ClientRequest client_request;
  std::unique_ptr<ClientReply> reply;
  Inbox<RequestEvent> inbox;
  std::unique_ptr<Timer> deadline_timer, decision_timer, attempt_timer, send_timer, stall_timer;
  Time stalled_at{0};  // when `stall_timer` ends the wait for the stream's next event
  // Up to this time the last attempt's instance may not have received the close of its connection.
  Time closing_until{0};
  std::unique_ptr<Timer> postponed_event;  // delivers the event that waits until `closing_until`
  bool aborted = false;                    // see Conductor::abandon; ignores further commands of the module
  std::unique_ptr<Attempt> attempt;
  EngineId instance = 0;  // of the current attempt
  int attempts = 0;
  int attempts_before = 0;    // under its earlier module ids
  bool streaming = false;     // the current attempt has begun its part of the answer
  Tokens tokens_written = 0;  // answer tokens counted to the module as part of the prompt
  bool resumed = false;       // the answer was begun by an instance that was lost
  ExecutionRecord execution;
  bool repeat_forbidden = false;    // the check before the current attempt's first byte forbade it
  bool execution_recorded = false;  // `ClientReply::on_sending` was called for the current attempt
  // The current attempt replaced a release that had not arrived at its instance.
  bool inherited_release = false;
  eiderarch::Outcome last_outcome = eiderarch::Outcome::skipped;
  Time arrived{0};
  std::optional<Time> first;       // when its stream began
  std::optional<Time> last_event;  // of the current attempt; empty while the client holds it back
  Time silent_since{0};            // when the wait for the next event of the stream began
  bool rate_tracked = false;       // the current attempt counts towards its instance's event rate
  std::vector<AttemptRecord> trail;
  RequestRecord::Result result = RequestRecord::Result::failed;
  Ending ending;
  Task lifecycle;

  void on_written() override { inbox.push(RequestWritten{}); }
  void on_data(std::string bytes) override { inbox.push(AnswerData{std::move(bytes)}); }
  void on_ended(AttemptResult end) override {
    const int ended_attempt = attempts;
    if (!end.last_data.empty()) inbox.push(AnswerData{std::move(end.last_data)});
    // The data may have ended the attempt, and the next one may have begun.
    if (attempt != nullptr && attempts == ended_attempt) inbox.push(std::move(end));
  }

  // The number of the last attempt as the module counts.
  [[nodiscard]] int attempt_number() const { return attempts - attempts_before - 1; }
};

}  // namespace bankmux::core
