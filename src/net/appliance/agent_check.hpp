// The agent-check protocol of common load balancers: each TCP connection is sent one line, "up 75%", "drain"
// or "down", and is closed.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "net/loop/loop.hpp"

namespace bankmux::net {

// What the agent-check reports about this appliance.
struct HealthStatus {
  enum class State { up, drain, down } state = State::up;
  int weight = 100;  // percent of the weight that the balancer has configured for this appliance
};

// The line for `health_status`, including the newline. An "up" line carries a weight of 1 to 100 percent.
std::string agent_line(const HealthStatus& health_status);

class AgentCheck {
 public:
  // Calls `health_status` for each connection. Throws std::runtime_error if it cannot listen at `address`.
  AgentCheck(Loop& loop, const std::string& address, std::function<HealthStatus()> health_status);
  AgentCheck(const AgentCheck&) = delete;
  AgentCheck& operator=(const AgentCheck&) = delete;
  ~AgentCheck();
  [[nodiscard]] std::uint16_t port() const;

 private:
  void accept(evutil_socket_t socket);
  void pause_listener();
  static void close_connection(bufferevent* connection, void* self);

  Loop& loop_;
  std::function<HealthStatus()> health_status_;
  std::map<bufferevent*, BufferEventPtr> connections_;
  ListenerPtr listener_;
  std::unique_ptr<core::Timer> resume_timer_;
};

}  // namespace bankmux::net
