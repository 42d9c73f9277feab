#include "app/process_lifecycle.hpp"

#include <chrono>
#include <csignal>
#include <string>
#include <utility>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kPollInterval = 20ms;
// For connections that could not be accepted yet for lack of descriptors or slots.
constexpr core::Duration kAcceptRetryTime = 1s;
// The request of a connection that was accepted last may still be on its way.
constexpr core::Duration kIdleThreshold = 100ms;
// For the answers and releases of requests that a second SIGINT abandons.
constexpr core::Duration kForcedStopDelay = 300ms;

void mask_signals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, signal);
  sigprocmask(how, &signals, nullptr);
}

}  // namespace

void block_signals() { mask_signals(SIG_BLOCK); }

ProcessLifecycle::ProcessLifecycle(net::Loop& loop, core::Conductor& conductor,
                                   std::vector<net::HttpServer*> servers, core::Duration accept_time,
                                   std::function<void()> on_shutdown, std::function<void()> reload)
    : loop_(loop),
      conductor_(conductor),
      servers_(std::move(servers)),
      accept_time_(accept_time),
      on_shutdown_(std::move(on_shutdown)),
      reload_(std::move(reload)) {}

void ProcessLifecycle::run() {
  std::signal(SIGPIPE, SIG_IGN);
  std::function<void()> on_term = [this] { begin_shutdown(); };
  std::function<void()> on_interrupt = [this] { force_shutdown(); };
  const net::EventPtr term = loop_.on_signal(SIGTERM, &on_term);
  const net::EventPtr interrupt = loop_.on_signal(SIGINT, &on_interrupt);
  const net::EventPtr hang_up = loop_.on_signal(SIGHUP, &reload_);
  mask_signals(SIG_UNBLOCK);
  loop_.run();
  mask_signals(SIG_BLOCK);  // for the rest of the process, which has no handlers any more
  const core::RequestCounters& counters = conductor_.figures();
  log::write("stop", "taken " + std::to_string(counters.taken) + ", served " +
                         std::to_string(counters.served) + ", refused " + std::to_string(counters.refused) +
                         ", failed " + std::to_string(counters.failed) + ", broken " +
                         std::to_string(counters.broken) + ", client gone " + std::to_string(counters.gone) +
                         ", passed on " + std::to_string(counters.passed_on) + ", taken over " +
                         std::to_string(counters.taken_over));
}

void ProcessLifecycle::begin_shutdown() {
  // Supervisors may signal both the process and its group; a repeated SIGTERM does not abandon requests.
  if (shutting_down_) return;
  shutting_down_ = true;
  log::write("stop", "shutdown requested; open requests: " + std::to_string(conductor_.open_requests()));
  for (net::HttpServer* server : servers_) server->close_after_responses();
  on_shutdown_();
  if (limits_) {
    conductor_.refuse_from(loop_.now() + limits_->refuse_after);
    deadline_timer_ = loop_.at(loop_.now() + limits_->abandon_after, [this] { conductor_.abandon(); });
  }
  stop_listening_by_ = loop_.now() + accept_time_ + kAcceptRetryTime;
  poll_timer_ = loop_.at(loop_.now() + accept_time_, [this] { check_finished(); });
}

// A second SIGINT, from a user at a terminal, asks for an immediate stop: requests whose answer has not begun
// are refused.
void ProcessLifecycle::force_shutdown() {
  if (!shutting_down_) return begin_shutdown();
  if (std::exchange(forced_, true)) return;  // a further signal would postpone the stop
  conductor_.abandon();
  deadline_timer_ = loop_.at(loop_.now() + kForcedStopDelay, [this] { loop_.stop(); });
}

bool ProcessLifecycle::stop_listening() {
  bool stopped = true;
  for (net::HttpServer* server : servers_) stopped &= server->stop_listening();
  return stopped;
}

// Closes idle connections once no new ones are accepted; the others close after their answers.
void ProcessLifecycle::check_finished() {
  const bool listening = !stop_listening() && loop_.now() < stop_listening_by_;
  std::size_t connections = 0;
  for (net::HttpServer* server : servers_) {
    server->close_idle(kIdleThreshold);
    connections += server->connections();
  }
  if (!listening && connections == 0 && conductor_.open_requests() == 0 && !conductor_.releasing())
    return loop_.stop();
  poll_timer_ = loop_.at(loop_.now() + kPollInterval, [this] { check_finished(); });
}

}  // namespace bankmux::app
