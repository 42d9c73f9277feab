#include "net/appliance/instance_monitor.hpp"

#include <algorithm>
#include <utility>

#include "codec.hpp"

namespace bankmux::net {

using eiderarch::EngineState;

namespace {

constexpr int kFailuresUntilDown = 2;  // a single lost check does not take an instance out of service

}  // namespace

InstanceMonitor::InstanceMonitor(core::Scheduler& scheduler, core::Instances& instances,
                                 const config::Appliance& appliance, UpdateHandler on_update)
    : scheduler_(scheduler),
      instances_(instances),
      interval_(appliance.check_every),
      on_update_(std::move(on_update)) {
  apply_config(appliance);
}

void InstanceMonitor::apply_config(const config::Appliance& appliance) {
  const std::vector<Instance> previous_list = std::exchange(monitored_, {});
  interval_ = appliance.check_every;
  for (const config::Instance& instance : appliance.boxes) {
    const auto previous =
        std::ranges::find(previous_list, instance.id, [](const Instance& other) { return other.listed.id; });
    const bool known = previous != previous_list.end();
    const bool moved = known && previous->listed.address != instance.address;
    Instance updated;
    if (known && !moved) updated = *previous;
    updated.listed.id = instance.id;
    updated.listed.address = instance.address;
    updated.listed.entry.engine = eiderarch::wire::hash_key(instance.id);
    updated.listed.entry.rating = instance.weight;
    if (moved) {
      // Another process, which starts cold. Of the old state only what the operator has said of the id
      // applies.
      updated.listed.entry.started = scheduler_.now();
      updated.drained = previous->drained;
    }
    monitored_.push_back(std::move(updated));
  }
}

void InstanceMonitor::reload(const config::Appliance& appliance) {
  apply_config(appliance);
  start();
}

void InstanceMonitor::start() {
  publish();
  probe_all();
}

void InstanceMonitor::probe_all() {
  next_probe_ = scheduler_.at(scheduler_.now() + interval_, [this] { probe_all(); });
  if (shared_probing_ && !shared_probing_->should_probe()) {
    for (Instance& instance : monitored_) {
      if (const auto runs = shared_probing_->reported_running(instance.listed.id))
        set_running(instance, *runs);
    }
    return;
  }
  if (shared_probing_ && shared_probing_->report) {
    std::map<std::string, bool> all;  // from the results of the previous round
    for (const Instance& instance : monitored_) all[instance.listed.id] = instance.runs;
    shared_probing_->report(all);
  }
  for (const Instance& instance : monitored_) {
    ++probes_sent_;
    const core::Target target{instance.listed.entry.engine, instance.listed.id, instance.listed.address};
    const auto may_write = [] { return true; };
    instances_.probe(target, may_write, [this, target](const core::AttemptResult& result) {
      on_probe_result(target, result.verdict != core::Verdict::broken);
    });
  }
}

void InstanceMonitor::on_probe_result(const core::Target& target, bool runs) {
  Instance* const found = find(target.id);
  // A reload may have removed the instance or changed its address since the check was sent.
  if (found == nullptr || found->listed.address != target.address) return;
  Instance& instance = *found;
  instance.failures = runs ? 0 : instance.failures + 1;
  set_running(instance, instance.failures < kFailuresUntilDown);
}

void InstanceMonitor::set_running(Instance& instance, bool runs) {
  if (runs == instance.runs) return;
  instance.runs = runs;
  if (!runs) instance.failures = kFailuresUntilDown;
  // It may have restarted in the meantime and is treated as cold.
  if (runs) instance.listed.entry.started = scheduler_.now();
  publish();
}

void InstanceMonitor::set_drained(const std::set<std::string>& ids) {
  bool changed = false;
  for (Instance& instance : monitored_) {
    const bool drained = ids.contains(instance.listed.id);
    changed |= std::exchange(instance.drained, drained) != drained;
  }
  if (changed) publish();
}

bool InstanceMonitor::has(const std::string& id) const {
  return std::ranges::any_of(monitored_,
                             [&id](const Instance& instance) { return instance.listed.id == id; });
}

InstanceMonitor::Instance* InstanceMonitor::find(const std::string& id) {
  const auto instance = std::ranges::find(monitored_, id, [](const Instance& b) { return b.listed.id; });
  return instance == monitored_.end() ? nullptr : &*instance;
}

bool InstanceMonitor::drain(const std::string& id, bool on) {
  Instance* const instance = find(id);
  if (instance == nullptr) return false;
  instance->drained = on;
  publish();
  return true;
}

std::size_t InstanceMonitor::serving_count() const {
  return std::size_t(
      std::ranges::count_if(monitored_, [](const Instance& b) { return b.runs && !b.drained; }));
}

void InstanceMonitor::publish() {
  core::FleetUpdate update{eiderarch::ListScope::complete, {}};
  for (Instance& instance : monitored_) {
    instance.listed.entry.state = !instance.runs     ? EngineState::gone
                                  : instance.drained ? EngineState::draining
                                                     : EngineState::live;
    update.entries.push_back(instance.listed);
  }
  on_update_(std::move(update));
}

}  // namespace bankmux::net
