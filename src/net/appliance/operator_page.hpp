// The HTTP interface of the operator's console and commands: GET /-/status, /-/tenants, /-/duties, /-/healthy
// and /-/ledger/KEY, POST /-/boxes/ID/drain and /resume for one instance, POST /-/drain and /-/resume for the
// whole appliance.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "admission/admission_control.hpp"
#include "config/appliance.hpp"
#include "core/conductor.hpp"
#include "net/appliance/agent_check.hpp"
#include "net/appliance/instance_monitor.hpp"
#include "net/http/http_server.hpp"

namespace bankmux::net {

class OperatorPage {
 public:
  OperatorPage(const core::Conductor& conductor, const core::Scheduler& scheduler, InstanceMonitor& monitor,
               const admission::AdmissionControl& admission_control, const config::Appliance& appliance);

  // Callbacks for processes that coordinate through a store: `drain` applies a drain or resume in all of them
  // and then calls `done` with whether it was written; `duties` returns the content of /-/duties.
  struct SharedOperations {
    std::function<void(const std::string& id, bool drained, std::function<void(bool)> done)> drain;
    std::function<nlohmann::json()> duties;
  };
  void share_operations(SharedOperations callbacks) { shared_operations_ = std::move(callbacks); }

  void handle(std::unique_ptr<IncomingRequest> incoming);
  // The process is shutting down, so that health_status() is at best drain.
  void set_shutting_down() { shutting_down_ = true; }
  // The state for load balancers: down if no instance serves, drain if an operator drained the appliance or
  // it shuts down, otherwise up. The weight is the fraction of instances that serve times the free fraction
  // of the request table.
  [[nodiscard]] HealthStatus health_status() const;

 private:
  [[nodiscard]] std::string status() const;
  [[nodiscard]] std::string tenants() const;
  [[nodiscard]] std::string ledger(const std::string& key) const;
  void drain_instance(std::unique_ptr<IncomingRequest> incoming, const std::string& id, bool drained);

  const core::Conductor& conductor_;
  const core::Scheduler& scheduler_;
  InstanceMonitor& monitor_;
  const admission::AdmissionControl& admission_control_;
  const config::Appliance& appliance_;
  core::Time started_;
  std::optional<SharedOperations> shared_operations_;
  bool drained_by_operator_ = false;
  bool shutting_down_ = false;
};

}  // namespace bankmux::net
