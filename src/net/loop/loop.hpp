// libevent's loop behind the core's Scheduler, and owners for libevent's objects.
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
struct Freed {
  template <typename T>
  void operator()(T* object) const {
    Free(object);
  }
};
using BasePtr = std::unique_ptr<event_base, Freed<event_base_free>>;
using EventPtr = std::unique_ptr<event, Freed<event_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, Freed<bufferevent_free>>;
using BufferPtr = std::unique_ptr<evbuffer, Freed<evbuffer_free>>;
using ListenerPtr = std::unique_ptr<evconnlistener, Freed<evconnlistener_free>>;

// Runs what a callback does; an exception ends there and is logged, for none may pass through libevent's
// C frames.
void guarded(const char* where, const std::function<void()>& run);

// Whether an error of accept4 speaks of one connection alone, or of a signal: Linux hands on what already
// went wrong on a waiting connection's network. The next one may be accepted at once.
[[nodiscard]] bool accept_error_is_transient(int error);

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
  // Calls `run` at each of that signal.
  [[nodiscard]] EventPtr on_signal(int number, std::function<void()>* run);
  // Listens at an address of the configuration; throws std::runtime_error where it cannot.
  [[nodiscard]] ListenerPtr listen(const std::string& address, evconnlistener_cb accepted, void* self);
  // Accepts on a socket that listens already and that other processes may accept on too.
  [[nodiscard]] ListenerPtr adopt(int socket, evconnlistener_cb accepted, void* self);
  void run();
  void stop();

 private:
  void run_soon();

  BasePtr base_;
  EventPtr soon_event_;
  std::vector<std::function<void()>> soon_;
  std::int64_t offset_us_ = 0;  // Unix time less the steady clock, as at the start
};

}  // namespace bankmux::net
