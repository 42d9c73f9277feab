// Start and stop of the serving program: wiring for the platform and for the appliance.
#pragma once

#include "config/appliance.hpp"
#include "config/config.hpp"

namespace bankmux::app {

// Serve until told to end and all that was taken is answered.
void serve(const config::Config& config);
void serve(const config::Appliance& appliance);

}  // namespace bankmux::app
