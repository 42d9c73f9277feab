// Runs the event loop until SIGTERM or SIGINT, then until every accepted request is answered. A second SIGINT
// abandons requests whose answer has not begun. SIGHUP reloads the configuration at any time.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"

namespace bankmux::app {

// Blocks SIGHUP, SIGTERM and SIGINT until ProcessLifecycle::run handles them, since their default action
// kills the process. Call it before reading the configuration: an early SIGHUP means that the file is newer
// than what has been read, and an early SIGTERM must not reset connections that clients have opened by then.
void block_signals();

// What a process does some time after its shutdown began, because it is killed later. Times count from the
// beginning of the shutdown.
struct ShutdownLimits {
  core::Duration refuse_after;   // requests that arrive later are refused
  core::Duration abandon_after;  // requests whose answer has not begun by then are refused or failed
};

class ProcessLifecycle {
 public:
  // `accept_time`: how long new connections are still accepted after shutdown begins, because front layers
  // and balancers notice late. `on_shutdown` runs once when shutdown begins, `reload` on each SIGHUP.
  ProcessLifecycle(net::Loop& loop, core::Conductor& conductor, std::vector<net::HttpServer*> servers,
                   core::Duration accept_time, std::function<void()> on_shutdown,
                   std::function<void()> reload);
  // For a process that is killed some time after its shutdown began.
  void set_limits(ShutdownLimits limits) { limits_ = limits; }
  void run();

 private:
  void begin_shutdown();
  void force_shutdown();
  [[nodiscard]] bool stop_listening();
  void check_finished();

  net::Loop& loop_;
  core::Conductor& conductor_;
  std::vector<net::HttpServer*> servers_;
  core::Duration accept_time_;
  std::function<void()> on_shutdown_, reload_;
  std::optional<ShutdownLimits> limits_;
  std::unique_ptr<core::Timer> poll_timer_, deadline_timer_;
  core::Time stop_listening_by_{0};  // even if connections are still waiting to be accepted
  bool shutting_down_ = false, forced_ = false;
};

}  // namespace bankmux::app
