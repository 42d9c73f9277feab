#include "net/loop/loop.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "config/address.hpp"
#include "log/log.hpp"

namespace bankmux::net {

using core::Duration;
using core::Time;

namespace {

constexpr int kListenBacklog = 512;  // absorbs bursts of new connections that would otherwise be refused

std::int64_t micros(auto since_epoch) {
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

class LoopTimer : public core::Timer {
 public:
  LoopTimer(event_base* base, Duration wait, std::function<void()> run)
      : run_(std::move(run)), event_(event_new(base, -1, 0, &LoopTimer::fired, this)) {
    const auto us = std::max<std::int64_t>(wait.count(), 0);
    const timeval time{static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
    if (!event_ || event_add(event_.get(), &time) != 0)
      throw std::runtime_error("cannot create a timer event");
  }

 private:
  static void fired(evutil_socket_t, short, void* self) {
    // Moved out first, because the callback may destroy this timer.
    const std::function<void()> run = std::move(static_cast<LoopTimer*>(self)->run_);
    run_guarded("timer", run);
  }
  std::function<void()> run_;
  EventPtr event_;
};

}  // namespace

void run_guarded(const char* where, const std::function<void()>& run) {
  try {
    run();
  } catch (const std::exception& problem) {
    log::write(where, std::string("exception: ") + problem.what());
  }
}

bool accept_error_is_transient(int error) {
  constexpr int kTransient[] = {EINTR,     ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT,
                                EHOSTDOWN, ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
  return std::ranges::find(kTransient, error) != std::end(kTransient);
}

Loop::Loop() : base_(event_base_new()) {
  if (!base_) throw std::runtime_error("cannot create the libevent event loop");
  soon_event_.reset(event_new(
      base_.get(), -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->run_soon(); },
      this));
  offset_us_ = micros(std::chrono::system_clock::now().time_since_epoch()) -
               micros(std::chrono::steady_clock::now().time_since_epoch());
}

// libevent frees a connection only after its scheduled callbacks have had their turn. Those of destroyed
// objects do nothing.
Loop::~Loop() {
  soon_event_.reset();
  event_base_loop(base_.get(), EVLOOP_NONBLOCK);
}

Time Loop::now() const {
  return Time(micros(std::chrono::steady_clock::now().time_since_epoch()) + offset_us_);
}

std::unique_ptr<core::Timer> Loop::at(Time when, std::function<void()> run) {
  return std::make_unique<LoopTimer>(base_.get(), when - now(), std::move(run));
}

void Loop::soon(std::function<void()> run) {
  if (soon_tasks_.empty()) {
    const timeval none{0, 0};
    event_add(soon_event_.get(), &none);
  }
  soon_tasks_.push_back(std::move(run));
}

void Loop::run_soon() {
  for (const auto& run : std::exchange(soon_tasks_, {})) run_guarded("loop", run);
}

EventPtr Loop::on_signal(int number, std::function<void()>* run) {
  EventPtr signal(evsignal_new(
      base_.get(), number,
      [](evutil_socket_t, short, void* handler) {
        run_guarded("signal", *static_cast<std::function<void()>*>(handler));
      },
      run));
  if (!signal || event_add(signal.get(), nullptr) != 0)
    throw std::runtime_error("cannot create a signal event");
  return signal;
}

ListenerPtr Loop::listen(const std::string& address, evconnlistener_cb accepted, void* self) {
  ListenerPtr listener;
  if (const auto at = config::Address::parse(address)) {
    sockaddr_in ip{};
    ip.sin_family = AF_INET;
    ip.sin_port = htons(at->port);
    inet_pton(AF_INET, at->host.c_str(), &ip.sin_addr);
    const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    listener.reset(evconnlistener_new_bind(base_.get(), accepted, self, flags, kListenBacklog,
                                           reinterpret_cast<sockaddr*>(&ip), sizeof ip));
  }
  if (!listener) throw std::runtime_error("cannot listen at '" + address + "'");
  return listener;
}

ListenerPtr Loop::listen_on(int socket, evconnlistener_cb accepted, void* self) {
  evutil_make_socket_nonblocking(socket);
  // Backlog 0 keeps the value set by the process that opened the socket, which already listens.
  const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
  ListenerPtr listener(evconnlistener_new(base_.get(), accepted, self, flags, 0, socket));
  if (!listener) throw std::runtime_error("cannot accept on descriptor " + std::to_string(socket));
  return listener;
}

void Loop::run() { event_base_dispatch(base_.get()); }
void Loop::stop() { event_base_loopbreak(base_.get()); }

}  // namespace bankmux::net
