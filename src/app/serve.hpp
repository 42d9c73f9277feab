// Start and stop of the serving program: wiring for the platform and for the appliance.
#pragma once

#include <functional>

#include "config/appliance.hpp"
#include "config/config.hpp"

namespace bankmux::app {

// Serve until told to end and all that was taken is answered.
// `reread` reads the same configuration again for a reload; throws BadConfig where that is faulty.
void serve(const config::Config& config, const std::function<config::Config()>& reread);
void serve(config::Appliance appliance, const std::function<config::Appliance()>& reread);

}  // namespace bankmux::app
