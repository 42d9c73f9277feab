// Runs the loop until SIGTERM or SIGINT and then until all that was taken is answered; a further SIGINT gives
// up what has not begun. SIGHUP reloads, at any time.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"

namespace bankmux::app {

// From here on SIGHUP waits for WindDown::run. Called before anything is read: by default the signal kills,
// and one that comes early means a file that is newer than what has been read.
void hold_reloads();

class WindDown {
 public:
  // `accepting`: for how long new connections are still taken, since front layers and balancers notice late.
  WindDown(net::Loop& loop, core::Conductor& conductor, std::vector<net::HttpServer*> servers,
           core::Duration accepting, std::function<void()> begun, std::function<void()> reload);
  // What has not begun to be answered so long after the word to end is given up: soon after, this process is
  // killed.
  void give_up_after(core::Duration time) { give_up_after_ = time; }
  void run();

 private:
  void begin();
  void hurry();
  [[nodiscard]] bool stop_listening();
  void look();

  net::Loop& loop_;
  core::Conductor& conductor_;
  std::vector<net::HttpServer*> servers_;
  core::Duration accepting_;
  std::function<void()> begun_, reload_;
  std::optional<core::Duration> give_up_after_;
  std::unique_ptr<core::Timer> next_, last_;
  core::Time listen_until_{0};  // no longer, though some could not be accepted
  bool ending_ = false, hurried_ = false;
};

}  // namespace bankmux::app
