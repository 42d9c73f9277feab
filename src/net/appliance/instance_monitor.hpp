// Discovery for the appliance: lists the instances of its configuration file, checks their health at an
// interval and marks those that an operator drains.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/appliance.hpp"
#include "core/ports.hpp"

namespace bankmux::net {

class InstanceMonitor : public core::Discovery {
 public:
  using UpdateHandler = std::function<void(core::FleetUpdate)>;
  InstanceMonitor(core::Scheduler& scheduler, core::Instances& instances, const config::Appliance& appliance,
                  UpdateHandler on_update);

  // Publishes every instance as running, then starts the health checks.
  void start();
  // Replaces the list of instances. Those with an unchanged id and address keep their state. A drain follows
  // the id to another address.
  void reload(const config::Appliance& appliance);
  void subscribe() override {}
  void fetch() override { publish(); }
  // Drains an instance or, with `on` false, returns it to service; returns false if the id is unknown.
  bool drain(const std::string& id, bool on);
  // Callbacks for processes that share health checks. If not set, this process checks all instances itself.
  struct SharedProbing {
    std::function<bool()> should_probe;  // whether this process has to run the checks now
    // Whether an instance runs according to another process; nullopt without a valid report.
    std::function<std::optional<bool>(const std::string&)> reported_running;
    // Receives this process's results before each round of checks: whether each instance runs, by id.
    std::function<void(const std::map<std::string, bool>&)> report;
  };
  void share_probing(SharedProbing callbacks) { shared_probing_ = std::move(callbacks); }
  // Drains exactly the instances with these ids.
  void set_drained(const std::set<std::string>& ids);
  [[nodiscard]] bool has(const std::string& id) const;
  // Number of health checks sent so far.
  [[nodiscard]] std::uint64_t probes_sent() const { return probes_sent_; }
  // Number of instances that accept new requests.
  [[nodiscard]] std::size_t serving_count() const;

 private:
  struct Instance {
    core::ListEntry listed;
    bool runs = true;
    bool drained = false;
    int failures = 0;
  };
  void apply_config(const config::Appliance& appliance);
  void probe_all();
  void on_probe_result(const core::Target& target, bool runs);
  void set_running(Instance& instance, bool runs);
  [[nodiscard]] Instance* find(const std::string& id);
  void publish();

  core::Scheduler& scheduler_;
  core::Instances& instances_;
  core::Duration interval_;
  UpdateHandler on_update_;
  std::vector<Instance> monitored_;
  std::optional<SharedProbing> shared_probing_;
  std::uint64_t probes_sent_ = 0;
  std::unique_ptr<core::Timer> next_probe_;
};

}  // namespace bankmux::net
