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

enum class Form { any, number, whole, flag, text, object, list };

constexpr double kNoEnd = std::numeric_limits<double>::infinity();
constexpr double kDay = 86'400.0;  // seconds; no wait or rule of a site is longer
constexpr double kMany = 1e6;      // attempts, conductors, tiers
constexpr double kMemory = 1e12;   // tokens
constexpr double kPoints = 1e3;    // a price or a share of the mix is a part of one, and never so much

struct Rule {
  Form form = Form::any;
  double least = 0.0, most = kNoEnd;
  bool needed = false;  // what the rules of the service rest on: no default would be safe
};

constexpr Rule kText{Form::text};
constexpr Rule kFlag{Form::flag};
constexpr Rule kObject{Form::object};
constexpr Rule kList{Form::list};
constexpr Rule kPart{Form::number, 0.0, 1.0};
constexpr Rule kSeconds{Form::number, 0.0, kDay};
constexpr Rule kPrice{Form::number, 0.0, kPoints};
constexpr Rule kCount{Form::whole, 0.0, kMany};

constexpr Rule needed(Rule rule) {
  rule.needed = true;
  return rule;
}

// `a.b` is a member, `a[]` any element of a list. What stands under `any` is not looked at.
const std::map<std::string_view, Rule>& rules() {
  static const std::map<std::string_view, Rule> kRules{
      {"azs", needed(kList)},
      {"azs[]", kText},
      {"callers", kObject},
      {"callers.marksRetry", kFlag},
      {"categories", needed(kList)},
      {"categories[]", kObject},
      {"categories[].aimStretch", {Form::number, 0.0, kMany}},
      {"categories[].deadlineS", needed({Form::number, 0.001, kDay})},
      {"categories[].effect", needed(kText)},
      {"categories[].group", kText},
      {"categories[].lateWorth", kPart},
      {"categories[].name", needed(kText)},
      {"categories[].stream", kFlag},
      {"categories[].targetS", needed({Form::number, 0.001, kDay})},
      {"categories[].windowS", kSeconds},
      {"categories[].worth", {Form::number, 0.0, kMany}},
      {"domainType", kText},
      {"familyInfo", needed(kObject)},
      {"familyInfo.ahead", kFlag},
      {"familyInfo.aimUsPer1000PromptTokens", kList},
      {"familyInfo.aimUsPer1000PromptTokens[]", {Form::number, 0.0, kDay * 1e6}},
      {"familyInfo.dutyByKind", needed(kList)},
      {"familyInfo.dutyByKind[]", kText},
      {"familyInfo.releaseWithinS", kSeconds},
      {"familyInfo.reportX0", {Form::any}},
      {"familyInfo.reportX1", {Form::any}},
      {"familyInfo.resume", kFlag},
      {"familyInfo.tokenAimS", kList},
      {"familyInfo.tokenAimS[]", kSeconds},
      {"familyInfo.tokensByKind", kList},
      {"familyInfo.tokensByKind[]", {Form::number, 0.0, kMemory}},
      {"familyInfo.transferPrice", kPrice},
      {"familyInfo.writersRead", kFlag},
      {"layer", kCount},
      {"me", kCount},
      {"nInstances", {Form::whole, 1.0, kMany}},
      {"overShareWorth", kPart},
      {"policyLimits", needed(kObject)},
      {"policyLimits.cancel", kFlag},
      {"policyLimits.connIdleS", {Form::number, 0.001, kDay}},
      {"policyLimits.connectTimeoutS", {Form::number, 0.001, kDay}},
      {"policyLimits.cpuUsPerRequest", {Form::number, 0.0, kDay * 1e6}},
      {"policyLimits.cpuUsPerS", {Form::number, 0.0, kDay * 1e6}},
      {"policyLimits.maxAttempts", needed({Form::whole, 1.0, kMany})},
      {"policyLimits.maxOpen", {Form::whole, 0.0, 1e9}},
      {"policyLimits.maxRetryAfterS", kSeconds},
      {"policyLimits.mayProbe", kFlag},
      {"policyLimits.peers", kFlag},
      {"policyLimits.retryAfter", kFlag},
      {"policyLimits.secondCopies", kFlag},
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
      {"rules", needed(kObject)},
      {"rules.askWithinS", kSeconds},
      {"rules.coldFrom", needed(kPart)},
      {"rules.coldS", needed(kSeconds)},
      {"rules.drainGraceS", needed(kSeconds)},
      {"rules.fallS", needed(kSeconds)},
      {"rules.graceToAnswerS", kSeconds},
      {"rules.overloadFactor", needed({Form::number, 0.01, kMany})},
      {"scoringMix", kObject},
      {"scoringMix.whole", kPrice},
      {"scoringMix.worstClass", kPrice},
      {"scoringMix.worstTenant", kPrice},
      {"scoringMix.worstWindow", kPrice},
      {"skus", needed(kList)},
      {"skus[]", kText},
      {"tenants", kList},
      {"tenants[]", kObject},
      {"tenants[].fraction", kPart},
      {"tenants[].name", needed(kText)},
      {"tenants[].quotaRps", {Form::number, 0.0, 1e9}},
      {"tiers", {Form::any}},
      {"weights", kText},
      {"worthBy", kText},
      {"zone", kCount},
  };
  return kRules;
}

[[noreturn]] void bad(const std::string& path, const std::string& what) {
  throw BadConfig("'settings." + path + "' " + what);
}

std::string named(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  constexpr std::size_t kMost = 40;  // of a value in a complaint
  return text.size() > kMost ? text.substr(0, kMost) + "..." : text;
}

void check_number(const std::string& path, const json& value, const Rule& rule) {
  if (!value.is_number()) bad(path, "is not a number: " + named(value));
  const double number = value.get<double>();
  if (rule.form == Form::whole && number != std::floor(number)) bad(path, "is not a whole number");
  if (number >= rule.least && number <= rule.most) return;
  std::ostringstream words;
  words << "is not within " << rule.least << " and " << rule.most << ": " << number;
  bad(path, words.str());
}

void check_form(const std::string& path, const json& value, const Rule& rule) {
  switch (rule.form) {
    case Form::any:
      return;
    case Form::number:
    case Form::whole:
      return check_number(path, value, rule);
    case Form::flag:
      if (!value.is_boolean()) bad(path, "is not true or false: " + named(value));
      return;
    case Form::text:
      if (!value.is_string() || value.get_ref<const std::string&>().empty())
        bad(path, "is not text: " + named(value));
      return;
    case Form::object:
      if (!value.is_object()) bad(path, "is not an object: " + named(value));
      return;
    case Form::list:
      if (!value.is_array()) bad(path, "is not a list: " + named(value));
      return;
  }
}

class Walk {
 public:
  std::vector<std::string> unknown;

  // `path` is for words, `pattern` for the table: the same but for the numbers in brackets.
  void object(const json& value, const std::string& path, const std::string& pattern) {
    const std::string before = path.empty() ? "" : path + ".";
    const std::string pattern_before = pattern.empty() ? "" : pattern + ".";
    for (const auto& [name, member] : value.items()) {
      if (!member.is_null()) one(member, before + name, pattern_before + name);
    }
    for (const auto& [known, rule] : rules()) {
      if (!rule.needed || !known.starts_with(pattern_before)) continue;
      const std::string name(known.substr(pattern_before.size()));
      if (name.find_first_of(".[") != std::string::npos) continue;
      const auto it = value.find(name);
      if (it == value.end() || it->is_null()) bad(before + name, "is missing");
    }
  }

 private:
  void one(const json& value, const std::string& path, const std::string& pattern) {
    const auto rule = rules().find(pattern);
    if (rule == rules().end()) {
      if (std::ranges::find(unknown, pattern) == unknown.end()) unknown.push_back(pattern);
      return;
    }
    check_form(path, value, rule->second);
    if (rule->second.form == Form::object) object(value, path, pattern);
    if (rule->second.form != Form::list) return;
    for (std::size_t i = 0; i < value.size(); ++i) {
      one(value[i], path + "[" + std::to_string(i) + "]", pattern + "[]");
    }
  }
};

}  // namespace

std::vector<std::string> check_settings(const json& settings) {
  if (!settings.is_object()) throw BadConfig("'settings' is not an object");
  Walk walk;
  walk.object(settings, "", "");
  const auto zone = settings.find("zone");
  if (zone != settings.end() && zone->is_number() && zone->get<double>() >= double(settings["azs"].size())) {
    bad("zone", "is none of 'azs'");
  }
  return walk.unknown;
}

}  // namespace bankmux::config
