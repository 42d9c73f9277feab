#include "config/config.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "codec.hpp"
#include "config/address.hpp"

namespace bankmux::config {

using nlohmann::json;
namespace wire = eiderarch::wire;

namespace {

constexpr wire::EntryForm kDiscoveryEntry{"id",         "state", "zone",
                                          "cell",       "kind",  "weight",
                                          "started_ms", 1000.0,  {"SERVING", "DRAINING", "DELETED"}};

[[noreturn]] void bad(const std::string& key, const std::string& what) {
  throw BadConfig("'" + key + "' " + what);
}

// The environment's word wins over the document's.
std::string text(const json& document, const char* key, const Environment& environment,
                 const char* variable) {
  if (const char* value = environment(variable); value != nullptr && *value != '\0') return value;
  const auto it = document.find(key);
  if (it == document.end()) bad(key, std::string("is missing, and ") + variable + " is not set");
  if (!it->is_string()) bad(key, "is not text");
  return it->get<std::string>();
}

std::string address(const json& document, const char* key, const Environment& environment,
                    const char* variable) {
  const std::string value = text(document, key, environment, variable);
  if (!Address::parse(value)) bad(key, "is not an IPv4 address and port: '" + value + "'");
  return value;
}

const json& section(const json& parent, const char* key, const std::string& path) {
  static const json kEmpty = json::object();
  const auto it = parent.find(key);
  if (it == parent.end() || it->is_null()) return kEmpty;
  if (!it->is_object()) bad(path, "is not an object");
  return *it;
}

double number(const json& parent, const char* key, const std::string& path, double otherwise, double least,
              double most) {
  const auto it = parent.find(key);
  if (it == parent.end() || it->is_null()) return otherwise;
  if (!it->is_number()) bad(path, "is not a number");
  const double value = it->get<double>();
  if (!(value >= least && value <= most)) bad(path, "is out of range");
  return value;
}

core::Duration seconds(const json& parent, const char* key, const std::string& path,
                       core::Duration otherwise) {
  const double value = number(parent, key, path, double(otherwise.count()) / 1e6, 0.001, 86400.0);
  return core::Duration(std::llround(value * 1e6));
}

std::vector<std::string> names(const json& parent, const char* key, const std::string& path,
                               const char* member = nullptr) {
  const auto it = parent.find(key);
  if (it == parent.end()) bad(path, "is missing");
  if (!it->is_array()) bad(path, "is not a list");
  std::vector<std::string> result;
  for (const json& element : *it) {
    const json* value = &element;
    if (member != nullptr) {
      const auto inner = element.is_object() ? element.find(member) : element.end();
      if (!element.is_object() || inner == element.end())
        bad(path, std::string("has an entry without '") + member + "'");
      value = &*inner;
    }
    if (!value->is_string()) bad(path, "holds something that is not text");
    result.push_back(value->get<std::string>());
  }
  if (result.empty()) bad(path, "is empty");
  return result;
}

std::uint64_t seed(const json& document) {
  const auto it = document.find("seed");
  if (it == document.end()) return 1;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  if (!it->is_string()) bad("seed", "is neither text nor a number");
  const std::string value = it->get<std::string>();
  if (value.empty() || value.size() > 16 ||
      value.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    bad("seed", "is not a hexadecimal number of up to 16 digits");
  }
  return std::stoull(value, nullptr, 16);
}

}  // namespace

Config read_config(const Environment& environment) {
  const char* path = environment("PROXY_CONFIG");
  if (path == nullptr || *path == '\0') bad("PROXY_CONFIG", "is not set");
  std::ifstream file(path);
  if (!file) bad("PROXY_CONFIG", std::string("names a file that cannot be read: ") + path);
  std::ostringstream content;
  content << file.rdbuf();
  const json document = json::parse(content.str(), nullptr, false);
  if (!document.is_object())
    bad("PROXY_CONFIG", std::string("names a file that is not a JSON object: ") + path);
  return parse_config(document, environment);
}

Config parse_config(const json& document, const Environment& environment) {
  Config c;
  c.name = text(document, "name", environment, "PROXY_NAME");
  c.listen = address(document, "listen", environment, "PROXY_LISTEN");
  c.discovery = address(document, "discovery", environment, "PROXY_DISCOVERY");
  const json& limits = section(document, "limits", "limits");
  c.sockets = std::size_t(number(limits, "sockets", "limits.sockets", 1024, 32, 1e6));
  c.memory_mb = std::size_t(number(limits, "memory_mb", "limits.memory_mb", 192, 16, 1e6));
  if (!document.contains("settings")) bad("settings", "is missing");
  const json& settings = section(document, "settings", "settings");
  c.classes = names(settings, "categories", "settings.categories", "name");
  c.zones = names(settings, "azs", "settings.azs");
  c.kinds = names(settings, "skus", "settings.skus");
  const json& policy = section(settings, "policyLimits", "settings.policyLimits");
  c.connect_timeout =
      seconds(policy, "connectTimeoutS", "settings.policyLimits.connectTimeoutS", c.connect_timeout);
  c.idle_timeout = seconds(policy, "connIdleS", "settings.policyLimits.connIdleS", c.idle_timeout);
  try {
    c.module = wire::decode_options(settings, seed(document));
  } catch (const wire::MalformedInput& problem) {
    throw BadConfig(std::string("settings: ") + problem.what());
  }
  if (c.module.classes.size() != c.classes.size()) bad("settings.categories", "does not name every class");
  if (c.module.kinds.size() != c.kinds.size()) bad("settings.familyInfo.dutyByKind", "does not fit 'skus'");
  c.stream_reports = c.module.report_mode == eiderarch::ReportMode::answers;
  if (document.contains("known")) {
    try {
      ListMessage known = parse_list(section(document, "known", "known"), c.zones, c.kinds);
      c.known = std::move(known.news);
      c.known_version = known.version;
    } catch (const wire::MalformedInput& problem) {
      throw BadConfig(std::string("known: ") + problem.what());
    }
  }
  c.known.scope = eiderarch::ListScope::disk;
  return c;
}

ListMessage parse_list(const json& message, const std::vector<std::string>& zones,
                       const std::vector<std::string>& kinds) {
  if (!message.is_object()) throw wire::MalformedInput("not an object");
  ListMessage result;
  const auto version = message.find("version");
  if (version == message.end() || !version->is_number_unsigned()) {
    throw wire::MalformedInput("field 'version' is not a whole number");
  }
  result.version = version->get<std::uint64_t>();
  const auto full = message.find("full");
  const bool whole = full != message.end() && full->is_boolean() && full->get<bool>();
  result.news.scope = whole ? eiderarch::ListScope::complete : eiderarch::ListScope::changes;
  const auto servers = message.find("servers");
  if (servers == message.end() || !servers->is_array())
    throw wire::MalformedInput("field 'servers' is not a list");
  for (const json& row : *servers) {
    if (!row.is_object()) throw wire::MalformedInput("field 'servers' holds something that is not an object");
    core::Listed listed;
    listed.entry = wire::decode_entry(row, kDiscoveryEntry, zones, kinds);
    listed.id = wire::text_field(row, "id");
    if (row.contains("addr")) listed.address = wire::text_field(row, "addr");
    if (!listed.address.empty() && !Address::parse(listed.address)) {
      throw wire::MalformedInput("field 'addr' is not an address: '" + listed.address + "'");
    }
    result.news.entries.push_back(std::move(listed));
  }
  return result;
}

}  // namespace bankmux::config
