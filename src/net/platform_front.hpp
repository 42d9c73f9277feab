// The platform's protocol between clients and this conductor: its headers to the core's terms and back.
#pragma once

#include <string>
#include <vector>

#include "core/conductor.hpp"
#include "net/http_server.hpp"

namespace bankmux::net {

class PlatformFront {
 public:
  PlatformFront(core::Conductor& conductor, core::Scheduler& scheduler, std::vector<std::string> classes)
      : conductor_(conductor), scheduler_(scheduler), classes_(std::move(classes)) {}

  void handle(std::unique_ptr<Incoming> incoming);
  void set_ready(bool ready) { ready_ = ready; }

 private:
  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  std::vector<std::string> classes_;
  bool ready_ = true;
};

}  // namespace bankmux::net
