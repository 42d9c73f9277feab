// Runs the loop until SIGTERM or SIGINT and then until all that was taken is answered.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/conductor.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"

namespace bankmux::app {

class WindDown {
 public:
  // `accepting`: for how long new connections are still taken, since front layers and balancers notice late.
  WindDown(net::Loop& loop, const core::Conductor& conductor, std::vector<net::HttpServer*> servers,
           core::Duration accepting, std::function<void()> begun);
  void run();

 private:
  void begin();
  void look();

  net::Loop& loop_;
  const core::Conductor& conductor_;
  std::vector<net::HttpServer*> servers_;
  core::Duration accepting_;
  std::function<void()> begun_;
  std::unique_ptr<core::Timer> next_;
  bool ending_ = false;
};

}  // namespace bankmux::app
