// The platform's second address: readiness, figures, instances out and back, drain and resume. It words the
// calls; what they do is handed in.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/conductor.hpp"
#include "net/http/http_server.hpp"

namespace bankmux::net {

class ManagementPage {
 public:
  struct Acts {
    std::function<bool()> ready;  // whether this process takes clients
    std::function<void(bool drain)> drain;
    // Out for maintenance, or back; once it returns true it is in force. False: it could not be made so.
    std::function<bool(const std::string& id, bool out)> maintain;
  };

  ManagementPage(const core::Conductor& conductor, std::vector<std::string> classes, Acts acts)
      : conductor_(conductor), classes_(std::move(classes)), acts_(std::move(acts)) {}

  void handle(std::unique_ptr<Incoming> incoming) const;

 private:
  [[nodiscard]] std::string metrics() const;
  void instance_call(Incoming& incoming, const std::string& path) const;

  const core::Conductor& conductor_;
  std::vector<std::string> classes_;
  Acts acts_;
};

}  // namespace bankmux::net
