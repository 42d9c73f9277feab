// Writes one log line at the end of each request, the same for both fronts.
#pragma once

#include <string>
#include <vector>

#include "core/conductor.hpp"

namespace bankmux::app {

// Returns the observer that writes the line. `classes` and `tenants` are names, indexed by the number that
// requests carry; a tenant name in the request itself takes precedence.
core::Conductor::Observer request_log(std::vector<std::string> classes,
                                      std::vector<std::string> tenants = {});

}  // namespace bankmux::app
