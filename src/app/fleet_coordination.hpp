// Coordination between the appliance processes on one machine through a shared store: ownership of duties,
// probe reports of the process that holds the probing duty, and drains that apply to all processes.
#pragma once

#include <functional>

#include "config/appliance.hpp"
#include "coordination/sqlite_store.hpp"
#include "duties/duty_runner.hpp"
#include "duties/fleet_view.hpp"
#include "net/appliance/instance_monitor.hpp"
#include "net/appliance/operator_page.hpp"
#include "net/loop/loop.hpp"
#include "net/loop/mailbox.hpp"

namespace bankmux::app {

class FleetCoordination {
 public:
  FleetCoordination(net::Loop& loop, const config::Coordination& settings, core::Duration check_every,
                    net::InstanceMonitor& monitor, net::OperatorPage& page);
  FleetCoordination(const FleetCoordination&) = delete;
  FleetCoordination& operator=(const FleetCoordination&) = delete;

  // Gives up this process's duties at shutdown, so that other processes take them over at once.
  void leave() {
    runner_.leave([] {});
  }

 private:
  void apply_entries(const std::vector<coordination::Entry>& entries);
  void publish_report(const std::map<std::string, bool>& runs);

  net::Loop& loop_;
  net::InstanceMonitor& monitor_;
  net::Mailbox mailbox_;
  coordination::SqliteStore store_;
  duties::SharedHealthView probe_reports_;
  duties::DutyRunner runner_;
  std::uint64_t report_number_ = 0;
  bool publishing_ = false;
};

}  // namespace bankmux::app
