#include "core/conductor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

constexpr Duration kFullStay = 500ms;  // retry delay advised when too many requests are open

}  // namespace

Conductor::Conductor(ConductorSettings settings, Scheduler& scheduler, Instances& instances,
                     Discovery& discovery, LogFunction log)
    : settings_(std::move(settings)),
      scheduler_(scheduler),
      instances_(instances),
      discovery_(discovery),
      log_(std::move(log)),
      router_(settings_.module),
      held_({settings_.module.zone, settings_.max_releases, settings_.module.rules.release_within}, fleet_,
            scheduler_, instances_,
            {[this](RequestId id) { return attempt_state(id); },
             [this](RequestId id, Duration held_for) { held_overdue(id, held_for); }, log_}) {
  figures_.by_class.resize(settings_.module.classes.size());
}

Conductor::~Conductor() { *alive_ = false; }

// ---- Calls of the fronts and of discovery ----

RequestId Conductor::take(Ask ask, std::unique_ptr<ClientReply> reply) {
  ++figures_.taken;
  auto owned = std::make_unique<Request>();
  Request& r = *owned;
  r.ask = std::move(ask);
  r.reply = std::move(reply);
  r.arrived = scheduler_.now();
  // Limits memory and sockets: each open request may hold a body and two connections.
  const bool full = requests_.size() >= settings_.max_requests;
  // After `abandon` there is no time left to serve new requests.
  if (full || given_up_) {
    refuse(r, full ? Ending::Cause::table_full : Ending::Cause::refused, kFullStay);
    tell_end(r);
    return 0;
  }
  r.id = r.module_id = ++last_id_;
  r.ask.facts.id = r.id;
  watch_deadline(r);
  const RequestId id = r.id;
  requests_.emplace(id, std::move(owned));
  r.lifecycle = serve(r);
  return id;
}

void Conductor::client_gone(RequestId id) { give(id, ClientGone{}); }

void Conductor::news(const FleetNews& news) {
  const std::vector<EngineId> lost = fleet_.update(scheduler_.now(), news);
  for (const EngineId engine : lost) {
    if (const Fleet::Member* member = fleet_.find(engine)) instances_.forget(member->target);
    for (auto& [id, r] : requests_) {
      if (r->attempt && r->engine == engine) r->inbox.push(InstanceLost{});
    }
  }
  if (news.scope == eiderarch::ListScope::changes && news.entries.empty()) return;
  eiderarch::ListChanged event{news.scope, {}};
  for (const Listed& row : news.entries) event.entries.push_back(fleet_.told(row.entry.engine));
  post(std::move(event));
}

void Conductor::maintain(std::set<std::string> ids) {
  eiderarch::ListChanged event{eiderarch::ListScope::changes, {}};
  for (const EngineId engine : fleet_.set_out(scheduler_.now(), std::move(ids))) {
    event.entries.push_back(fleet_.told(engine));
    // Connections from before its restart are no longer valid.
    instances_.forget(fleet_.find(engine)->target);
  }
  if (!event.entries.empty()) post(std::move(event));
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

// ---- The module ----

void Conductor::post(eiderarch::Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(flush_due_, true)) return;
  scheduler_.soon([this, alive = alive_] {
    if (*alive) flush();
  });
}

// Passes all events since the last call to the module in one batch.
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
          held_.release_all(resolve(a.id));
        } else if constexpr (std::is_same_v<A, eiderarch::Probe>) {
          probe(a.engine);
        } else if constexpr (std::is_same_v<A, eiderarch::SetTimer>) {
          set_module_timer(a);
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

void Conductor::probe(EngineId engine) {
  const Fleet::Member* member = fleet_.find(engine);
  if (member == nullptr) return;
  const Time sent = scheduler_.now();
  instances_.probe(
      member->target, [this, engine] { return may_send(engine); },
      [this, engine, sent](const AttemptResult& result) {
        const AttemptEnd end = judge(result, false);
        if (end.answered) fleet_.note_heard(engine, scheduler_.now());
        post(eiderarch::ProbeEnded{engine, end.outcome, scheduler_.now() - sent, end.report});
      });
}

void Conductor::set_module_timer(const eiderarch::SetTimer& order) {
  const std::uint64_t number = ++last_timer_;
  module_timers_[number] = scheduler_.at(order.at, [this, number, tag = order.tag] {
    module_timers_.erase(number);
    post(eiderarch::TimerFired{tag});
  });
}

RequestId Conductor::resolve(RequestId module_id) const {
  const auto alias = aliases_.find(module_id);
  return alias != aliases_.end() ? alias->second : module_id;
}

void Conductor::give(RequestId module_id, RequestEvent event) {
  const auto it = requests_.find(resolve(module_id));
  if (it != requests_.end() && !it->second->lifecycle.done()) it->second->inbox.push(std::move(event));
}

// For requests that may end without posting an event, which would lead to a flush.
void Conductor::reap_soon() {
  scheduler_.soon([this, alive = alive_] {
    if (*alive) reap();
  });
}

// Removes the requests that have ended. An exception in one request ends only that request.
void Conductor::reap() {
  std::erase_if(requests_, [this](const auto& p) {
    Request& r = *p.second;
    if (!r.lifecycle.done()) return false;
    if (r.lifecycle.failure()) {
      try {
        std::rethrow_exception(r.lifecycle.failure());
      } catch (const std::exception& problem) {
        log_("request", std::string("ended by an exception: ") + problem.what());
      }
      post(eiderarch::RequestGone{r.module_id});
      held_.release_all(r.id);
    }
    if (r.resumed) std::erase_if(aliases_, [&r](const auto& alias) { return alias.second == r.id; });
    return true;
  });
}

}  // namespace bankmux::core
