// Management address of the platform: readiness, metrics, maintenance of single instances, drain and resume.
// Parses and answers the calls; the actions are passed in.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/conductor.hpp"
#include "net/http/http_server.hpp"

namespace bankmux::net {

class ManagementHandler {
 public:
  struct Actions {
    std::function<bool()> ready;  // whether this process accepts clients
    std::function<void(bool drain)> drain;
    // Takes an instance out of rotation (true) or returns it. True once the change is in force; false if it
    // could not be stored.
    std::function<bool(const std::string& id, bool out)> maintain;
  };

  ManagementHandler(const core::Conductor& conductor, std::vector<std::string> classes, Actions actions)
      : conductor_(conductor), classes_(std::move(classes)), actions_(std::move(actions)) {}

  void handle(std::unique_ptr<IncomingRequest> incoming) const;

 private:
  [[nodiscard]] std::string metrics() const;
  void instance_call(IncomingRequest& incoming, const std::string& path) const;

  const core::Conductor& conductor_;
  std::vector<std::string> classes_;
  Actions actions_;
};

}  // namespace bankmux::net
