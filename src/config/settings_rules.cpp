#include "config/settings_rules.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <sstream>
#include <string_view>

#include "config/fields.hpp"

namespace bankmux::config {

using nlohmann::json;

namespace {

enum class Type { any, number, integer, boolean, text, object, list };

constexpr double kUnbounded = std::numeric_limits<double>::infinity();
constexpr double kDaySeconds = 86'400.0;  // no wait or time of a site's rules is longer
constexpr double kMaxCount = 1e6;         // of attempts, conductors or tiers
constexpr double kMaxTokens = 1e12;
constexpr double kMaxPrice = 1e3;  // prices and shares of the scoring mix are fractions of 1, far below this

struct Rule {
  Type type = Type::any;
  double min = 0.0, max = kUnbounded;
  bool required = false;  // the rules depend on it and no default would be safe
};

constexpr Rule kText{Type::text};
constexpr Rule kBoolean{Type::boolean};
constexpr Rule kObject{Type::object};
constexpr Rule kList{Type::list};
constexpr Rule kFraction{Type::number, 0.0, 1.0};
constexpr Rule kSeconds{Type::number, 0.0, kDaySeconds};
constexpr Rule kPrice{Type::number, 0.0, kMaxPrice};
constexpr Rule kCount{Type::integer, 0.0, kMaxCount};

constexpr Rule required(Rule rule) {
  rule.required = true;
  return rule;
}

// `a.b` is a member, `a[]` any element of a list. Values of type `any` are not checked.
const std::map<std::string_view, Rule>& rules() {
  static const std::map<std::string_view, Rule> kRules{
      {"azs", required(kList)},
      {"azs[]", kText},
      {"callers", kObject},
      {"callers.marksRetry", kBoolean},
      {"categories", required(kList)},
      {"categories[]", kObject},
      {"categories[].aimStretch", {Type::number, 0.0, kMaxCount}},
      {"categories[].deadlineS", required({Type::number, 0.001, kDaySeconds})},
      {"categories[].effect", required(kText)},
      {"categories[].group", kText},
      {"categories[].lateWorth", kFraction},
      {"categories[].name", required(kText)},
      {"categories[].stream", kBoolean},
      {"categories[].targetS", required({Type::number, 0.001, kDaySeconds})},
      {"categories[].windowS", kSeconds},
      {"categories[].worth", {Type::number, 0.0, kMaxCount}},
      {"domainType", kText},
      {"familyInfo", required(kObject)},
      {"familyInfo.ahead", kBoolean},
      {"familyInfo.aimUsPer1000PromptTokens", kList},
      {"familyInfo.aimUsPer1000PromptTokens[]", {Type::number, 0.0, kDaySeconds * 1e6}},
      {"familyInfo.dutyByKind", required(kList)},
      {"familyInfo.dutyByKind[]", kText},
      {"familyInfo.releaseWithinS", kSeconds},
      {"familyInfo.reportX0", {Type::any}},
      {"familyInfo.reportX1", {Type::any}},
      {"familyInfo.resume", kBoolean},
      {"familyInfo.tokenAimS", kList},
      {"familyInfo.tokenAimS[]", kSeconds},
      {"familyInfo.tokensByKind", kList},
      {"familyInfo.tokensByKind[]", {Type::number, 0.0, kMaxTokens}},
      {"familyInfo.transferPrice", kPrice},
      {"familyInfo.writersRead", kBoolean},
      {"layer", kCount},
      {"me", kCount},
      {"nInstances", {Type::integer, 1.0, kMaxCount}},
      {"overShareWorth", kFraction},
      {"policyLimits", required(kObject)},
      {"policyLimits.cancel", kBoolean},
      {"policyLimits.connIdleS", {Type::number, 0.001, kDaySeconds}},
      {"policyLimits.connectTimeoutS", {Type::number, 0.001, kDaySeconds}},
      {"policyLimits.cpuUsPerRequest", {Type::number, 0.0, kDaySeconds * 1e6}},
      {"policyLimits.cpuUsPerS", {Type::number, 0.0, kDaySeconds * 1e6}},
      {"policyLimits.maxAttempts", required({Type::integer, 1.0, kMaxCount})},
      {"policyLimits.maxOpen", {Type::integer, 0.0, 1e9}},
      {"policyLimits.maxRetryAfterS", kSeconds},
      {"policyLimits.mayProbe", kBoolean},
      {"policyLimits.peers", kBoolean},
      {"policyLimits.retryAfter", kBoolean},
      {"policyLimits.secondCopies", kBoolean},
      {"policyLimits.streamsPerConn", kCount},
      {"prices", kObject},
      {"prices.connection", kPrice},
      {"prices.crossZone", kPrice},
      {"prices.fleet", kPrice},
      {"prices.handshake", kPrice},
      {"prices.lateFail", kPrice},
      {"prices.moves", kPrice},
      {"prices.origin", kPrice},
      {"prices.peer", kPrice},
      {"prices.probe", kPrice},
      {"prices.registryMode", kPrice},
      {"prices.waste", kPrice},
      {"registryMode", kText},
      {"report", kObject},
      {"report.fields", kList},
      {"report.fields[]", kText},
      {"report.how", kText},
      {"resolutionS", kSeconds},
      {"rules", required(kObject)},
      {"rules.askWithinS", kSeconds},
      {"rules.coldFrom", required(kFraction)},
      {"rules.coldS", required(kSeconds)},
      {"rules.drainGraceS", required(kSeconds)},
      {"rules.fallS", required(kSeconds)},
      {"rules.graceToAnswerS", kSeconds},
      {"rules.overloadFactor", required({Type::number, 0.01, kMaxCount})},
      {"scoringMix", kObject},
      {"scoringMix.whole", kPrice},
      {"scoringMix.worstClass", kPrice},
      {"scoringMix.worstTenant", kPrice},
      {"scoringMix.worstWindow", kPrice},
      {"skus", required(kList)},
      {"skus[]", kText},
      {"tenants", kList},
      {"tenants[]", kObject},
      {"tenants[].fraction", kFraction},
      {"tenants[].name", required(kText)},
      {"tenants[].quotaRps", {Type::number, 0.0, 1e9}},
      {"tiers", {Type::any}},
      {"weights", kText},
      {"worthBy", kText},
      {"zone", kCount},
  };
  return kRules;
}

[[noreturn]] void fail(const std::string& path, const std::string& what) {
  throw BadConfig("'settings." + path + "' " + what);
}

std::string shortened(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  constexpr std::size_t kMaxLength = 40;  // characters of a value in an error message
  return text.size() > kMaxLength ? text.substr(0, kMaxLength) + "..." : text;
}

void check_number(const std::string& path, const json& value, const Rule& rule) {
  if (!value.is_number()) fail(path, "is not a number: " + shortened(value));
  const double number = value.get<double>();
  if (rule.type == Type::integer && number != std::floor(number)) fail(path, "is not a whole number");
  if (number >= rule.min && number <= rule.max) return;
  std::ostringstream message;
  message << "must be between " << rule.min << " and " << rule.max << ": " << number;
  fail(path, message.str());
}

void check_type(const std::string& path, const json& value, const Rule& rule) {
  switch (rule.type) {
    case Type::any:
      return;
    case Type::number:
    case Type::integer:
      return check_number(path, value, rule);
    case Type::boolean:
      if (!value.is_boolean()) fail(path, "is not true or false: " + shortened(value));
      return;
    case Type::text:
      if (!value.is_string() || value.get_ref<const std::string&>().empty())
        fail(path, "is not text: " + shortened(value));
      return;
    case Type::object:
      if (!value.is_object()) fail(path, "is not an object: " + shortened(value));
      return;
    case Type::list:
      if (!value.is_array()) fail(path, "is not a list: " + shortened(value));
      return;
  }
}

class SettingsChecker {
 public:
  // Patterns of the keys that the table does not have, each once.
  std::vector<std::string> unknown;

  // `path` is used in messages and `pattern` in the table: `path` with empty brackets for list indices.
  void check_object(const json& value, const std::string& path, const std::string& pattern) {
    const std::string prefix = path.empty() ? "" : path + ".";
    const std::string pattern_prefix = pattern.empty() ? "" : pattern + ".";
    for (const auto& [name, member] : value.items()) {
      if (!member.is_null()) check_value(member, prefix + name, pattern_prefix + name);
    }
    for (const auto& [known, rule] : rules()) {
      if (!rule.required || !known.starts_with(pattern_prefix)) continue;
      const std::string name(known.substr(pattern_prefix.size()));
      if (name.find_first_of(".[") != std::string::npos) continue;
      const auto it = value.find(name);
      if (it == value.end() || it->is_null()) fail(prefix + name, "is missing");
    }
  }

 private:
  void check_value(const json& value, const std::string& path, const std::string& pattern) {
    const auto rule = rules().find(pattern);
    if (rule == rules().end()) {
      if (std::ranges::find(unknown, pattern) == unknown.end()) unknown.push_back(pattern);
      return;
    }
    check_type(path, value, rule->second);
    if (rule->second.type == Type::object) check_object(value, path, pattern);
    if (rule->second.type != Type::list) return;
    for (std::size_t i = 0; i < value.size(); ++i) {
      check_value(value[i], path + "[" + std::to_string(i) + "]", pattern + "[]");
    }
  }
};

}  // namespace

std::vector<std::string> check_settings(const json& settings) {
  if (!settings.is_object()) throw BadConfig("'settings' is not an object");
  SettingsChecker checker;
  checker.check_object(settings, "", "");
  const auto zone = settings.find("zone");
  if (zone != settings.end() && zone->is_number() && zone->get<double>() >= double(settings["azs"].size())) {
    fail("zone", "must be an index into 'azs'");
  }
  return checker.unknown;
}

}  // namespace bankmux::config
