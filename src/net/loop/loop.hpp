// Event loop: implements core::Scheduler on libevent, with RAII owners for libevent objects.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/ports.hpp"

namespace bankmux::net {

template <auto Free>
struct Deleter {
  template <typename T>
  void operator()(T* object) const {
    Free(object);
  }
};
using BasePtr = std::unique_ptr<event_base, Deleter<event_base_free>>;
using EventPtr = std::unique_ptr<event, Deleter<event_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, Deleter<bufferevent_free>>;
using BufferPtr = std::unique_ptr<evbuffer, Deleter<evbuffer_free>>;
using ListenerPtr = std::unique_ptr<evconnlistener, Deleter<evconnlistener_free>>;

// Runs `run` and logs any exception under `where`. Exceptions must not propagate through libevent's C frames.
void run_guarded(const char* where, const std::function<void()>& run);

// Whether an accept4 error concerns a single connection or a signal, so that the next call may succeed at
// once. Linux reports pending network errors of a waiting connection through accept4.
[[nodiscard]] bool accept_error_is_transient(int error);

// Single-threaded event loop. Callbacks that throw are logged, see run_guarded().
class Loop : public core::Scheduler {
 public:
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  [[nodiscard]] core::Time now() const override;
  [[nodiscard]] std::unique_ptr<core::Timer> at(core::Time when, std::function<void()> run) override;
  void soon(std::function<void()> run) override;

  [[nodiscard]] event_base* base() const { return base_.get(); }
  // Calls `run` each time the signal `number` arrives.
  [[nodiscard]] EventPtr on_signal(int number, std::function<void()>* run);
  // Listens at an address from the configuration. Throws std::runtime_error on failure.
  [[nodiscard]] ListenerPtr listen(const std::string& address, evconnlistener_cb accepted, void* self);
  // Accepts on a socket that is already listening and may be shared with other processes. Throws
  // std::runtime_error on failure.
  [[nodiscard]] ListenerPtr listen_on(int socket, evconnlistener_cb accepted, void* self);
  void run();
  void stop();

 private:
  void run_soon();

  BasePtr base_;
  EventPtr soon_event_;
  std::vector<std::function<void()>> soon_tasks_;
  // Unix time minus the steady clock, in microseconds, taken once at construction
  std::int64_t offset_us_ = 0;
};

}  // namespace bankmux::net
