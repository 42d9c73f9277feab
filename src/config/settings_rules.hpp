// Validation of a site's settings against one table of keys, types and ranges. The simulator's adapter reads
// settings without these checks; a conductor that started with a misspelt setting would apply a wrong rule
// for a day.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bankmux::config {

// Throws BadConfig, naming the key by its full path, if a required key is missing or any key is malformed or
// out of range. Returns the paths of the keys that the table does not know, each once; they are ignored,
// because a newer platform may send settings that this program does not use.
std::vector<std::string> check_settings(const nlohmann::json& settings);

}  // namespace bankmux::config
