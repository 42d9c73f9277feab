// What operators do to a platform conductor by its second address: figures, maintenance, drain and resume;
// and what it shares with the process that is to follow it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/shared_file.hpp"
#include "config/config.hpp"
#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"
#include "net/platform/management_page.hpp"
#include "net/platform/platform_front.hpp"
#include "operations/maintenance.hpp"

namespace bankmux::app {

class Operations {
 public:
  // `folder`: where the file of what is out lies, for this process and its successors. Listens at
  // `config.mgmt`; throws std::runtime_error where it cannot.
  Operations(net::Loop& loop, core::Conductor& conductor, net::PlatformFront& front,
             const config::Config& config, const std::string& folder);
  Operations(const Operations&) = delete;
  Operations& operator=(const Operations&) = delete;

  // From now on this process takes clients, by this server.
  void takes_clients(net::HttpServer& server) { clients_ = &server; }
  // It has been told to end.
  void ending() { ending_ = true; }

 private:
  void drain(bool on);
  bool maintain(const std::string& id, bool out);
  void read_file();
  void look();

  net::Loop& loop_;
  core::Conductor& conductor_;
  net::PlatformFront& front_;
  SharedFile file_;
  net::HttpServer* clients_ = nullptr;
  std::optional<core::Time> draining_;
  bool ending_ = false;
  net::ManagementPage page_;
  net::HttpServer server_;
  std::unique_ptr<core::Timer> next_;
};

}  // namespace bankmux::app
