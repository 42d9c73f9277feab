#include "app/wind_down.hpp"

#include <chrono>
#include <csignal>
#include <string>
#include <utility>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kLookEvery = 20ms;
constexpr core::Duration kAcceptLate = 1s;    // for those that found no descriptor or no room
constexpr core::Duration kSilent = 100ms;     // a connection accepted last has its request on the way
constexpr core::Duration kLastWords = 300ms;  // for the answers and releases of what a second word gives up

void mask_reloads(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigprocmask(how, &signals, nullptr);
}

}  // namespace

void hold_reloads() { mask_reloads(SIG_BLOCK); }

WindDown::WindDown(net::Loop& loop, core::Conductor& conductor, std::vector<net::HttpServer*> servers,
                   core::Duration accepting, std::function<void()> begun, std::function<void()> reload)
    : loop_(loop),
      conductor_(conductor),
      servers_(std::move(servers)),
      accepting_(accepting),
      begun_(std::move(begun)),
      reload_(std::move(reload)) {}

void WindDown::run() {
  std::signal(SIGPIPE, SIG_IGN);
  std::function<void()> told = [this] { begin(); };
  std::function<void()> urged = [this] { hurry(); };
  const net::EventPtr term = loop_.on_signal(SIGTERM, &told);
  const net::EventPtr interrupt = loop_.on_signal(SIGINT, &urged);
  const net::EventPtr hang_up = loop_.on_signal(SIGHUP, &reload_);
  mask_reloads(SIG_UNBLOCK);
  loop_.run();
  const core::Figures& f = conductor_.figures();
  log::write("stop", "taken " + std::to_string(f.taken) + ", served " + std::to_string(f.served) +
                         ", refused " + std::to_string(f.refused) + ", failed " + std::to_string(f.failed) +
                         ", broken " + std::to_string(f.broken) + ", client gone " + std::to_string(f.gone) +
                         ", passed on " + std::to_string(f.passed_on) + ", taken over " +
                         std::to_string(f.taken_over));
}

void WindDown::begin() {
  // Supervisors may say it twice, to the process and to its group; what was taken is still owed its answer.
  if (ending_) return;
  ending_ = true;
  log::write("stop", "told to end; open requests: " + std::to_string(conductor_.open_requests()));
  for (net::HttpServer* server : servers_) server->wind_down();
  begun_();
  if (give_up_after_) last_ = loop_.at(loop_.now() + *give_up_after_, [this] { conductor_.abandon(); });
  listen_until_ = loop_.now() + accepting_ + kAcceptLate;
  next_ = loop_.at(loop_.now() + accepting_, [this] { look(); });
}

// Somebody at a terminal who asks again wants an end at once: what has not begun to be answered hears so.
void WindDown::hurry() {
  if (!ending_) return begin();
  if (std::exchange(hurried_, true)) return;  // each further word would put the end off
  conductor_.abandon();
  last_ = loop_.at(loop_.now() + kLastWords, [this] { loop_.stop(); });
}

bool WindDown::stop_listening() {
  bool stopped = true;
  for (net::HttpServer* server : servers_) stopped &= server->stop_listening();
  return stopped;
}

// Idle connections are closed now that no new one comes; the rest end with their answers.
void WindDown::look() {
  const bool listening = !stop_listening() && loop_.now() < listen_until_;
  std::size_t connections = 0;
  for (net::HttpServer* server : servers_) {
    server->close_idle(kSilent);
    connections += server->connections();
  }
  if (!listening && connections == 0 && conductor_.open_requests() == 0 && !conductor_.releasing())
    return loop_.stop();
  next_ = loop_.at(loop_.now() + kLookEvery, [this] { look(); });
}

}  // namespace bankmux::app
