// Front for the platform protocol: translates client requests to core::ClientRequest, and replies back to
// HTTP.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/platform/open_request_ids.hpp"

namespace bankmux::net {

class PlatformFront {
 public:
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
  [[nodiscard]] OpenRequestIds& open_ids() { return *open_ids_; }
  // Answer of the readiness check on the client address.
  void set_ready(bool ready) { ready_ = ready; }

 private:
  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  std::vector<std::string> classes_, tenants_;
  // Shared with the replies, which may outlive this object.
  std::shared_ptr<OpenRequestIds> open_ids_ = std::make_shared<OpenRequestIds>();
  bool ready_ = true;
};

}  // namespace bankmux::net
