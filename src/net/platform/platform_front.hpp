// Front for the platform protocol: translates client requests to core::ClientRequest, and replies back to
// HTTP.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/conductor.hpp"
#include "net/http/http_server.hpp"

namespace bankmux::net {

class PlatformFront {
 public:
  using OpenIds = std::shared_ptr<std::set<std::string>>;

  PlatformFront(core::Conductor& conductor, core::Scheduler& scheduler, std::vector<std::string> classes,
                std::vector<std::string> tenants)
      : conductor_(conductor),
        scheduler_(scheduler),
        classes_(std::move(classes)),
        tenants_(std::move(tenants)) {}

  void handle(std::unique_ptr<IncomingRequest> incoming);
  // Continues a stream that another process of this conductor began, under the request's id; takes ownership
  // of both descriptors. Closes both if the client state is malformed or the id is already open here.
  void take_over(const std::string& name, core::RunningStream stream, HttpServer& clients,
                 const core::Conductor::MakeAttempt& make);
  // Answer of the readiness check on the client address.
  void set_ready(bool ready) { ready_ = ready; }

 private:
  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  std::vector<std::string> classes_, tenants_;
  OpenIds open_ids_ = std::make_shared<std::set<std::string>>();  // ids of the open requests
  bool ready_ = true;
};

}  // namespace bankmux::net
