// The API key file: read at start and on SIGHUP, written by `bankmux key`. It holds salted hashes, never the
// keys themselves, and must not be accessible to group or others.
#pragma once

#include <string>
#include <vector>

#include "admission/keys.hpp"
#include "config/fields.hpp"

namespace bankmux::config {

// Both throw BadConfig, which names the invalid setting or the file's mode.
std::vector<admission::Key> read_keys(const std::string& path);
std::vector<admission::Key> parse_keys(const nlohmann::json& document);
// Replaces the file atomically by a new one with mode 0600, written next to it. Throws std::runtime_error.
void write_keys(const std::string& path, const std::vector<admission::Key>& keys);
nlohmann::json keys_json(const std::vector<admission::Key>& keys);

}  // namespace bankmux::config
