// What the program is told: PROXY_* and the JSON that PROXY_CONFIG names. Read, checked and defaulted here
// and nowhere else.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/fields.hpp"
#include "core/ports.hpp"
#include "eiderarch/router.hpp"

namespace bankmux::config {

struct Config {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string mgmt;                  // the second address; empty: none
  std::optional<int> passed_socket;  // the clients' listening socket, where the platform holds it
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  eiderarch::Settings module;
  std::vector<std::string> classes;
  std::vector<std::string> tenants;  // none: the site has no shares
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  core::Duration connect_timeout{250'000};
  core::Duration idle_timeout{15'000'000};
  core::Duration cpu_a_second{0};    // processor time that this process may use in a second; 0: not told
  std::vector<std::string> unknown;  // keys of the settings that are passed over
  bool stream_reports = false;       // answers hold load reports
  core::FleetNews known;
  std::uint64_t known_version = 0;
  std::size_t fixed = 0;  // of all that counts from the start alone; differs where any of it does
};

using Environment = std::function<const char*(const char*)>;

// Both throw BadConfig.
Config read_config(const Environment& environment);
// Again while the program runs: the environment is as old as the process and the file is newer, so the file's
// `discovery` counts.
Config reread_config(const Environment& environment);
Config parse_config(const nlohmann::json& document, const Environment& environment);

// One object of discovery's: the whole list or changes. Throws eiderarch::wire::MalformedInput.
struct ListMessage {
  std::uint64_t version = 0;
  core::FleetNews news;
};
ListMessage parse_list(const nlohmann::json& message, const std::vector<std::string>& zones,
                       const std::vector<std::string>& kinds);

}  // namespace bankmux::config
