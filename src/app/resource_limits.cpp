#include "app/resource_limits.hpp"

#include <algorithm>

namespace bankmux::app {

namespace {

constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kReservedSockets = 64;       // for the loop, log, discovery, listeners and a reserve
constexpr std::size_t kMinUnsentBytes = 8 * 1024;  // of one stream
constexpr std::size_t kReadBytes = 4 * 1024;  // that a connection reads at once, libevent's EVBUFFER_MAX_READ
// Input, unsent output, answers and parsed JSON have one of these shares each; what is left is for everything
// else.
constexpr std::size_t kMemoryShares = 5;

}  // namespace

ResourceLimits::ResourceLimits(std::size_t sockets, std::size_t memory_mb)
    : memory_bytes(memory_mb * kBytesPerMegabyte) {
  const std::size_t available = sockets > 2 * kReservedSockets ? sockets - kReservedSockets : sockets / 2;
  // Client connections with an open request use at most a third of all descriptors; the rest of the clients'
  // share is for connections without one. Each request needs a connection to an instance, and more for calls
  // beside it.
  clients.connections = available * 55 / 100;
  instances = available - clients.connections;
  // Otherwise an open request might find no descriptor for its instance when there are few.
  requests = std::min({sockets / 3, instances, clients.connections});
  const std::size_t share = memory_bytes / kMemoryShares;
  clients.held_bytes = share;
  answer_bytes = share;
  json_bytes = share;
  // All streams at once, if none of their clients reads. A stream is paused after the read that exceeds its
  // limit, and a quarter of what a buffer takes may be unused.
  const std::size_t stream_bytes = share / requests * 3 / 4;
  const std::size_t unsent_bytes = stream_bytes - std::min(stream_bytes, kReadBytes);
  clients.unsent_bytes = std::clamp(unsent_bytes, kMinUnsentBytes, clients.unsent_bytes);
}

}  // namespace bankmux::app
