// The platform's protocol between clients and this conductor: its headers to the core's terms and back.
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
  using Names = std::shared_ptr<std::set<std::string>>;

  PlatformFront(core::Conductor& conductor, core::Scheduler& scheduler, std::vector<std::string> classes,
                std::vector<std::string> tenants)
      : conductor_(conductor),
        scheduler_(scheduler),
        classes_(std::move(classes)),
        tenants_(std::move(tenants)) {}

  void handle(std::unique_ptr<Incoming> incoming);
  // Goes on with a stream that another process of this conductor began, by the request's name; takes both
  // descriptors. Where the client's side can't be read, or that name is open here, both are closed.
  void take_over(const std::string& name, core::RunningStream stream, HttpServer& clients,
                 const core::Conductor::MakeAttempt& make);
  void set_ready(bool ready) { ready_ = ready; }

 private:
  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  std::vector<std::string> classes_, tenants_;
  Names open_ = std::make_shared<std::set<std::string>>();  // of the requests that are open
  bool ready_ = true;
};

}  // namespace bankmux::net
