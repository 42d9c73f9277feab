#include "core/conductor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::core {

using namespace std::chrono_literals;

namespace {

constexpr Duration kTableFullRetryDelay = 500ms;  // retry delay advised when too many requests are open

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

RequestId Conductor::accept(ClientRequest client_request, std::unique_ptr<ClientReply> reply) {
  ++figures_.taken;
  auto owned = std::make_unique<Request>();
  Request& r = *owned;
  r.client_request = std::move(client_request);
  r.reply = std::move(reply);
  r.arrived = scheduler_.now();
  if (const std::optional<Refusal> refusal = refusal_on_arrival(r.client_request)) {
    refuse(r, refusal->cause, refusal->retry_delay);
    report_end(r);
    return 0;
  }
  r.id = r.module_id = ++last_id_;
  r.client_request.facts.id = r.id;
  watch_deadline(r);
  const RequestId id = r.id;
  requests_.emplace(id, std::move(owned));
  r.lifecycle = serve(r);
  return id;
}

std::optional<Conductor::Refusal> Conductor::refusal_on_arrival(const ClientRequest& client_request) const {
  const Time now = scheduler_.now();
  // No retry delay: other conductors serve at once.
  const bool too_late = refuse_from_ && now - client_request.waited >= *refuse_from_;
  if (abandoned_ || too_late) return Refusal{Ending::Cause::shutdown, {}};
  // Limits memory and sockets: each open request may hold a body and two connections.
  if (requests_.size() >= settings_.max_requests)
    return Refusal{Ending::Cause::table_full, kTableFullRetryDelay};
  const bool time_was_up = client_request.waited > Duration{0} && now >= client_request.facts.deadline;
  if (time_was_up) return Refusal{Ending::Cause::no_decision, {}};
  return std::nullopt;
}

void Conductor::client_gone(RequestId id) { deliver(id, ClientGone{}); }

void Conductor::update_fleet(const FleetUpdate& list_update) {
  const std::vector<EngineId> lost = fleet_.update(scheduler_.now(), list_update);
  for (const EngineId instance : lost) {
    if (const Fleet::Member* member = fleet_.find(instance)) instances_.drop_connections(member->target);
    for (auto& [id, r] : requests_) {
      if (r->attempt && r->instance == instance) r->inbox.push(InstanceLost{});
    }
  }
  if (list_update.scope == eiderarch::ListScope::changes && list_update.entries.empty()) return;
  eiderarch::ListChanged event{list_update.scope, {}};
  for (const ListEntry& row : list_update.entries)
    event.entries.push_back(fleet_.module_entry(row.entry.engine));
  post(std::move(event));
}

void Conductor::set_maintenance(std::set<std::string> ids) {
  eiderarch::ListChanged event{eiderarch::ListScope::changes, {}};
  for (const EngineId instance : fleet_.set_maintenance(scheduler_.now(), std::move(ids))) {
    event.entries.push_back(fleet_.module_entry(instance));
    // Connections from before its restart are no longer valid.
    instances_.drop_connections(fleet_.find(instance)->target);
  }
  if (!event.entries.empty()) post(std::move(event));
}

std::size_t Conductor::listed() const {
  return std::size_t(std::ranges::count_if(
      fleet_.members(), [](const auto& p) { return p.second.entry.state != eiderarch::EngineState::gone; }));
}

std::size_t Conductor::out_of_rotation() const {
  std::set<EngineId> set_aside;
  for (const EngineId instance : router_.set_aside(scheduler_.now())) set_aside.insert(instance);
  return std::size_t(std::ranges::count_if(fleet_.members(), [&set_aside](const auto& p) {
    const Fleet::Member& member = p.second;
    const bool unavailable = member.in_maintenance || member.entry.state == eiderarch::EngineState::draining;
    return member.entry.state != eiderarch::EngineState::gone && (unavailable || set_aside.contains(p.first));
  }));
}

std::size_t Conductor::active_attempts_at(EngineId instance) const {
  return std::size_t(std::ranges::count_if(requests_, [instance](const auto& p) {
    return p.second->attempt != nullptr && p.second->instance == instance;
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
  for (const eiderarch::Action& action : router_.handle(scheduler_.now(), events)) execute(action);
  reap();
}

void Conductor::execute(const eiderarch::Action& action) {
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
          log_("module", "the module ordered a move, which no front supports");
        } else {
          deliver(a.id, a);
        }
      },
      action);
}

void Conductor::probe(EngineId instance) {
  const Fleet::Member* member = fleet_.find(instance);
  if (member == nullptr) return;
  const Time sent = scheduler_.now();
  instances_.probe(
      member->target, [this, instance] { return may_send(instance); },
      [this, instance, sent](const AttemptResult& result) {
        const AttemptEnd end = evaluate(result, false);
        if (end.answered) fleet_.record_answer(instance, scheduler_.now());
        post(eiderarch::ProbeEnded{instance, end.outcome, scheduler_.now() - sent, end.report});
      });
}

void Conductor::set_module_timer(const eiderarch::SetTimer& command) {
  const std::uint64_t number = ++last_timer_;
  module_timers_[number] = scheduler_.at(command.at, [this, number, tag = command.tag] {
    module_timers_.erase(number);
    post(eiderarch::TimerFired{tag});
  });
}

RequestId Conductor::resolve(RequestId module_id) const {
  const auto alias = aliases_.find(module_id);
  return alias != aliases_.end() ? alias->second : module_id;
}

void Conductor::deliver(RequestId module_id, RequestEvent event) {
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
