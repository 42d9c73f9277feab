// Start and stop of the serving program: wiring, signals, winding down.
#pragma once

#include "config/config.hpp"

namespace bankmux::app {

// Serves until SIGTERM or SIGINT and all that was taken is answered; returns the exit code.
int serve(const config::Config& config);

}  // namespace bankmux::app
