// What a site's settings may hold: each key, its form and its range, in one table. The simulator's adapter
// reads settings as they come; a conductor that starts on a slip of the pen would serve a day by a wrong
// rule.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bankmux::config {

// Throws BadConfig, naming the key by its whole path, where one that the rules rest on is missing, or where
// any is malformed or out of its range. Returns the paths of the keys that the table does not know, each
// once: a newer platform may tell more than this program reads, so they are passed over.
std::vector<std::string> check_settings(const nlohmann::json& settings);

}  // namespace bankmux::config
