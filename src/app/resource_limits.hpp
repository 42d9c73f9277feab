// How many of each resource the process may hold, so that neither descriptors nor memory run out. The budget
// is explained in docs/capacity.md.
#pragma once

#include <cstddef>

#include "net/http/http_server.hpp"

namespace bankmux::app {

struct ResourceLimits {
  std::size_t memory_bytes;  // that the process may have
  std::size_t instances;     // connections to instances
  std::size_t requests;      // open at once
  std::size_t answer_bytes;  // held of all answers together
  std::size_t json_bytes;    // of one request's parsed body
  net::ServerLimits clients;

  ResourceLimits(std::size_t sockets, std::size_t memory_mb);
};

}  // namespace bankmux::app
