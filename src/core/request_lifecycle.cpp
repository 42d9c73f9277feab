#include <algorithm>
#include <chrono>
#include <utility>

#include "core/conductor.hpp"

namespace bankmux::core {

using namespace std::chrono_literals;
using eiderarch::Outcome;

namespace {

constexpr Duration kDecisionGrace = 12ms;  // past the deadline; the client itself allows 16 ms
// How long the close of a connection may take to reach an instance: several times the longest path between
// zones. A further attempt on a pooled connection to a nearby instance, or an answer to a client, is faster.
constexpr Duration kCloseDelivery = 10ms;
// A connection attempt that is given up after at least this long counts against its instance.
constexpr Duration kSlowConnect = 100ms;
// Sending stops this long before the end of the drain's grace, since the bytes take time to arrive.
constexpr Duration kDrainMargin = 100ms;

}  // namespace

// Serves one request. Events from the module (Send, Cancel, ClaimWriter, Refuse, Fail), the attempt, the
// client and the timers arrive in one inbox. The outer loop waits for the module's next command, the inner
// one follows the current attempt, so that there are never two attempts at once.
Task Conductor::serve(Request& r) {
  post(r.client_request.facts);
  bool over = false;
  while (!over) {
    const RequestEvent event = co_await r.inbox.next();
    if (postpone(r, event)) continue;
    if (end_between_attempts(r, event)) break;
    const auto* command = std::get_if<eiderarch::Send>(&event);
    if (command == nullptr) continue;  // concerns an attempt that has ended

    CurrentAttempt attempt = begin_attempt(r, *command);
    while (!attempt.end) {
      RequestEvent step = co_await r.inbox.next();
      attempt_step(r, attempt, step);
    }
    close_attempt(r, attempt);
    record_attempt(r, attempt);
    account_for_execution(r, attempt);
    account_for_held_caches(r, attempt);
    over = conclude_attempt(r, attempt);
  }
  r.deadline_timer.reset();
  r.decision_timer.reset();
  r.postponed_event.reset();
  r.reply.reset();
  if (!r.streaming) held_.release_all(r.id);
  report_end(r);
}

void Conductor::watch_deadline(Request& r) {
  const Time deadline = r.client_request.facts.deadline;
  r.deadline_timer = scheduler_.at(deadline, [&r] { r.inbox.push(DeadlinePassed{}); });
  r.decision_timer = scheduler_.at(deadline + kDecisionGrace, [&r] { r.inbox.push(DecisionOverdue{}); });
}

bool Conductor::end_between_attempts(Request& r, const RequestEvent& event) {
  const auto* refusal = std::get_if<eiderarch::Refuse>(&event);
  const bool fails = std::holds_alternative<eiderarch::Fail>(event);
  const bool overdue = std::holds_alternative<DecisionOverdue>(event);
  if (r.resumed && (refusal != nullptr || fails || overdue)) {
    // The client already has a part of the answer, so no other answer can follow.
    if (overdue) post(eiderarch::RequestGone{r.module_id});
    break_off(r);
  } else if (refusal != nullptr && !r.execution.permits_refusal(request_class(r))) {
    fail_forbidden_repeat(r);
  } else if (refusal != nullptr) {
    refuse(r, Ending::Cause::refused, refusal->stay_away);
  } else if (fails) {
    fail(r, Ending::Cause::failed);
  } else if (std::holds_alternative<ClientGone>(event)) {
    ++figures_.gone;
    r.result = RequestRecord::Result::gone;
    post(eiderarch::RequestGone{r.module_id});
  } else if (std::holds_alternative<Aborted>(event)) {
    post(eiderarch::RequestGone{r.module_id});
    answer_aborted(r);
  } else if (overdue) {
    // Guarantees the final answer in time: the client's wait ends here even if the module has not decided
    // yet.
    fail(r, Ending::Cause::no_decision);
    post(eiderarch::RequestGone{r.module_id});
  } else {
    return false;
  }
  return true;
}

Conductor::CurrentAttempt Conductor::begin_attempt(Request& r, const eiderarch::Send& command) {
  ++r.attempts;
  CurrentAttempt attempt;
  attempt.command = command;
  attempt.number = r.attempt_number();
  attempt.sent = scheduler_.now();
  attempt.place = place_of(command.engine, attempt.sent);
  attempt.prefill = at_prefill_instance(command);
  if (!open(r, attempt)) attempt.end = AttemptEnd{Outcome::skipped, 0, {}, false};
  return attempt;
}

bool Conductor::open(Request& r, const CurrentAttempt& attempt) {
  const eiderarch::Send& command = attempt.command;
  const Fleet::Member* member = fleet_.find(command.engine);
  const Time now = scheduler_.now();
  if (member == nullptr || r.streaming || now >= r.client_request.facts.deadline) return false;
  if (r.attempts > settings_.module.limits.max_attempts) return false;
  ++figures_.attempts;
  Duration time_limit = r.client_request.facts.deadline - now;
  if (command.timeout > 0us && command.timeout < time_limit) {
    time_limit = command.timeout;
    r.attempt_timer = scheduler_.at(now + time_limit, [&r] { r.inbox.push(AttemptTimedOut{}); });
  }
  if (attempt.prefill) held_.add_prefill(r.id, r.client_request.payload, command.engine);
  r.instance = command.engine;
  r.execution_recorded = false;
  if (command.by > 0us) r.send_timer = scheduler_.at(command.by, [&r] { r.inbox.push(SendTooLate{}); });
  const Time not_after = now + time_limit;
  const auto may_write = [this, &r, prefill = attempt.prefill, instance = command.engine, by = command.by,
                          not_after] {
    if (!may_send(instance) || (by > 0us && scheduler_.now() >= by)) return false;
    // Connecting takes time, and a delayed loop handles the established connection before it handles a
    // client's close or an expired deadline.
    if (scheduler_.now() >= not_after || r.reply->client_closed()) return false;
    // Whoever records possible executions needs the record before the first byte.
    if (!prefill && !may_execute_again(r, instance)) return false;
    if (!prefill && !std::exchange(r.execution_recorded, true)) r.reply->on_sending();
    // A pending release there would release what this attempt is about to create or fetch. From here on the
    // attempt accounts for what that release covered. The release continues while the attempt connects, since
    // a request that has not arrived does not stop the release clock.
    r.inherited_release |= held_.withdraw_releases(r.id, r.client_request.payload, instance);
    return true;
  };
  // A prefill has no effect, and new connections are expensive for busy prefill instances.
  const bool harmless = attempt.prefill || repeat_safe(r);
  const ConnectionTerms terms{harmless};
  r.attempt = instances_.start(member->target, r.client_request.payload, not_after, terms, may_write, r);
  return true;
}

void Conductor::attempt_step(Request& r, CurrentAttempt& attempt, RequestEvent& event) {
  if (std::holds_alternative<RequestWritten>(event)) {
    attempt.written = scheduler_.now();
    ++figures_.written;
    // The reservation is requested once the prefill is written: before that, the decode instance may not know
    // of it.
    if (attempt.reservation_at) reserve(r, *attempt.reservation_at);
  } else if (const auto* ahead = std::get_if<eiderarch::ClaimWriter>(&event)) {
    attempt.reservation_at = ahead->engine;
    if (attempt.written) reserve(r, *attempt.reservation_at);
  } else if (std::holds_alternative<AnswerData>(event)) {
    if (!r.streaming) begin_stream(r, attempt);
    attempt.end = stream_step(r, event);
  } else if (const auto* result = std::get_if<AttemptResult>(&event)) {
    attempt.end = evaluate(*result, attempt.prefill);
  } else if (std::holds_alternative<ClientGone>(event)) {
    attempt.end = AttemptEnd{Outcome::cancelled, 0, {}, true};
    post(eiderarch::RequestGone{r.module_id});
  } else if (r.streaming || std::holds_alternative<StreamStalled>(event)) {
    // The stream belongs to the client now: neither the module's commands nor a deadline apply any more.
    attempt.end = stream_step(r, event);
  } else if (std::holds_alternative<Aborted>(event)) {
    attempt.end = AttemptEnd{outcome_given_up(r.attempt->progress(), Outcome::cancelled), 0, {}, false};
    attempt.aborted = true;
  } else if (const auto* cancel = std::get_if<eiderarch::Cancel>(&event)) {
    if (cancel->attempt == attempt.number) attempt.end = AttemptEnd{Outcome::cancelled, 0, {}, false};
  } else if (std::holds_alternative<DeadlinePassed>(event) ||
             std::holds_alternative<AttemptTimedOut>(event)) {
    // A request that was not written completely never ran, so a retry may be called harmless.
    attempt.end = AttemptEnd{outcome_given_up(r.attempt->progress(), Outcome::timed_out), 0, {}, false};
  } else if (std::holds_alternative<SendTooLate>(event) && r.attempt->progress() <= Progress::unwritten) {
    // Its last byte would arrive outside the window in which the class may be repeated.
    attempt.end = AttemptEnd{Outcome::not_connected, 0, {}, false};
  } else if (std::holds_alternative<HeldOverdue>(event) && !attempt.prefill &&
             r.attempt->progress() <= Progress::unwritten) {
    // The cache that it was to fetch has been released, and it has not arrived. If connecting has just begun,
    // that says nothing about the instance: it then counts as one that found no cache.
    const bool slow = scheduler_.now() - attempt.sent >= kSlowConnect;
    attempt.end =
        slow ? AttemptEnd{Outcome::not_connected, 0, {}, false} : AttemptEnd{Outcome::busy, 1, {}, false};
  }
}

void Conductor::close_attempt(Request& r, CurrentAttempt& attempt) {
  r.attempt_timer.reset();
  r.send_timer.reset();
  r.stall_timer.reset();
  log_failure(r, attempt);
  // The attempt is closed before anything else is sent, and its instance gets time to receive the close:
  // there are never two attempts at once.
  if (r.attempt && r.attempt->progress() >= Progress::written && !attempt.end->ended_by_instance) {
    r.closing_until = scheduler_.now() + kCloseDelivery;
  }
  r.attempt.reset();
  if (std::exchange(r.rate_tracked, false)) failure_detector_.ended(r.instance);
}

void Conductor::record_attempt(Request& r, const CurrentAttempt& attempt) {
  const Fleet::Member* member = fleet_.find(attempt.command.engine);
  const Time now = scheduler_.now();
  const AttemptEnd& end = *attempt.end;
  if (end.answered) fleet_.record_answer(attempt.command.engine, now);
  r.trail.push_back({member != nullptr ? member->target.id : "?", attempt.prefill, attempt.sent - r.arrived,
                     attempt.written ? *attempt.written - r.arrived : Duration{-1}, now - r.arrived,
                     end.outcome, end.answered, end.answer_end});
}

void Conductor::account_for_execution(Request& r, const CurrentAttempt& attempt) {
  const Outcome outcome = attempt.end->outcome;
  r.last_outcome = outcome;
  if (!attempt.prefill) r.execution.note(attempt.place, outcome);
  if (eiderarch::proves_not_executed(outcome) && std::exchange(r.execution_recorded, false)) {
    r.reply->on_not_executed();
  }
}

void Conductor::account_for_held_caches(Request& r, const CurrentAttempt& attempt) {
  const EngineId instance = attempt.command.engine;
  const AttemptEnd& end = *attempt.end;
  const bool never_ran = eiderarch::proves_not_executed(end.outcome);
  const bool inherited_release = std::exchange(r.inherited_release, false);
  if (attempt.prefill) {
    if (end.outcome == Outcome::state_held) return held_.restart_clock(r.id);
    held_.remove_holder(r.id, instance);
    const bool may_go_on = !never_ran && !end.answered && !end.ended_by_instance;
    if (may_go_on) {
      held_.release_cut_off_prefill(r.id, r.client_request.payload, instance,
                                    r.client_request.facts.deadline);
    } else if (!never_ran || inherited_release) {
      held_.release_at(r.id, r.client_request.payload, instance);
    }
    return;
  }
  if (never_ran && inherited_release) {
    held_.release_at(r.id, r.client_request.payload, instance);
    return;
  }
  // Its connection may have stopped delivering data: then the instance has not received the close, and keeps
  // the reservation and the cache that it fetched. Only its own answer proves that it holds nothing.
  const bool may_still_hold =
      end.outcome == Outcome::timed_out || end.outcome == Outcome::cancelled || end.outcome == Outcome::reset;
  if (may_still_hold && !r.streaming && end.answer == nullptr && held_.may_hold_any(r.id)) {
    held_.add_holder(r.id, r.client_request.payload, instance);
  }
  // A write into a local socket proves nothing: only an answer shows that the attempt had arrived.
  end.answered ? held_.restart_clock(r.id) : held_.continue_clock(r.id);
}

bool Conductor::conclude_attempt(Request& r, CurrentAttempt& attempt) {
  AttemptEnd& end = *attempt.end;
  if (r.streaming) {
    if (!conclude_stream(r, attempt)) return false;
  } else {
    conclude_unanswered(r, end);
  }
  const bool forbidden = std::exchange(r.repeat_forbidden, false);
  if (forbidden) fail_forbidden_repeat(r);
  const bool over = forbidden || r.streaming || end.client_gone || end.answer != nullptr;
  report_attempt_end(r, attempt, over || attempt.aborted);
  if (attempt.aborted && !over) r.inbox.push(Aborted{});
  return over;
}

bool Conductor::conclude_stream(Request& r, CurrentAttempt& attempt) {
  if (end_stream(r, *attempt.end)) return true;
  r.ending.ended_by_error_event = attempt.end->ended_by_error_event;
  const bool may = repeat_safe(r) && r.attempts < settings_.module.limits.max_attempts;
  const StreamContinuation continuation = may ? r.reply->continue_answer() : StreamContinuation{};
  switch (continuation.what) {
    case StreamContinuation::What::go_on:
      report_attempt_end(r, attempt, true);
      resume(r, continuation);
      return false;
    case StreamContinuation::What::finished:
      ++figures_.served;
      ++figures_.finished;
      r.result = RequestRecord::Result::served;
      r.reply->end();
      return true;
    case StreamContinuation::What::broken:
      break;
  }
  break_off(r);
  return true;
}

void Conductor::conclude_unanswered(Request& r, AttemptEnd& end) {
  if (end.outcome == Outcome::served) {
    // An answer without a single event: nothing was served, although it has run.
    end.outcome = Outcome::error;
  } else if (end.client_gone) {
    ++figures_.gone;
    r.result = RequestRecord::Result::gone;
  } else if (end.answer != nullptr && r.resumed) {
    break_off(r);  // the other instance did not accept the answer's continuation
  } else if (end.answer != nullptr) {
    ++figures_.failed;
    r.result = RequestRecord::Result::rejected;
    r.reply->relay(*end.answer);
  }
}

void Conductor::report_attempt_end(const Request& r, CurrentAttempt& attempt, bool final) {
  AttemptEnd& end = *attempt.end;
  post(eiderarch::AttemptEnded{r.module_id, attempt.number, attempt.command.engine, end.outcome,
                               scheduler_.now() - attempt.sent, final, end.detail, std::move(end.report)});
}

Conductor::AttemptEnd Conductor::evaluate(const AttemptResult& result, bool prefill) {
  AttemptEnd end;
  end.outcome = outcome_of(result, prefill);
  end.ended_by_instance = !result.closed_here;
  end.answer_end = result.answer_end;
  end.answered = result.verdict != Verdict::broken || result.progress >= Progress::head;
  if (result.verdict == Verdict::broken) {
    end.ended_by_error_event = result.ended_by_error_event;
    return end;
  }
  const bool read = result.verdict == Verdict::served || result.verdict == Verdict::state_held;
  end.detail = read ? result.cached_tokens : result.verdict == Verdict::no_state ? 1 : 0;
  end.report = result.report;
  end.answer = result.answer;
  return end;
}

void Conductor::log_failure(const Request& r, const CurrentAttempt& attempt) const {
  const AttemptEnd& end = *attempt.end;
  const char* what = nullptr;
  if (end.answer != nullptr) what = "rejected";
  switch (end.outcome) {
    case Outcome::error:
      what = "error";
      break;
    case Outcome::timed_out:
      what = "timed out";
      break;
    case Outcome::not_connected:
      what = "not connected";
      break;
    case Outcome::reset:
      what = "broken off";
      break;
    default:
      break;
  }
  if (what == nullptr) return;
  const Fleet::Member* member = fleet_.find(attempt.command.engine);
  const Duration after = scheduler_.now() - attempt.sent;
  log_("attempt", "request " + r.client_request.name + " at " +
                      (member != nullptr ? member->target.id : "?") + ": " + what + " after " +
                      std::to_string(after.count() / 1000) + " ms" +
                      (r.streaming ? ", within its stream" : ""));
}

// Called by every kind of send except a release, just before its first byte: nothing is first sent later than
// the drain's grace after the drain was announced, connecting included.
bool Conductor::may_send(EngineId instance) const {
  const Fleet::Member* member = fleet_.find(instance);
  if (member == nullptr || member->in_maintenance) return false;
  const Duration grace =
      std::max<Duration>(settings_.module.rules.drain_grace - kDrainMargin - settings_.discovery_delay, 0us);
  return !member->draining_since || scheduler_.now() - *member->draining_since < grace;
}

void Conductor::reserve(Request& r, EngineId decode_instance) {
  const Fleet::Member* member = fleet_.find(decode_instance);
  if (member == nullptr || !may_send(decode_instance)) return;
  held_.reservation_requested(r.id, r.client_request.payload, decode_instance);
  const int number = r.attempt_number();
  instances_.reserve(
      member->target, r.client_request.payload, [this, decode_instance] { return may_send(decode_instance); },
      [this, id = r.id, module_id = r.module_id, number, decode_instance,
       payload = r.client_request.payload](ReservationAnswer answer) {
        reservation_answered(id, payload, decode_instance, number, module_id, answer);
      });
}

void Conductor::reservation_answered(RequestId id, const PayloadPtr& payload, EngineId decode_instance,
                                     int attempt, RequestId module_id, ReservationAnswer answer) {
  const HeldCaches::Reservation worth = held_.reservation_answered(id, payload, decode_instance);
  const auto request = requests_.find(id);
  if (answer != ReservationAnswer::unknown) fleet_.record_answer(decode_instance, scheduler_.now());
  if (worth == HeldCaches::Reservation::not_on_record) {
    // Released while the call was out: the reservation may have been made after the release. Or the stream
    // has begun at another instance, which released everything held by then, but not a later reservation.
    const bool elsewhere = request == requests_.end() || request->second->instance != decode_instance;
    if (answer != ReservationAnswer::not_held && elsewhere) held_.release_at(id, payload, decode_instance);
    return;
  }
  if (worth == HeldCaches::Reservation::released) return;
  if (answer == ReservationAnswer::unknown || request == requests_.end()) return;
  const Request& current = *request->second;
  if (current.module_id != module_id || current.attempt_number() != attempt || !current.attempt) return;
  // A reservation is answered while its prefill is in progress, so the prefill has arrived.
  held_.stop_clock(id);
  post(eiderarch::PlaceAnswer{module_id, attempt, decode_instance, answer == ReservationAnswer::held});
}

HeldCaches::AttemptState Conductor::attempt_state(RequestId id) const {
  const auto request = requests_.find(id);
  if (request == requests_.end() || request->second->attempt == nullptr)
    return HeldCaches::AttemptState::none;
  const bool heard = request->second->attempt->progress() >= Progress::head;
  return heard ? HeldCaches::AttemptState::answered : HeldCaches::AttemptState::unanswered;
}

void Conductor::held_overdue(RequestId id, Duration held_for) {
  ++figures_.held_overdue;
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& r = *it->second;
  const Fleet::Member* member = fleet_.find(r.instance);
  log_("held", "request " + r.client_request.name + ": released what was held for " +
                   std::to_string(held_for.count() / 1000) + " ms; " +
                   (r.attempt == nullptr ? "no attempt is active"
                                         : "no answer yet to its attempt at " +
                                               (member != nullptr ? member->target.id : "?")));
  post(eiderarch::HeldReleased{r.module_id});
  r.inbox.push(HeldOverdue{});
}

bool Conductor::repeat_safe(std::uint32_t request_class) const {
  return class_settings(request_class).effect == eiderarch::Effect::safe;
}

bool Conductor::repeat_safe(const Request& r) const {
  return repeat_safe(r.client_request.facts.request_class);
}

eiderarch::RequestClass Conductor::class_settings(std::uint32_t request_class) const {
  const auto& classes = settings_.module.classes;
  return request_class < classes.size() ? classes[request_class] : eiderarch::RequestClass{};
}

eiderarch::RequestClass Conductor::request_class(const Request& r) const {
  return class_settings(r.client_request.facts.request_class);
}

// Whether an attempt there has no effect. The list and the module must agree, because an entry's kind may
// change or be omitted while a request waits.
bool Conductor::at_prefill_instance(const eiderarch::Send& command) const {
  const Fleet::Member* member = fleet_.find(command.engine);
  return command.prefill && member != nullptr && member->entry.kind < settings_.module.kinds.size() &&
         settings_.module.kinds[member->entry.kind].role == eiderarch::Role::reader;
}

ExecutionRecord::Place Conductor::place_of(EngineId instance, Time sent) const {
  const Fleet::Member* member = fleet_.find(instance);
  if (member == nullptr) return {0, 0, sent};
  return {member->entry.zone, member->entry.cell, sent};
}

bool Conductor::may_execute_again(Request& r, EngineId instance) {
  if (r.execution.permits(request_class(r), place_of(instance, scheduler_.now()))) return true;
  r.repeat_forbidden = true;
  return false;
}

void Conductor::fail_forbidden_repeat(Request& r) {
  log_("guard", "request " + r.client_request.name +
                    " may have been executed: its class forbids a further attempt or a refusal");
  post(eiderarch::RequestGone{r.module_id});
  if (r.resumed) return break_off(r);
  fail(r, Ending::Cause::failed);
}

// An instance receives a close only some time later. A further attempt that overtook it would be a second one
// at once, and a refusal would call a retry harmless while some instance may still work on the request.
bool Conductor::postpone(Request& r, const RequestEvent& event) {
  const bool abandons = std::holds_alternative<Aborted>(event);
  const bool ends_by_itself =
      std::holds_alternative<ClientGone>(event) || std::holds_alternative<DecisionOverdue>(event);
  if (r.aborted && !abandons && !ends_by_itself) return true;  // and it is not delivered again
  r.aborted |= abandons;
  const bool refuses = abandons || std::holds_alternative<eiderarch::Refuse>(event);
  const bool overtakes = std::holds_alternative<eiderarch::Send>(event) || (refuses && !repeat_safe(r));
  if (!overtakes || scheduler_.now() >= r.closing_until) return false;
  r.postponed_event = scheduler_.at(r.closing_until, [this, &r, event] {
    reap_soon();
    r.inbox.push(event);  // last, because it may destroy this timer
  });
  return true;
}

const Ending& Conductor::set_ending(Request& r, RequestRecord::Result result, Ending::Cause cause,
                                    Duration stay_away) {
  r.result = result;
  r.ending = {cause,     r.execution.may_have_executed(), repeat_safe(r),
              stay_away, r.ending.ended_by_error_event,   r.last_outcome};
  return r.ending;
}

void Conductor::refuse(Request& r, Ending::Cause cause, Duration stay_away) {
  ++figures_.refused;
  r.reply->refuse(set_ending(r, RequestRecord::Result::refused, cause, stay_away));
}

void Conductor::fail(Request& r, Ending::Cause cause) {
  ++figures_.failed;
  r.reply->fail(set_ending(r, RequestRecord::Result::failed, cause));
}

void Conductor::report_end(const Request& r) {
  figures_.count_end(r.client_request.facts.request_class, r.result);
  if (!observer_) return;
  const Fleet::Member* member = r.attempts > 0 ? fleet_.find(r.instance) : nullptr;
  observer_({r.client_request, r.result, r.ending, member != nullptr ? member->target.id : "", r.attempts,
             r.first ? *r.first - r.arrived : Duration{-1}, scheduler_.now() - r.arrived, r.trail});
}

}  // namespace bankmux::core
