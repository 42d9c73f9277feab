// One request while it is in hand: what it waits for, and what is known of it and of its attempts.
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

// What has come up for a request, beside the module's commands (Send, Cancel, Refuse, Fail, ClaimWriter) and
// the end of its attempt (AttemptResult).
struct RequestWritten {};  // its last byte is out to the instance
struct AnswerData {
  std::string bytes;
};
struct ClientGone {};
struct DeadlinePassed {};   // the client's wait for a first token is over
struct DecisionOverdue {};  // and the module has not ended it
struct AttemptTimedOut {};  // the module's limit on this attempt
struct SendTooLate {};      // the module's limit on when its last byte may leave
struct StreamStalled {};
struct ClientCaughtUp {};  // it has taken what it was given
struct HeldOverdue {};     // what was held has been released, for its time was up
struct InstanceLost {};    // the list no longer knows the attempt's instance
struct Aborted {};         // this process is about to be ended
struct PassedOn {};        // another process goes on with its stream

using RequestEvent =
    std::variant<eiderarch::Send, eiderarch::Cancel, eiderarch::Refuse, eiderarch::Fail,
                 eiderarch::ClaimWriter, RequestWritten, AnswerData, AttemptResult, ClientGone,
                 DeadlinePassed, DecisionOverdue, AttemptTimedOut, SendTooLate, StreamStalled, ClientCaughtUp,
                 HeldOverdue, InstanceLost, Aborted, PassedOn>;

struct Request : AttemptEvents {
  RequestId id = 0;
  RequestId module_id = 0;  // the module's name for it: a new one each time its stream is resumed
  Ask ask;
  std::unique_ptr<ClientReply> reply;
  Inbox<RequestEvent> inbox;
  std::unique_ptr<Timer> deadline, overdue, limit, too_late, stall;
  // Until then the instance of the last attempt may not have heard that its connection was closed.
  Time closing_until{0};
  std::unique_ptr<Timer> postponed;  // brings the event that waits for that
  bool aborted = false;              // see Conductor::abandon; nothing else is to become of it
  std::unique_ptr<Attempt> attempt;
  EngineId engine = 0;  // of the attempt that is out
  int attempts = 0;
  int attempts_before = 0;    // under its earlier names
  bool streaming = false;     // the attempt that is out has begun its part of the answer
  Tokens tokens_written = 0;  // of its answer, told to the module as a part of the prompt
  bool resumed = false;       // the answer has begun, at an instance that was lost
  ExecutionRecord execution;
  bool repeat_barred = false;       // the guard at its attempt's first byte did not let it out
  bool execution_recorded = false;  // its reply knows that this attempt may execute it
  // The attempt that is out took the place of a release that had not arrived there.
  bool owes_release = false;
  eiderarch::Outcome last = eiderarch::Outcome::skipped;
  Time arrived{0};
  std::optional<Time> first;       // when its stream began
  std::optional<Time> last_event;  // of the attempt that is out; none while its client holds it back
  bool paced = false;              // the attempt that is out counts at its instance's pace
  std::vector<AttemptRecord> trail;
  RequestRecord::Result result = RequestRecord::Result::failed;
  Ending ending;
  Task lifecycle;

  void on_written() override { inbox.push(RequestWritten{}); }
  void on_data(std::string bytes) override { inbox.push(AnswerData{std::move(bytes)}); }
  void on_ended(AttemptResult end) override { inbox.push(std::move(end)); }

  // The number of the last attempt, as the module counts.
  [[nodiscard]] int attempt_number() const { return attempts - attempts_before - 1; }
};

}  // namespace bankmux::core
