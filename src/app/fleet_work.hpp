// The appliance's part in a fleet on one machine: its duties over the store, what it makes of the prober's
// report, and operators' words that count for all.
#pragma once

#include <functional>

#include "config/appliance.hpp"
#include "coordination/sqlite_store.hpp"
#include "duties/duty_runner.hpp"
#include "duties/fleet_view.hpp"
#include "net/appliance/box_watch.hpp"
#include "net/appliance/operator_page.hpp"
#include "net/loop/loop.hpp"
#include "net/loop/mailbox.hpp"

namespace bankmux::app {

class FleetWork {
 public:
  FleetWork(net::Loop& loop, const config::Coordination& settings, core::Duration check_every,
            net::BoxWatch& boxes, net::OperatorPage& page);
  FleetWork(const FleetWork&) = delete;
  FleetWork& operator=(const FleetWork&) = delete;

  // Before this process ends: others take its duties over at once.
  void leave() {
    runner_.leave([] {});
  }

 private:
  void state(const std::vector<coordination::Entry>& entries);
  void publish(const std::map<std::string, bool>& runs);

  net::Loop& loop_;
  net::BoxWatch& boxes_;
  net::Mailbox mailbox_;
  coordination::SqliteStore store_;
  duties::FleetView view_;
  duties::DutyRunner runner_;
  std::uint64_t reports_ = 0;
  bool publishing_ = false;
};

}  // namespace bankmux::app
