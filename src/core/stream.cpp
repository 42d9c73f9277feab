#include <algorithm>
#include <chrono>
#include <utility>

#include "core/conductor.hpp"

namespace bankmux::core {

using namespace std::chrono_literals;
using eiderarch::Outcome;

namespace {

// Stall limit of a stream that another instance may continue, once its instance has left the list.
constexpr Duration kLostInstanceStallLimit = 3s;
constexpr Duration kUnreadInputDelay = 10ms;  // until a delayed loop has reported input that has arrived

}  // namespace

void Conductor::begin_stream(Request& r, const CurrentAttempt& attempt) {
  r.streaming = true;
  if (!r.first) r.first = scheduler_.now();
  r.deadline_timer.reset();
  r.decision_timer.reset();
  r.attempt_timer.reset();
  r.last_event.reset();
  if (!r.resumed) r.reply->begin();
  r.rate_tracked = r.reply->may_continue_answer();
  if (r.rate_tracked) failure_detector_.began(attempt.command.engine);
  held_.forget(r.id);
  post(eiderarch::StreamStarted{r.module_id, attempt.number, attempt.command.engine,
                                scheduler_.now() - attempt.sent});
}

std::optional<Conductor::AttemptEnd> Conductor::stream_step(Request& r, RequestEvent& event) {
  if (const auto* data = std::get_if<AnswerData>(&event)) {
    record_stream_event(r);
    r.reply->data(data->bytes);
    if (r.reply->continuation_mismatched()) return AttemptEnd{Outcome::cancelled, 0, {}, false};
    // Limits memory: a fast instance must not fill it for a client that reads slowly.
    if (r.reply->wait_for_output_room([&r] { r.inbox.push(ClientCaughtUp{}); })) {
      r.attempt->pause(true);
      r.stall_timer.reset();  // the stream now waits for the client, not for the instance
      r.last_event.reset();
    }
  } else if (std::holds_alternative<ClientCaughtUp>(event)) {
    r.attempt->pause(false);
    r.silent_since = scheduler_.now();
    start_stall_timer(r, settings_.stall_limit);
  } else if (std::holds_alternative<InstanceLost>(event)) {
    // A vanished machine sends no reset. One that is off the list may still finish its stream, so the wait
    // for its next event is shortened only where nothing is lost by it.
    const bool ends_sooner =
        r.stall_timer != nullptr && r.stalled_at <= scheduler_.now() + kLostInstanceStallLimit;
    if (!ends_sooner && may_continue_elsewhere(r)) start_stall_timer(r, kLostInstanceStallLimit);
  } else if (std::holds_alternative<StreamStalled>(event)) {
    if (r.attempt && r.attempt->has_unread_input()) {
      start_stall_timer(r, kUnreadInputDelay);
      return std::nullopt;
    }
    if (watches_silence(r)) {
      const Duration silent = scheduler_.now() - *r.last_event;
      const Duration more = failure_detector_.time_until_lost(r.instance, scheduler_.now(), silent);
      if (more > 0us) {
        start_stall_timer(r, more);
        return std::nullopt;
      }
      ++figures_.suspected;
    }
    AttemptEnd silent{Outcome::reset, 0, {}, false};
    silent.answer_end = AnswerEnd::silent;
    return silent;
  } else if (std::holds_alternative<PassedOn>(event)) {
    return AttemptEnd{Outcome::cancelled, 0, {}, false, false, {}, true};
  }
  return std::nullopt;
}

bool Conductor::end_stream(Request& r, const AttemptEnd& end) {
  if (end.passed_on) {
    ++figures_.passed_on;
    r.result = RequestRecord::Result::passed_on;
  } else if (end.client_gone) {
    ++figures_.gone;
    r.result = RequestRecord::Result::gone;
  } else if (end.outcome == Outcome::served) {
    ++figures_.served;
    r.result = RequestRecord::Result::served;
    if (r.resumed) ++figures_.saved;
    r.reply->end();
  } else {
    return false;
  }
  return true;
}

void Conductor::break_off(Request& r) {
  ++figures_.broken;
  r.reply->abort(set_ending(r, RequestRecord::Result::broken, Ending::Cause::broke_off));
}

void Conductor::resume(Request& r, const StreamContinuation& continuation) {
  ++figures_.continued;
  r.resumed = true;
  r.streaming = false;
  r.ending.ended_by_error_event = false;
  r.attempts_before = r.attempts;
  r.client_request.payload = continuation.payload;
  eiderarch::RequestArrived& facts = r.client_request.facts;
  r.module_id = facts.id = ++last_id_;
  aliases_[r.module_id] = r.id;
  facts.resumed = true;
  facts.lost_at = r.instance;
  facts.prompt_tokens += continuation.written - r.tokens_written;
  r.tokens_written = continuation.written;
  if (continuation.left > 0) facts.max_output = continuation.left;
  facts.deadline = scheduler_.now() + continuation.timeout;
  watch_deadline(r);
  post(facts);
}

// Starts the timer for the next event of the stream.
void Conductor::start_stall_timer(Request& r, Duration time_limit) {
  r.stalled_at = scheduler_.now() + time_limit;
  r.stall_timer = scheduler_.at(r.stalled_at, [&r] { r.inbox.push(StreamStalled{}); });
}

bool Conductor::watches_silence(const Request& r) const { return r.last_event && may_continue_elsewhere(r); }

bool Conductor::may_continue_elsewhere(const Request& r) const {
  return repeat_safe(r) && r.reply->may_continue_answer();
}

void Conductor::record_stream_event(Request& r) {
  const Time now = scheduler_.now();
  if (r.rate_tracked && r.last_event) failure_detector_.event(r.instance, now, now - *r.last_event);
  r.last_event = r.silent_since = now;
  start_stall_timer(r, watches_silence(r) ? failure_detector_.limit(r.instance) : settings_.stall_limit);
}

}  // namespace bankmux::core
