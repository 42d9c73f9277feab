// Request and response contents that the core forwards without interpreting them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/ports.hpp"

namespace bankmux::core {

struct Payload {
  std::string id;  // request identifier sent to the instances
  std::string method;
  std::string target;                                        // path and query
  std::vector<std::pair<std::string, std::string>> headers;  // end-to-end headers as received
  std::string body;
  std::string tenant;        // name for the log; empty if unknown
  bool streamed = true;      // the answer is an event stream; otherwise a single JSON object
  std::int64_t choices = 1;  // of the answer
};

struct Answer {
  int status = 0;
  std::string content_type;
  std::string body;
};

}  // namespace bankmux::core
