// Terminal console for operators: shows instances, load, requests and drains, refreshed every second.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bankmux::app {

// Renders the JSON of /-/status as lines of at most `columns` characters. `selected` is the index of the
// highlighted instance, -1 for none. Throws nlohmann::json exceptions if `status` lacks an expected field.
std::string render_status(const nlohmann::json& status, int columns, int selected);

// Shows the appliance whose operator page listens at `address`. With `once`, or if standard input or output
// is not a terminal, prints the status once and returns. Returns the exit code: 0 success, 1 no valid answer,
// 2 invalid address.
int console(const std::string& address, bool once);

}  // namespace bankmux::app
