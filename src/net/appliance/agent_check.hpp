// The agent-check of common balancers: a TCP connection gets one line, "up 75%", "drain" or "down", and is
// closed.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "net/loop/loop.hpp"

namespace bankmux::net {

struct Standing {
  enum class State { up, drain, down } state = State::up;
  int weight = 100;  // percent of the weight that the balancer has for this appliance
};

// One line of the agent-check protocol, its end included.
std::string agent_line(const Standing& standing);

class AgentCheck {
 public:
  // Throws std::runtime_error where it cannot listen.
  AgentCheck(Loop& loop, const std::string& address, std::function<Standing()> standing);
  AgentCheck(const AgentCheck&) = delete;
  AgentCheck& operator=(const AgentCheck&) = delete;
  ~AgentCheck();
  [[nodiscard]] std::uint16_t port() const;

 private:
  void accept(evutil_socket_t socket);
  void rest_listener();
  static void over(bufferevent* connection, void* self);

  Loop& loop_;
  std::function<Standing()> standing_;
  std::map<bufferevent*, BufferEventPtr> connections_;
  ListenerPtr listener_;
  std::unique_ptr<core::Timer> accept_again_;
};

}  // namespace bankmux::net
