#include <algorithm>
#include <utility>

#include "core/conductor.hpp"

namespace bankmux::core {

using eiderarch::Outcome;

void Conductor::abandon() {
  abandoned_ = true;
  for (auto& [id, r] : requests_) {
    if (!r->streaming && !r->resumed && !r->lifecycle.done()) r->inbox.push(Aborted{});
  }
}

// Refuses the request if a retry is known to be harmless, otherwise fails it.
void Conductor::answer_aborted(Request& r) {
  if (r.execution.permits_refusal(request_class(r))) {
    refuse(r, Ending::Cause::refused);
  } else {
    fail(r, Ending::Cause::failed);
  }
}

std::size_t Conductor::pass_streams(const std::function<bool(const RunningStream&)>& take) {
  std::size_t count = 0;
  for (auto& [id, owned] : requests_) {
    Request& r = *owned;
    if (!r.streaming || r.resumed || r.lifecycle.done() || !r.attempt) continue;
    std::optional<HandoverState> client = r.reply->handover_state();
    std::optional<HandoverState> instance = client ? r.attempt->handover_state() : std::nullopt;
    const Fleet::Member* member = fleet_.find(r.instance);
    if (!instance || member == nullptr) continue;
    const Time now = scheduler_.now();
    if (!take({r.client_request, member->target.id, r.attempts, now - r.arrived, *r.first - r.arrived,
               now - r.silent_since, std::move(*client), std::move(*instance)})) {
      continue;  // not accepted, or not now
    }
    r.reply->detach_after_handover();
    r.inbox.push(PassedOn{});
    ++count;
  }
  return count;
}

RequestId Conductor::take_over(const RunningStream& stream, std::unique_ptr<ClientReply> reply,
                               const MakeAttempt& make) {
  ++figures_.taken_over;
  auto owned = std::make_unique<Request>();
  Request& r = *owned;
  r.client_request = stream.client_request;
  r.reply = std::move(reply);
  r.id = r.module_id = r.client_request.facts.id = ++last_id_;
  r.arrived = scheduler_.now() - stream.age;
  r.first = r.arrived + stream.first;
  r.silent_since = scheduler_.now() - stream.silence;
  r.streaming = true;
  r.execution.assume_executed();
  r.attempts = stream.attempts;
  for (const auto& [instance, member] : fleet_.members()) {
    if (member.target.id == stream.instance_id) r.instance = instance;
  }
  r.attempt = make(r);
  const RequestId id = r.id;
  requests_.emplace(id, std::move(owned));
  if (!r.attempt) r.inbox.push(AttemptResult{});
  r.lifecycle = follow_stream(r);
  return id;
}

// Follows a stream that another process of this conductor began, from here to its end.
Task Conductor::follow_stream(Request& r) {
  const Duration silence = scheduler_.now() - r.silent_since;
  start_stall_timer(r, std::max(settings_.stall_limit - silence, Duration{0}));
  std::optional<AttemptEnd> end;
  while (!end) {
    RequestEvent event = co_await r.inbox.next();
    if (const auto* result = std::get_if<AttemptResult>(&event)) {
      end = evaluate(*result, false);
    } else if (std::holds_alternative<ClientGone>(event)) {
      end = AttemptEnd{Outcome::cancelled, 0, {}, true};
    } else {
      end = stream_step(r, event);
    }
  }
  r.stall_timer.reset();
  r.attempt.reset();
  r.last_outcome = end->outcome;
  // The process before has the attempt's times.
  const Fleet::Member* member = fleet_.find(r.instance);
  r.trail.push_back({member != nullptr ? member->target.id : "?", false, Duration{-1}, Duration{-1},
                     scheduler_.now() - r.arrived, end->outcome, true, end->answer_end});
  if (!end_stream(r, *end)) {
    r.ending.ended_by_error_event = end->ended_by_error_event;
    break_off(r);
  }
  r.reply.reset();
  report_end(r);
  reap_soon();  // a running coroutine can't be destroyed from inside
}

}  // namespace bankmux::core
