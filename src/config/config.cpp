#include "config/config.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <cmath>
#include <cstring>
#include <set>
#include <string_view>

#include "codec.hpp"
#include "config/address.hpp"
#include "config/settings_rules.hpp"

namespace bankmux::config {

using nlohmann::json;
namespace wire = eiderarch::wire;

namespace {

constexpr wire::EntryFormat kDiscoveryEntry{"id",         "state", "zone",
                                            "cell",       "kind",  "weight",
                                            "started_ms", 1000.0,  {"SERVING", "DRAINING", "DELETED"}};

// Returns the environment variable's value if it is set, otherwise the document's; empty if neither is given
// and the value is not `needed`.
std::string text_or_environment(const Fields& f, const char* key, const Environment& environment,
                                const char* variable, bool needed = true) {
  const char* value = environment(variable);
  if (value != nullptr && *value != '\0') return value;
  return needed || f.has(key) ? f.text(key) : "";
}

std::string address_or_environment(const Fields& f, const char* key, const Environment& environment,
                                   const char* variable, bool needed = true) {
  std::string value = text_or_environment(f, key, environment, variable, needed);
  if ((needed || !value.empty()) && !Address::parse(value))
    f.fail(key, "is not an IPv4 address and port: '" + value + "'");
  return value;
}

// An unsigned number or a hexadecimal string; 1 if it is missing.
std::uint64_t read_seed(const Fields& f, const json& document) {
  const auto it = document.find("seed");
  if (it == document.end()) return 1;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  if (!it->is_string()) f.fail("seed", "must be a string or an unsigned number");
  const std::string value = it->get<std::string>();
  if (value.empty() || value.size() > 16 ||
      value.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    f.fail("seed", "is not a hexadecimal number of up to 16 digits");
  }
  return std::stoull(value, nullptr, 16);
}

// The descriptor of a listening socket that the platform has opened for this process.
std::optional<int> read_passed_socket(const Environment& environment) {
  const char* value = environment("PROXY_PASSED_SOCKET");
  if (value == nullptr || *value == '\0') return std::nullopt;
  int fd = -1;
  const auto [end, error] = std::from_chars(value, value + std::strlen(value), fd);
  int listens = 0;
  socklen_t size = sizeof listens;
  const bool valid = error == std::errc{} && *end == '\0' && fd > STDERR_FILENO;
  if (!valid || getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) {
    throw BadConfig("'PROXY_PASSED_SOCKET' is not the descriptor of a listening socket: '" +
                    std::string(value) + "'");
  }
  return fd;
}

}  // namespace

Config read_config(const Environment& environment) {
  const char* path = environment("PROXY_CONFIG");
  if (path == nullptr || *path == '\0') throw BadConfig("'PROXY_CONFIG' is not set");
  return parse_config(read_document("PROXY_CONFIG", path), environment);
}

Config reread_config(const Environment& environment) {
  return read_config([&environment](const char* name) {
    return std::string_view(name) == "PROXY_DISCOVERY" ? nullptr : environment(name);
  });
}

Config parse_config(const json& document, const Environment& environment) {
  const Fields f(document, "");
  Config c;
  c.name = text_or_environment(f, "name", environment, "PROXY_NAME");
  c.listen = address_or_environment(f, "listen", environment, "PROXY_LISTEN");
  c.discovery = address_or_environment(f, "discovery", environment, "PROXY_DISCOVERY");
  c.mgmt = address_or_environment(f, "mgmt", environment, "PROXY_MGMT", false);
  c.passed_socket = read_passed_socket(environment);
  const Fields limits = f.section("limits");
  c.sockets = limits.count("sockets", 1024, 32, 1'000'000);
  c.memory_mb = limits.count("memory_mb", 192, 16, 1'000'000);
  if (!f.has("settings")) f.fail("settings", "is missing");
  c.unknown = check_settings(document.at("settings"));
  const Fields settings = f.section("settings");
  for (const Fields& row : settings.objects("categories")) c.classes.push_back(row.text("name"));
  // A site without tenants has an empty list or none.
  const json tenants = document.at("settings").value("tenants", json());
  if (!tenants.is_null() && tenants != json::array()) {
    for (const Fields& row : settings.objects("tenants")) c.tenants.push_back(row.text("name"));
  }
  c.zones = settings.texts("azs");
  c.kinds = settings.texts("skus");
  const Fields policy = settings.section("policyLimits");
  c.connect_timeout = policy.seconds("connectTimeoutS", c.connect_timeout);
  c.idle_timeout = policy.seconds("connIdleS", c.idle_timeout);
  c.cpu_budget_per_second = core::Duration(std::llround(policy.number("cpuUsPerS", 0.0, 0.0, 1e9)));
  try {
    c.module = wire::decode_options(document.at("settings"), read_seed(f, document));
  } catch (const wire::MalformedInput& problem) {
    throw BadConfig(std::string("settings: ") + problem.what());
  }
  if (c.module.kinds.size() != c.kinds.size())
    settings.fail("familyInfo.dutyByKind", "must have as many entries as 'skus'");
  c.startup_settings_hash =
      std::hash<std::string>{}(c.name + ' ' + c.listen + ' ' + document.value("limits", json()).dump() +
                               document.at("settings").dump());
  c.stream_reports = c.module.report_mode == eiderarch::ReportMode::answers;
  if (document.contains("known")) {
    try {
      DiscoveryMessage known = parse_discovery_message(document.at("known"), c.zones, c.kinds);
      c.initial_list = std::move(known.update);
      c.initial_list_version = known.version;
    } catch (const wire::MalformedInput& problem) {
      throw BadConfig(std::string("known: ") + problem.what());
    }
  }
  c.initial_list.scope = eiderarch::ListScope::disk;
  return c;
}

DiscoveryMessage parse_discovery_message(const json& message, const std::vector<std::string>& zones,
                                         const std::vector<std::string>& kinds) {
  if (!message.is_object()) throw wire::MalformedInput("not an object");
  DiscoveryMessage result;
  const auto version = message.find("version");
  if (version == message.end() || !version->is_number_unsigned()) {
    throw wire::MalformedInput("field 'version' is not a whole number");
  }
  result.version = version->get<std::uint64_t>();
  const auto full = message.find("full");
  const bool complete = full != message.end() && full->is_boolean() && full->get<bool>();
  result.update.scope = complete ? eiderarch::ListScope::complete : eiderarch::ListScope::changes;
  const auto servers = message.find("servers");
  if (servers == message.end() || !servers->is_array())
    throw wire::MalformedInput("field 'servers' is not a list");
  if (servers->size() > kMaxListEntries) {
    throw wire::MalformedInput("field 'servers' has " + std::to_string(servers->size()) +
                               " entries, more than " + std::to_string(kMaxListEntries));
  }
  // Two entries of one instance may contradict each other, and neither takes precedence.
  std::set<eiderarch::EngineId> listed_engines;
  for (const json& row : *servers) {
    if (!row.is_object()) throw wire::MalformedInput("field 'servers' holds something that is not an object");
    core::ListEntry listed;
    listed.entry = wire::decode_entry(row, kDiscoveryEntry, zones, kinds);
    // Without this, decode_entry's default is the first of several kinds, and a decode instance could be
    // taken for a prefill instance, whose attempts count as having no effect.
    if (!row.contains("kind") && kinds.size() > 1) listed.entry.kind = eiderarch::kKindNotNamed;
    listed.id = wire::text_field(row, "id");
    if (row.contains("addr")) listed.address = wire::text_field(row, "addr");
    if (!listed.address.empty() && !Address::parse(listed.address)) {
      throw wire::MalformedInput("field 'addr' is not an address: '" + listed.address + "'");
    }
    if (!listed_engines.insert(listed.entry.engine).second) {
      throw wire::MalformedInput("field 'id' names '" + listed.id + "' twice");
    }
    result.update.entries.push_back(std::move(listed));
  }
  return result;
}

}  // namespace bankmux::config
