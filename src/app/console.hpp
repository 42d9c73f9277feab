// The operator's terminal: fleet, load, requests and drains, drawn anew each second.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bankmux::app {

// One picture as lines of text; `selected` is the box under the cursor, -1 for none. Throws nlohmann's
// exceptions where `status` is not what /-/status gives.
std::string draw(const nlohmann::json& status, int columns, int selected);

// Shows the appliance whose operator's page listens at `address`. With `once`, or where standard output is no
// terminal, prints one picture and ends. Returns the exit code.
int console(const std::string& address, bool once);

}  // namespace bankmux::app
