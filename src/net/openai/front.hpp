// The OpenAI-style chat API between clients and this conductor.
#pragma once

#include <memory>
#include <string>

#include "config/appliance.hpp"
#include "core/conductor.hpp"
#include "net/http/http_reply.hpp"
#include "net/http/http_server.hpp"

namespace bankmux::net {

class OpenAiFront {
 public:
  // `healthy` says whether a balancer may send here.
  OpenAiFront(core::Conductor& conductor, core::Scheduler& scheduler, const config::Appliance& appliance,
              std::function<bool()> healthy);

  void handle(std::unique_ptr<Incoming> incoming);

 private:
  void chat(std::unique_ptr<Incoming> incoming);

  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  const config::Appliance& appliance_;
  std::function<bool()> healthy_;
  std::string start_;  // with the count below, names requests at the boxes
  std::uint64_t count_ = 0;
};

}  // namespace bankmux::net
