// The platform conductor's configuration: the PROXY_* environment variables and the JSON file that
// PROXY_CONFIG names. Reading, checking and default values are all here.
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
  std::string mgmt;                  // management address; empty: none
  std::optional<int> passed_socket;  // descriptor of the clients' listening socket, if the platform opens it
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  eiderarch::Settings module;
  std::vector<std::string> classes;
  std::vector<std::string> tenants;  // empty: the site has no tenants
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  core::Duration connect_timeout{250'000};
  core::Duration idle_timeout{15'000'000};
  // CPU time that this process may use per second; 0: not configured.
  core::Duration cpu_budget_per_second{0};
  std::vector<std::string> unknown;  // keys of the settings that are unknown and ignored
  bool stream_reports = false;       // answers carry load reports
  core::FleetUpdate initial_list;
  std::uint64_t initial_list_version = 0;
  std::size_t startup_settings_hash = 0;  // hash of all settings that a reload cannot change
};

// Looks up an environment variable; nullptr if it is not set.
using Environment = std::function<const char*(const char*)>;

// All three throw BadConfig.
Config read_config(const Environment& environment);
// Reads the configuration again while the program runs. The environment dates from the process's start and
// the file is newer, so that the file's `discovery` takes precedence over PROXY_DISCOVERY.
Config reread_config(const Environment& environment);
Config parse_config(const nlohmann::json& document, const Environment& environment);

// One message from discovery: the whole list of instances or changes to it.
struct DiscoveryMessage {
  std::uint64_t version = 0;
  core::FleetUpdate update;
};
// Entries in one list. Each entry costs every conductor memory for as long as it runs, and the module
// examines all entries for each request, so that a longer list is rejected as an error.
constexpr std::size_t kMaxListEntries = 4096;
// Throws eiderarch::wire::MalformedInput.
DiscoveryMessage parse_discovery_message(const nlohmann::json& message, const std::vector<std::string>& zones,
                                         const std::vector<std::string>& kinds);

}  // namespace bankmux::config
