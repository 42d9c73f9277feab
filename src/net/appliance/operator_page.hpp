// What the operator's console and commands read and say: GET /-/status, /-/tenants, /-/duties and
// /-/ledger/KEY, POST
// /-/boxes/ID/drain and /resume, POST /-/drain and /resume for the whole appliance.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "admission/door.hpp"
#include "config/appliance.hpp"
#include "core/conductor.hpp"
#include "net/appliance/agent_check.hpp"
#include "net/appliance/box_watch.hpp"
#include "net/http/http_server.hpp"

namespace bankmux::net {

class OperatorPage {
 public:
  OperatorPage(const core::Conductor& conductor, const core::Scheduler& scheduler, BoxWatch& boxes,
               const admission::Door& door, const config::Appliance& appliance);

  // Where several processes share operators' words: `drain` says it to all, and then whether it was written;
  // `duties` is what /-/duties shows.
  struct Fleet {
    std::function<void(const std::string& id, bool out, std::function<void(bool)> done)> drain;
    std::function<nlohmann::json()> duties;
  };
  void share(Fleet fleet) { fleet_ = std::move(fleet); }

  void handle(std::unique_ptr<Incoming> incoming);
  // The process has been told to end.
  void set_ending() { ending_ = true; }
  // What balancers are told: down with no box that serves, drain on the operator's word or at the end, else
  // up with the part of the boxes and of the request table that is free.
  [[nodiscard]] Standing standing() const;

 private:
  [[nodiscard]] std::string status() const;
  [[nodiscard]] std::string tenants() const;
  [[nodiscard]] std::string ledger(const std::string& key) const;
  void drain_box(std::unique_ptr<Incoming> incoming, const std::string& id, bool out);

  const core::Conductor& conductor_;
  const core::Scheduler& scheduler_;
  BoxWatch& boxes_;
  const admission::Door& door_;
  const config::Appliance& appliance_;
  core::Time started_;
  std::optional<Fleet> fleet_;
  bool drained_ = false;
  bool ending_ = false;
};

}  // namespace bankmux::net
