// Builds and runs the serving process, for the platform and for the appliance.
#pragma once

#include <functional>

#include "config/appliance.hpp"
#include "config/config.hpp"

namespace bankmux::app {

// Serve until a termination signal arrives and every accepted request is answered. `reread` reads the same
// configuration again for a reload and throws BadConfig if it is invalid; the old one then stays in force.
// Throw std::runtime_error if a listening address cannot be used.
void serve(const config::Config& config, const std::function<config::Config()>& reread);
void serve(config::Appliance appliance, const std::function<config::Appliance()>& reread);

}  // namespace bankmux::app
