// The management address of a platform conductor: metrics, maintenance of instances, drain and resume. The
// set of instances in maintenance is kept in a file that the conductor's next process reads too.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/shared_file.hpp"
#include "config/config.hpp"
#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"
#include "net/platform/management_handler.hpp"
#include "net/platform/platform_front.hpp"
#include "operations/maintenance.hpp"

namespace bankmux::app {

class PlatformManagement {
 public:
  // `folder`: directory of the maintenance file, shared by this process and its successors. Listens at
  // `config.mgmt`; throws std::runtime_error if it cannot.
  PlatformManagement(net::Loop& loop, core::Conductor& conductor, net::PlatformFront& front,
                     const config::Config& config, const std::string& folder);
  PlatformManagement(const PlatformManagement&) = delete;
  PlatformManagement& operator=(const PlatformManagement&) = delete;

  // Sets the server that accepts clients; until then this process reports that it is not ready.
  void set_client_server(net::HttpServer& server) { client_server_ = &server; }
  // The process is shutting down and reports that it is not ready.
  void set_shutting_down() { shutting_down_ = true; }

 private:
  void drain(bool on);
  bool maintain(const std::string& id, bool out_of_rotation);
  void load_file();
  void poll();

  net::Loop& loop_;
  core::Conductor& conductor_;
  net::PlatformFront& front_;
  SharedFile maintenance_file_;
  net::HttpServer* client_server_ = nullptr;
  std::optional<core::Time> draining_since_;
  bool shutting_down_ = false;
  net::ManagementHandler page_;
  net::HttpServer server_;
  std::unique_ptr<core::Timer> poll_timer_;
};

}  // namespace bankmux::app
