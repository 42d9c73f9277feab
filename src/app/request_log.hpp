// The one log line that ends each request, the same for both fronts.
#pragma once

#include <string>
#include <vector>

#include "core/conductor.hpp"

namespace bankmux::app {

// `classes`: names, by the number that requests carry.
core::Conductor::Observer request_log(std::vector<std::string> classes,
                                      std::vector<std::string> tenants = {});

}  // namespace bankmux::app
