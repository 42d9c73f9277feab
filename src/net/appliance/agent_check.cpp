#include "net/appliance/agent_check.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

#include "config/address.hpp"

namespace bankmux::net {

namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr core::Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr timeval kTimeout{2, 0};  // 2 s, for a balancer that does not close its side

}  // namespace

std::string agent_line(const HealthStatus& health_status) {
  switch (health_status.state) {
    case HealthStatus::State::drain:
      return "drain\n";
    case HealthStatus::State::down:
      return "down\n";
    case HealthStatus::State::up:
      break;
  }
  // The balancer would treat a weight of 0 as a drain.
  return "up " + std::to_string(std::clamp(health_status.weight, 1, 100)) + "%\n";
}

AgentCheck::AgentCheck(Loop& loop, const std::string& address, std::function<HealthStatus()> health_status)
    : loop_(loop),
      health_status_(std::move(health_status)),
      listener_(loop.listen(
          address,
          [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            run_guarded("agent", [=] { static_cast<AgentCheck*>(self)->accept(socket); });
          },
          this)) {
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    if (accept_error_is_transient(EVUTIL_SOCKET_ERROR())) return;
    run_guarded("agent", [=] { static_cast<AgentCheck*>(self)->pause_listener(); });
  });
}

AgentCheck::~AgentCheck() = default;

std::uint16_t AgentCheck::port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

void AgentCheck::accept(evutil_socket_t socket) {
  if (connections_.size() >= kMaxConnections) {
    evutil_closesocket(socket);
    return;
  }
  BufferEventPtr owner(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* connection = owner.get();
  if (connection == nullptr) {
    evutil_closesocket(socket);
    return;
  }
  connections_.emplace(connection, std::move(owner));
  const std::string line = agent_line(health_status_());
  // The balancer's input (its agent-send text) is read and ignored: closing the connection with unread input
  // would reset it, and the line might be lost.
  bufferevent_setcb(
      connection,
      [](bufferevent* c, void*) {
        evbuffer* input = bufferevent_get_input(c);
        evbuffer_drain(input, evbuffer_get_length(input));
      },
      [](bufferevent* c, void*) { shutdown(bufferevent_getfd(c), SHUT_WR); },
      [](bufferevent* c, short, void* self) { close_connection(c, self); }, this);
  bufferevent_set_timeouts(connection, &kTimeout, &kTimeout);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
  bufferevent_write(connection, line.data(), line.size());
}

// Without a pause libevent would retry accept in a busy loop when the process is out of descriptors.
void AgentCheck::pause_listener() {
  evconnlistener_disable(listener_.get());
  resume_timer_ =
      loop_.at(loop_.now() + kAcceptRetryDelay, [this] { evconnlistener_enable(listener_.get()); });
}

void AgentCheck::close_connection(bufferevent* connection, void* self) {
  static_cast<AgentCheck*>(self)->connections_.erase(connection);
}

}  // namespace bankmux::net
