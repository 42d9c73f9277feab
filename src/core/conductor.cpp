#include "core/conductor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;
using eiderarch::Outcome;

namespace {

constexpr Duration kOverdue = 12ms;  // past the deadline; the client's own grace is 16 ms
// How long the end of a connection may be on its way to an instance: some times the longest way between
// zones. A further attempt on a pooled connection near by, or an answer to a client, is quicker.
constexpr Duration kCloseTravels = 10ms;
constexpr Duration kDrainMargin = 100ms;  // before the end of the drain's grace: the bytes need time too
constexpr Duration kLostStall = 3s;       // patience with a stream whose instance the list no longer knows
constexpr Duration kReleaseAgain = 20ms;  // pause before a release that did not arrive is tried again
// How long a release may be on its way before another instance gets it too: some round trips between zones.
// What is held has 300 ms, and a box that was cut off takes no connection for 250.
constexpr Duration kReleaseElsewhere = 60ms;
constexpr std::size_t kReleaseMostTold = 6;  // others that get it; one of them can be reached, or none
constexpr Duration kReleaseFor = 60s;        // what an instance still holds by then it has let go of itself
constexpr int kReleasesOut = 16;             // at one box, at the same time
constexpr Duration kFullStay = 500ms;        // advice to a client refused by a full table

}  // namespace

Conductor::Conductor(ConductorSettings settings, Scheduler& scheduler, Instances& instances,
                     Discovery& discovery, LogFunction log)
    : settings_(std::move(settings)),
      scheduler_(scheduler),
      instances_(instances),
      discovery_(discovery),
      log_(std::move(log)),
      router_(settings_.module) {
  figures_.by_class.resize(settings_.module.classes.size());
}

Conductor::~Conductor() { *alive_ = false; }

// ---- From the fronts and discovery ----

RequestId Conductor::take(Ask ask, std::unique_ptr<ClientReply> reply) {
  ++figures_.taken;
  auto owned = std::make_unique<Request>();
  Request& r = *owned;
  r.ask = std::move(ask);
  r.reply = std::move(reply);
  r.arrived = scheduler_.now();
  // Guards memory and sockets: each open request may hold a body and two connections.
  const bool full = requests_.size() >= settings_.max_requests;
  // Once the rest has been given up there is no time left to serve what comes after it.
  if (full || given_up_) {
    ++figures_.refused;
    const Ending::Cause cause = full ? Ending::Cause::table_full : Ending::Cause::refused;
    r.reply->refuse(ends(r, RequestRecord::Result::refused, cause, kFullStay));
    tell_end(r);
    return 0;
  }
  r.id = r.told_as = ++last_id_;
  r.ask.facts.id = r.id;
  const Time deadline = r.ask.facts.deadline;
  r.deadline = scheduler_.at(deadline, [&r] { r.inbox.push(Deadline{}); });
  r.overdue = scheduler_.at(deadline + kOverdue, [&r] { r.inbox.push(Overdue{}); });
  const RequestId id = r.id;
  requests_.emplace(id, std::move(owned));
  r.life = serve(r);
  return id;
}

void Conductor::client_gone(RequestId id) { give(id, ClientGone{}); }

void Conductor::news(FleetNews news) {
  const std::vector<EngineId> lost = fleet_.update(scheduler_.now(), news);
  for (const EngineId engine : lost) {
    if (const Fleet::Member* member = fleet_.find(engine)) instances_.forget(member->target);
    for (auto& [id, r] : requests_) {
      if (r->attempt && r->engine == engine) r->inbox.push(InstanceLost{});
    }
  }
  eiderarch::ListChanged event{news.scope, {}};
  for (const Listed& row : news.entries) event.entries.push_back(fleet_.told(row.entry.engine));
  post(std::move(event));
}

void Conductor::maintain(std::set<std::string> ids) {
  eiderarch::ListChanged event{eiderarch::ListScope::changes, {}};
  for (const EngineId engine : fleet_.set_out(scheduler_.now(), std::move(ids))) {
    event.entries.push_back(fleet_.told(engine));
    // What was kept open before its restart is no longer anyone's.
    instances_.forget(fleet_.find(engine)->target);
  }
  if (!event.entries.empty()) post(std::move(event));
}

void Conductor::abandon() {
  given_up_ = true;
  for (auto& [id, r] : requests_) {
    if (!r->streaming && !r->resumed && !r->life.done()) r->inbox.push(Abandoned{});
  }
}

std::size_t Conductor::listed() const {
  return std::size_t(std::ranges::count_if(
      fleet_.members(), [](const auto& p) { return p.second.entry.state != eiderarch::EngineState::gone; }));
}

std::size_t Conductor::out_of_rotation() const {
  std::set<EngineId> avoided;
  for (const EngineId engine : router_.set_aside(scheduler_.now())) avoided.insert(engine);
  return std::size_t(std::ranges::count_if(fleet_.members(), [&avoided](const auto& p) {
    const Fleet::Member& member = p.second;
    const bool rests = member.out || member.entry.state == eiderarch::EngineState::draining;
    return member.entry.state != eiderarch::EngineState::gone && (rests || avoided.contains(p.first));
  }));
}

std::size_t Conductor::out_at(EngineId engine) const {
  return std::size_t(std::ranges::count_if(requests_, [engine](const auto& p) {
    return p.second->attempt != nullptr && p.second->engine == engine;
  }));
}

// ---- The life of one request ----

// Its words come from the module (Send, Cancel, ClaimWriter, Refuse, Fail), its attempt, its client and its
// timers, in one inbox. The outer loop waits for the module's next word; the inner one follows the attempt
// that is out, so that there is never a second one.
Task Conductor::serve(Request& r) {
  post(r.ask.facts);
  bool over = false;
  while (!over) {
    const Step word = co_await r.inbox.next();
    if (postpone(r, word)) continue;
    const bool given_up = std::holds_alternative<eiderarch::Refuse>(word) ||
                          std::holds_alternative<eiderarch::Fail>(word) ||
                          std::holds_alternative<Overdue>(word);
    if (r.resumed && given_up) {
      // Its client has a part of the answer already, so no other word than this can follow.
      if (std::holds_alternative<Overdue>(word)) post(eiderarch::RequestGone{r.told_as});
      break_off(r);
      break;
    }
    if (const auto* refuse = std::get_if<eiderarch::Refuse>(&word)) {
      if (!r.execution.permits_refusal(request_class(r))) {
        fail_barred(r);
        break;
      }
      ++figures_.refused;
      r.reply->refuse(ends(r, RequestRecord::Result::refused, Ending::Cause::refused, refuse->stay_away));
      break;
    }
    if (std::holds_alternative<eiderarch::Fail>(word)) {
      ++figures_.failed;
      r.reply->fail(ends(r, RequestRecord::Result::failed, Ending::Cause::failed));
      break;
    }
    if (std::holds_alternative<ClientGone>(word)) {
      ++figures_.gone;
      r.result = RequestRecord::Result::gone;
      post(eiderarch::RequestGone{r.told_as});
      break;
    }
    if (std::holds_alternative<Abandoned>(word)) {
      post(eiderarch::RequestGone{r.told_as});
      answer_abandoned(r);
      break;
    }
    if (std::holds_alternative<Overdue>(word)) {
      // Guards the one final answer: whatever the module still ponders, the client's wait ends here.
      ++figures_.failed;
      r.reply->fail(ends(r, RequestRecord::Result::failed, Ending::Cause::no_decision));
      post(eiderarch::RequestGone{r.told_as});
      break;
    }
    const auto* order = std::get_if<eiderarch::Send>(&word);
    if (order == nullptr) continue;  // a word on an attempt that is over

    // One attempt, from its connection to its end.
    ++r.attempts;
    const int number = Conductor::number(r);
    const Time sent = scheduler_.now();
    const ExecutionRecord::Place place = place_of(order->engine, sent);
    const bool reader = at_prefill_instance(*order);
    AttemptEnd end{Outcome::skipped, 0, {}, false};
    bool out = open(r, *order, reader);
    bool written = false, abandoned = false;
    std::optional<EngineId> claim_at;
    while (out) {
      Step step = co_await r.inbox.next();
      if (std::holds_alternative<Written>(step)) {
        written = true;
        ++figures_.written;
        // A place is asked for once the read is on its way: earlier, the writer may not know of it yet.
        if (claim_at) claim(r, *claim_at);
      } else if (const auto* ahead = std::get_if<eiderarch::ClaimWriter>(&step)) {
        claim_at = ahead->engine;
        if (written) claim(r, *claim_at);
      } else if (std::holds_alternative<Data>(step)) {
        if (!r.streaming) begin_stream(r, *order, sent);
        if (const auto ended = stream_step(r, step)) {
          end = *ended;
          out = false;
        }
      } else if (const auto* result = std::get_if<AttemptResult>(&step)) {
        end = judge(*result, reader);
        out = false;
      } else if (std::holds_alternative<ClientGone>(step)) {
        end = {Outcome::cancelled, 0, {}, true};
        post(eiderarch::RequestGone{r.told_as});
        out = false;
      } else if (r.streaming || std::holds_alternative<Stalled>(step)) {
        // Its client's now: neither the module's word nor a deadline counts any more.
        if (const auto ended = stream_step(r, step)) {
          end = *ended;
          out = false;
        }
      } else if (std::holds_alternative<Abandoned>(step)) {
        end = {outcome_given_up(r.attempt->progress(), Outcome::cancelled), 0, {}, false};
        abandoned = true;
        out = false;
      } else if (const auto* cancel = std::get_if<eiderarch::Cancel>(&step)) {
        if (cancel->attempt != number) continue;
        end = {Outcome::cancelled, 0, {}, false};
        out = false;
      } else if (std::holds_alternative<Deadline>(step) || std::holds_alternative<TimedOut>(step)) {
        // What was not written whole never ran, and may be said to be harmless to repeat.
        end = {outcome_given_up(r.attempt->progress(), Outcome::timed_out), 0, {}, false};
        out = false;
      } else if (std::holds_alternative<TooLate>(step) && r.attempt->progress() <= Progress::unwritten) {
        // Its last byte would arrive outside the window in which the class may be repeated.
        end = {Outcome::not_connected, 0, {}, false};
        out = false;
      }
    }
    r.limit.reset();
    r.too_late.reset();
    r.stall.reset();
    log_failure(r, *order, end, scheduler_.now() - sent);
    // Closed before anything else is sent, and heard of there: never two attempts out.
    if (r.attempt && r.attempt->progress() >= Progress::written && !end.ended_there) {
      r.closing_until = scheduler_.now() + kCloseTravels;
    }
    r.attempt.reset();
    if (std::exchange(r.paced, false)) silence_.ended(r.engine);

    const bool never_ran = eiderarch::proves_not_executed(end.outcome);
    r.last = end.outcome;
    if (!reader) r.execution.note(place, end.outcome);
    if (never_ran && std::exchange(r.announced, false)) r.reply->never_ran();
    if (reader) {
      if (end.outcome != Outcome::state_held) {
        if (const auto held = held_.find(r.id); held != held_.end()) held->second.at.erase(order->engine);
        // A read that was cut off may have ended well just then: its state would stay pinned there.
        if (!never_ran || r.owes_release) release_at(r.id, r.ask.payload, order->engine);
      }
    } else if (never_ran && r.owes_release) {
      release_at(r.id, r.ask.payload, order->engine);
    } else {
      may_hold_still(r, *order, end);
    }
    r.owes_release = false;
    if (r.streaming) {
      if (!end_stream(r, end)) {
        r.ending.told = end.told;
        const bool may = repeat_safe(r) && r.attempts < settings_.module.limits.max_attempts;
        const Onward onward = may ? r.reply->go_on() : Onward{};
        if (onward.what == Onward::What::go_on) {
          post(eiderarch::AttemptEnded{r.told_as, number, order->engine, end.outcome, scheduler_.now() - sent,
                                       true, end.detail, std::move(end.report)});
          resume(r, onward);
          continue;
        }
        if (onward.what == Onward::What::finished) {
          ++figures_.served;
          ++figures_.finished;
          r.result = RequestRecord::Result::served;
          r.reply->end();
        } else {
          break_off(r);
        }
      }
    } else if (end.outcome == Outcome::served) {
      // An answer without a single event: nothing was served, though it has run.
      end.outcome = Outcome::error;
    } else if (end.client_gone) {
      ++figures_.gone;
      r.result = RequestRecord::Result::gone;
    } else if (end.answer != nullptr && r.resumed) {
      break_off(r);  // the other instance does not take a begun answer
    } else if (end.answer != nullptr) {
      ++figures_.failed;
      r.result = RequestRecord::Result::rejected;
      r.reply->relay(*end.answer);
    }
    const bool barred = std::exchange(r.repeat_barred, false);
    if (barred) fail_barred(r);
    over = barred || r.streaming || end.client_gone || end.answer != nullptr;
    post(eiderarch::AttemptEnded{r.told_as, number, order->engine, end.outcome, scheduler_.now() - sent,
                                 over || abandoned, end.detail, std::move(end.report)});
    if (abandoned && !over) r.inbox.push(Abandoned{});
  }
  r.deadline.reset();
  r.overdue.reset();
  r.postponed.reset();
  r.reply.reset();
  if (!r.streaming) release_all(r.id);
  tell_end(r);
}

// A stream that another process of this conductor began, from here to its end.
Task Conductor::follow(Request& r) {
  expect_more(r, settings_.stall_limit);
  std::optional<AttemptEnd> end;
  while (!end) {
    Step step = co_await r.inbox.next();
    if (const auto* result = std::get_if<AttemptResult>(&step)) {
      end = judge(*result, false);
    } else if (std::holds_alternative<ClientGone>(step)) {
      end = AttemptEnd{Outcome::cancelled, 0, {}, true};
    } else {
      end = stream_step(r, step);
    }
  }
  r.stall.reset();
  r.attempt.reset();
  r.last = end->outcome;
  if (!end_stream(r, *end)) {
    r.ending.told = end->told;
    break_off(r);
  }
  r.reply.reset();
  tell_end(r);
  reap_soon();  // from in here it cannot be dropped
}

std::optional<Conductor::AttemptEnd> Conductor::stream_step(Request& r, Step& step) {
  if (const auto* data = std::get_if<Data>(&step)) {
    note_event(r);
    r.reply->data(data->bytes);
    if (r.reply->garbled()) return AttemptEnd{Outcome::cancelled, 0, {}, false};
    // Guards memory: a fast instance must not fill it for a client that reads slowly.
    if (r.reply->behind([&r] { r.inbox.push(CaughtUp{}); })) {
      r.attempt->pause(true);
      r.stall.reset();  // it is the client that waits now, not the instance
      r.last_event.reset();
    }
  } else if (std::holds_alternative<CaughtUp>(step)) {
    r.attempt->pause(false);
    expect_more(r, settings_.stall_limit);
  } else if (std::holds_alternative<InstanceLost>(step)) {
    // A vanished machine resets nothing: its stream would stay open for ever.
    expect_more(r, kLostStall);
  } else if (std::holds_alternative<Stalled>(step)) {
    if (suspects(r)) {
      const Duration silent = scheduler_.now() - *r.last_event;
      const Duration more = silence_.judge(r.engine, scheduler_.now(), silent);
      if (more > 0us) {
        expect_more(r, more);
        return std::nullopt;
      }
      ++figures_.suspected;
    }
    return AttemptEnd{Outcome::reset, 0, {}, false};
  } else if (std::holds_alternative<PassedOn>(step)) {
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

std::size_t Conductor::pass_streams(const std::function<bool(const RunningStream&)>& take) {
  std::size_t count = 0;
  for (auto& [id, owned] : requests_) {
    Request& r = *owned;
    if (!r.streaming || r.resumed || r.life.done() || !r.attempt) continue;
    std::optional<Passed> client = r.reply->passed();
    std::optional<Passed> instance = client ? r.attempt->passed() : std::nullopt;
    const Fleet::Member* member = fleet_.find(r.engine);
    if (!instance || member == nullptr) continue;
    const Time now = scheduler_.now();
    if (!take({r.ask, member->target.id, r.attempts, now - r.arrived, *r.first - r.arrived,
               std::move(*client), std::move(*instance)})) {
      continue;  // that one not, or not now
    }
    r.reply->let_go();
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
  r.ask = stream.ask;
  r.reply = std::move(reply);
  r.id = r.told_as = r.ask.facts.id = ++last_id_;
  r.arrived = scheduler_.now() - stream.age;
  r.first = r.arrived + stream.first;
  r.streaming = true;
  r.execution.assume_executed();
  r.attempts = stream.attempts;
  for (const auto& [engine, member] : fleet_.members()) {
    if (member.target.id == stream.box) r.engine = engine;
  }
  r.attempt = make(r);
  const RequestId id = r.id;
  requests_.emplace(id, std::move(owned));
  if (!r.attempt) r.inbox.push(AttemptResult{});
  r.life = follow(r);
  return id;
}

void Conductor::break_off(Request& r) {
  ++figures_.broken;
  r.reply->abort(ends(r, RequestRecord::Result::broken, Ending::Cause::broke_off));
}

// Refused where it is known to do no harm to try again, else failed.
void Conductor::answer_abandoned(Request& r) {
  if (!r.execution.permits_refusal(request_class(r))) {
    ++figures_.failed;
    r.reply->fail(ends(r, RequestRecord::Result::failed, Ending::Cause::failed));
  } else {
    ++figures_.refused;
    r.reply->refuse(ends(r, RequestRecord::Result::refused, Ending::Cause::refused));
  }
}

void Conductor::resume(Request& r, const Onward& onward) {
  ++figures_.continued;
  r.resumed = true;
  r.streaming = false;
  r.ending.told = false;
  r.attempts_before = r.attempts;
  r.ask.payload = onward.payload;
  eiderarch::RequestArrived& facts = r.ask.facts;
  r.told_as = facts.id = ++last_id_;
  aliases_[r.told_as] = r.id;
  facts.resumed = true;
  facts.lost_at = r.engine;
  facts.prompt_tokens += onward.written - r.written;
  r.written = onward.written;
  if (onward.left > 0) facts.max_output = onward.left;
  facts.deadline = scheduler_.now() + onward.patience;
  r.deadline = scheduler_.at(facts.deadline, [&r] { r.inbox.push(Deadline{}); });
  r.overdue = scheduler_.at(facts.deadline + kOverdue, [&r] { r.inbox.push(Overdue{}); });
  post(facts);
}

RequestId Conductor::resolve(RequestId told_as) const {
  const auto alias = aliases_.find(told_as);
  return alias != aliases_.end() ? alias->second : told_as;
}

// The next event of a stream is due by then.
void Conductor::expect_more(Request& r, Duration patience) {
  r.stall = scheduler_.at(scheduler_.now() + patience, [&r] { r.inbox.push(Stalled{}); });
}

bool Conductor::suspects(const Request& r) const {
  return r.last_event && repeat_safe(r) && r.reply->may_go_on();
}

void Conductor::note_event(Request& r) {
  const Time now = scheduler_.now();
  if (r.paced && r.last_event) silence_.event(r.engine, now, now - *r.last_event);
  r.last_event = now;
  expect_more(r, suspects(r) ? silence_.limit(r.engine) : settings_.stall_limit);
}

bool Conductor::repeat_safe(const Request& r) const {
  return request_class(r).effect == eiderarch::Effect::safe;
}

// One that the settings do not name is not to be repeated.
eiderarch::RequestClass Conductor::request_class(const Request& r) const {
  const std::uint32_t cls = r.ask.facts.request_class;
  return cls < settings_.module.classes.size() ? settings_.module.classes[cls] : eiderarch::RequestClass{};
}

// Whether an attempt there has no effect: the list and the module have to agree on that, for an entry's kind
// may change or be left out while a request waits.
bool Conductor::at_prefill_instance(const eiderarch::Send& order) const {
  const Fleet::Member* member = fleet_.find(order.engine);
  return order.prefill && member != nullptr && member->entry.kind < settings_.module.kinds.size() &&
         settings_.module.kinds[member->entry.kind].role == eiderarch::Role::reader;
}

ExecutionRecord::Place Conductor::place_of(EngineId engine, Time sent) const {
  const Fleet::Member* member = fleet_.find(engine);
  if (member == nullptr) return {0, 0, sent};
  return {member->entry.zone, member->entry.cell, sent};
}

bool Conductor::may_execute_again(Request& r, EngineId engine) {
  if (r.execution.permits(request_class(r), place_of(engine, scheduler_.now()))) return true;
  r.repeat_barred = true;
  return false;
}

void Conductor::fail_barred(Request& r) {
  log_("guard", "request " + std::to_string(r.id) + " may have run: its class forbids what was to follow");
  post(eiderarch::RequestGone{r.told_as});
  if (r.resumed) return break_off(r);
  ++figures_.failed;
  r.reply->fail(ends(r, RequestRecord::Result::failed, Ending::Cause::failed));
}

// A close is heard by the instance only some time later. A further attempt that overtook it would be a second
// one out, and a refusal would call a request harmless that is still at work somewhere.
bool Conductor::postpone(Request& r, const Step& word) {
  const bool abandons = std::holds_alternative<Abandoned>(word);
  const bool ends_by_itself =
      std::holds_alternative<ClientGone>(word) || std::holds_alternative<Overdue>(word);
  if (r.abandoned && !abandons && !ends_by_itself) return true;  // and it does not come again
  r.abandoned |= abandons;
  const bool refuses = abandons || std::holds_alternative<eiderarch::Refuse>(word);
  const bool overtakes = std::holds_alternative<eiderarch::Send>(word) || (refuses && !repeat_safe(r));
  if (!overtakes || scheduler_.now() >= r.closing_until) return false;
  r.postponed = scheduler_.at(r.closing_until, [this, &r, word] {
    reap_soon();
    r.inbox.push(word);  // last: it may destroy this timer
  });
  return true;
}

const Ending& Conductor::ends(Request& r, RequestRecord::Result result, Ending::Cause cause,
                              Duration stay_away) {
  r.result = result;
  r.ending = {cause, r.execution.may_have_executed(), repeat_safe(r), stay_away, r.ending.told, r.last};
  return r.ending;
}

void Conductor::tell_end(const Request& r) {
  if (r.ask.facts.request_class < figures_.by_class.size()) {
    ClassFigures& figures = figures_.by_class[r.ask.facts.request_class];
    switch (r.result) {
      case RequestRecord::Result::served:
        ++figures.served;
        break;
      case RequestRecord::Result::refused:
        ++figures.refused;
        break;
      case RequestRecord::Result::failed:
      case RequestRecord::Result::broken:
      case RequestRecord::Result::rejected:
        ++figures.failed;
        break;
      case RequestRecord::Result::gone:
      case RequestRecord::Result::passed_on:
        break;
    }
  }
  if (!observer_) return;
  const Fleet::Member* member = r.attempts > 0 ? fleet_.find(r.engine) : nullptr;
  observer_({r.ask, r.result, r.ending, member != nullptr ? member->target.id : "", r.attempts,
             r.first ? *r.first - r.arrived : Duration{-1}, scheduler_.now() - r.arrived});
}

Conductor::AttemptEnd Conductor::judge(const AttemptResult& result, bool prefill) {
  AttemptEnd end;
  end.outcome = outcome_of(result, prefill);
  end.ended_there = !result.closed_here;
  if (result.verdict == Verdict::broken) {
    end.told = result.told;
    return end;
  }
  const bool read = result.verdict == Verdict::served || result.verdict == Verdict::state_held;
  end.detail = read ? result.found : result.verdict == Verdict::no_state ? 1 : 0;
  end.report = result.report;
  end.answer = result.answer;
  return end;
}

void Conductor::log_failure(const Request& r, const eiderarch::Send& order, const AttemptEnd& end,
                            Duration after) const {
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
  const Fleet::Member* member = fleet_.find(order.engine);
  log_("attempt", "request " + std::to_string(r.id) + " at " + (member != nullptr ? member->target.id : "?") +
                      ": " + what + " after " + std::to_string(after.count() / 1000) + " ms" +
                      (r.streaming ? ", within its stream" : ""));
}

// False where it was never sent.
bool Conductor::open(Request& r, const eiderarch::Send& order, bool reader) {
  const Fleet::Member* member = fleet_.find(order.engine);
  const Time now = scheduler_.now();
  if (member == nullptr || r.streaming || now >= r.ask.facts.deadline) return false;
  if (r.attempts > settings_.module.limits.max_attempts) return false;
  ++figures_.attempts;
  Duration patience = r.ask.facts.deadline - now;
  if (order.timeout > 0us && order.timeout < patience) {
    patience = order.timeout;
    r.limit = scheduler_.at(now + patience, [&r] { r.inbox.push(TimedOut{}); });
  }
  // A release still being tried there would let go of what this attempt is about to make or fetch. What it
  // was to let go of is the attempt's to account for: one that never reaches the instance leaves it lying
  // there.
  r.owes_release = std::erase_if(releases_, [&](const auto& p) {
                     return p.second.payload == r.ask.payload && p.second.engine == order.engine;
                   }) > 0;
  if (reader) may_hold(r, order.engine);
  r.engine = order.engine;
  r.announced = false;
  if (order.by > 0us) r.too_late = scheduler_.at(order.by, [&r] { r.inbox.push(TooLate{}); });
  const auto may_write = [this, &r, reader, engine = order.engine, by = order.by] {
    if (!may_send(engine) || (by > 0us && scheduler_.now() >= by)) return false;
    // Whoever keeps account of what may have run has it on record before the first byte.
    if (!reader && !may_execute_again(r, engine)) return false;
    if (!reader && !std::exchange(r.announced, true)) r.reply->sending();
    return true;
  };
  // A read has no effect, and new connections cost busy readers dear.
  const bool harmless = reader || repeat_safe(r);
  const ConnectionTerms terms{harmless, harmless};
  r.attempt = instances_.start(member->target, r.ask.payload, patience, terms, may_write, r);
  return true;
}

// Asked by every kind of send but a release, at the last moment before its first byte: nothing is first sent
// later than the drain's grace after it was told, connecting included.
bool Conductor::may_send(EngineId engine) const {
  const Fleet::Member* member = fleet_.find(engine);
  if (member == nullptr || member->out) return false;
  const Duration grace =
      std::max<Duration>(settings_.module.rules.drain_grace - kDrainMargin - settings_.news_late, 0us);
  return !member->told_off || scheduler_.now() - *member->told_off < grace;
}

void Conductor::begin_stream(Request& r, const eiderarch::Send& order, Time sent) {
  r.streaming = true;
  if (!r.first) r.first = scheduler_.now();
  r.deadline.reset();
  r.overdue.reset();
  r.limit.reset();
  r.last_event.reset();
  if (!r.resumed) r.reply->begin();
  r.paced = r.reply->may_go_on();
  if (r.paced) silence_.began(order.engine);
  held_.erase(r.id);  // a stream that has begun lets go of the rest
  post(eiderarch::StreamStarted{r.told_as, number(r), order.engine, scheduler_.now() - sent});
}

void Conductor::claim(Request& r, EngineId writer) {
  const Fleet::Member* member = fleet_.find(writer);
  if (member == nullptr || !may_send(writer)) return;
  may_hold(r, writer);
  ++held_[r.id].claims_out;
  const int number = Conductor::number(r);
  instances_.claim(
      member->target, r.ask.payload, [this, writer] { return may_send(writer); },
      [this, id = r.id, told_as = r.told_as, number, writer, payload = r.ask.payload](ClaimAnswer answer) {
        const auto held = held_.find(id);
        // Let go of while the call was out: it may have overtaken the release. Or the stream has begun at
        // another writer, which let go of all that was held by then, and of this place no more.
        if (held == held_.end()) {
          const auto streams = requests_.find(id);
          const bool elsewhere = streams == requests_.end() || streams->second->engine != writer;
          if (answer != ClaimAnswer::not_held && elsewhere) release_at(id, payload, writer);
          return;
        }
        --held->second.claims_out;
        if (held->second.let_go) {
          release_at(id, payload, writer);
          if (held->second.claims_out == 0) held_.erase(held);
          return;
        }
        const auto request = requests_.find(id);
        if (answer == ClaimAnswer::unknown || request == requests_.end()) return;
        const Request& now = *request->second;
        if (now.told_as != told_as || Conductor::number(now) != number || !now.attempt) return;
        post(eiderarch::PlaceAnswer{told_as, number, writer, answer == ClaimAnswer::held});
      });
}

// ---- The module ----

void Conductor::post(eiderarch::Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(flush_due_, true)) return;
  scheduler_.soon([this, alive = alive_] {
    if (*alive) flush();
  });
}

// All that has come in since the last time, in one batch.
void Conductor::flush() {
  flush_due_ = false;
  const std::vector<eiderarch::Event> events = std::exchange(events_, {});
  for (const eiderarch::Action& action : router_.handle(scheduler_.now(), events)) carry_out(action);
  reap();
}

void Conductor::carry_out(const eiderarch::Action& action) {
  std::visit(
      [this](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, eiderarch::Release>) {
          release_all(resolve(a.id));
        } else if constexpr (std::is_same_v<A, eiderarch::Probe>) {
          const Fleet::Member* member = fleet_.find(a.engine);
          if (member == nullptr) return;
          const Time sent = scheduler_.now();
          instances_.probe(
              member->target, [this, engine = a.engine] { return may_send(engine); },
              [this, engine = a.engine, sent](const AttemptResult& result) {
                const AttemptEnd end = judge(result, false);
                post(eiderarch::ProbeEnded{engine, end.outcome, scheduler_.now() - sent, end.report});
              });
        } else if constexpr (std::is_same_v<A, eiderarch::SetTimer>) {
          const std::uint64_t number = ++last_timer_;
          module_timers_[number] = scheduler_.at(a.at, [this, number, tag = a.tag] {
            module_timers_.erase(number);
            post(eiderarch::TimerFired{tag});
          });
        } else if constexpr (std::is_same_v<A, eiderarch::Subscribe>) {
          discovery_.subscribe();
        } else if constexpr (std::is_same_v<A, eiderarch::FetchList>) {
          discovery_.fetch();
        } else if constexpr (std::is_same_v<A, eiderarch::Log>) {
          log_("module", a.message);
        } else if constexpr (std::is_same_v<A, eiderarch::Move>) {
          log_("module", "a move was asked for, which no front here offers");
        } else {
          give(a.id, a);
        }
      },
      action);
}

void Conductor::give(RequestId id, Step step) {
  const auto it = requests_.find(resolve(id));
  if (it != requests_.end() && !it->second->life.done()) it->second->inbox.push(std::move(step));
}

// Where a request may end with nothing posted that would bring a flush.
void Conductor::reap_soon() {
  scheduler_.soon([this, alive = alive_] {
    if (*alive) reap();
  });
}

// Drops the requests that are over; an exception in one ends that one alone.
void Conductor::reap() {
  std::erase_if(requests_, [this](const auto& p) {
    Request& r = *p.second;
    if (!r.life.done()) return false;
    if (r.life.failure()) {
      try {
        std::rethrow_exception(r.life.failure());
      } catch (const std::exception& problem) {
        log_("request", std::string("ended by an exception: ") + problem.what());
      }
      post(eiderarch::RequestGone{r.told_as});
      release_all(r.id);
    }
    if (r.resumed) std::erase_if(aliases_, [&r](const auto& alias) { return alias.second == r.id; });
    return true;
  });
}

// ---- What is held ----

void Conductor::may_hold(const Request& r, EngineId engine) {
  Held& held = held_[r.id];
  held.payload = r.ask.payload;
  held.let_go = false;
  held.at.insert(engine);
}

void Conductor::release_all(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  for (const EngineId engine : std::exchange(it->second.at, {})) release_at(id, it->second.payload, engine);
  it->second.let_go = true;
  if (it->second.claims_out == 0) held_.erase(it);
}

// Its connection may have fallen silent: then it has not heard that it was cut off either, and keeps the
// place and the state that it fetched. What proves that it holds nothing is its own word.
void Conductor::may_hold_still(const Request& r, const eiderarch::Send& order, const AttemptEnd& end) {
  const bool unheard =
      end.outcome == Outcome::timed_out || end.outcome == Outcome::cancelled || end.outcome == Outcome::reset;
  if (unheard && !r.streaming && end.answer == nullptr && held_.contains(r.id)) may_hold(r, order.engine);
}

bool Conductor::releasing() const {
  return std::ranges::any_of(releases_, [](const auto& p) { return !p.second.taken; });
}

void Conductor::release_at(RequestId id, const PayloadPtr& payload, EngineId engine) {
  const Fleet::Member* member = fleet_.find(engine);
  if (member == nullptr) return;
  if (releases_.size() >= settings_.max_releases) {
    log_("release", "too many releases wait; the oldest is dropped");
    releases_.erase(releases_.begin());
  }
  const std::uint64_t number = ++last_release_;
  Release& release = releases_[number];
  release.id = id;
  release.payload = payload;
  release.engine = engine;
  release.started = member->entry.started;
  release.until = scheduler_.now() + kReleaseFor;
  release.elsewhere =
      scheduler_.at(scheduler_.now() + kReleaseElsewhere, [this, number] { release_elsewhere(number); });
  try_release(number);
}

// Until it has arrived: a call that fails to come up lets go of nothing, and the state stays pinned.
void Conductor::try_release(std::uint64_t number) {
  const auto it = releases_.find(number);
  if (it == releases_.end()) return;
  Release& release = it->second;
  const Fleet::Member* member = fleet_.find(release.engine);
  // A process that the list says is gone and that refused a try has stopped, and what it held went with it:
  // each further try would only hold a socket, every 20 ms, for as long as the release may be tried. One that
  // is listed as gone may still run a moment, so one try is made all the same.
  const bool stopped =
      release.refused && member != nullptr && member->entry.state == eiderarch::EngineState::gone;
  if (member == nullptr || member->entry.started != release.started || scheduler_.now() >= release.until ||
      stopped) {
    releases_.erase(it);
    return;
  }
  // Guards the sockets: a box that has vanished takes none, and each try there holds one for a while.
  const auto out = std::ranges::count_if(
      releases_, [&release](const auto& p) { return p.second.out && p.second.engine == release.engine; });
  if (out >= kReleasesOut) {
    release.again = scheduler_.at(scheduler_.now() + kReleaseAgain, [this, number] { try_release(number); });
    return;
  }
  release.out = true;
  // One that an attempt there took the place of while it dialled would let go of what that makes.
  const auto may_write = [this, number] { return releases_.contains(number); };
  instances_.release(member->target, release.payload, may_write, [this, number](bool arrived) {
    const auto now = releases_.find(number);
    if (now == releases_.end()) return;
    now->second.out = false;
    if (arrived) {
      releases_.erase(now);
      return;
    }
    Release& again = now->second;
    again.again = scheduler_.at(scheduler_.now() + kReleaseAgain, [this, number] { try_release(number); });
    if (!std::exchange(again.refused, true)) release_elsewhere(number);
  });
}

// Every instance takes a release, and lets go of what is held at any. A box that is cut off, or stops while
// it holds something, can't be told by itself: seen as states pinned beside a release tried there in vain.
void Conductor::release_elsewhere(std::uint64_t number) {
  const auto it = releases_.find(number);
  if (it == releases_.end() || it->second.taken || it->second.told.size() >= kReleaseMostTold) return;
  Release& release = it->second;
  const Fleet::Member* holder = fleet_.find(release.engine);
  if (holder == nullptr || holder->entry.state == eiderarch::EngineState::gone) return;
  const auto look_again = [&] {
    release.elsewhere =
        scheduler_.at(scheduler_.now() + kReleaseElsewhere, [this, number] { release_elsewhere(number); });
  };
  // While an attempt is out nothing counts as left behind, and it may be making a state anew.
  const auto attempt_out = [this, id = release.id] {
    const auto request = requests_.find(id);
    return request != requests_.end() && request->second->attempt;
  };
  if (attempt_out()) return look_again();
  const Fleet::Member* next = nullptr;  // in the own zone where one is left there, else drawn by the number
  std::pair<bool, std::uint64_t> best;
  for (const auto& [engine, member] : fleet_.members()) {
    const bool live = member.entry.state == eiderarch::EngineState::live && !member.out;
    if (!live || engine == release.engine || release.told.contains(engine)) continue;
    const std::pair place{member.entry.zone == settings_.module.zone, engine * (2 * number + 1)};
    if (next != nullptr && place <= best) continue;
    next = &member;
    best = place;
  }
  if (next == nullptr) return;  // all have been told
  look_again();
  release.told.insert(next->entry.engine);
  // Asked again as the connection comes up, which may take longer than the next attempt's beginning.
  const auto may_write = [this, number, attempt_out, engine = next->entry.engine] {
    const auto now = releases_.find(number);
    if (now == releases_.end()) return false;
    if (attempt_out()) now->second.told.erase(engine);
    return now->second.told.contains(engine);
  };
  instances_.release(next->target, release.payload, may_write, [this, number](bool arrived) {
    const auto now = releases_.find(number);
    if (now != releases_.end() && arrived) now->second.taken = true;
  });
}

}  // namespace bankmux::core
