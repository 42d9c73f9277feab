// Configuration: which values are read, which defaults apply, and that every error message names its key.
#include "config/config.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "config/appliance.hpp"
#include "config/schema.hpp"
#include "integration/platform_fixture.hpp"

using namespace bankmux;
using nlohmann::json;

namespace {

const char* no_environment(const char*) { return nullptr; }

json document() {
  return {{"name", "n1"},
          {"listen", "127.0.0.1:7070"},
          {"discovery", "127.0.0.1:8500"},
          {"seed", "8c1f30d27a5be964"},
          {"settings", integration::site_settings()},
          {"known", json::parse(integration::Platform::line(41, true, {{"s-1", "lectura", "127.0.0.1:1"}}))}};
}

json appliance() {
  return json::parse(R"({"listen": "127.0.0.1:8080",
    "classes": [{"name": "c", "repeat": "safe"}], "models": [{"name": "m", "class": "c"}],
    "boxes": [{"id": "b", "address": "127.0.0.1:9001"}]})");
}

using Mutation = std::function<void(json&)>;
struct InvalidCase {
  const char* key;
  Mutation mutate;
};

template <typename Parse>
void check_rejected(const json& valid, const std::vector<InvalidCase>& cases, Parse parse) {
  CHECK_NOTHROW(parse(valid));
  for (const InvalidCase& invalid_case : cases) {
    json invalid = valid;
    invalid_case.mutate(invalid);
    INFO(invalid_case.key);
    CHECK_THROWS_WITH(parse(invalid), Catch::Contains(std::string("'") + invalid_case.key + "'"));
  }
}

}  // namespace

TEST_CASE("The platform configuration is read and environment variables take precedence") {
  const config::Config c = config::parse_config(document(), no_environment);
  CHECK(c.module.seed == 0x8c1f30d27a5be964);
  CHECK(c.classes == std::vector<std::string>{"consulta", "ajuste"});
  CHECK(c.connect_timeout.count() == 250'000);
  CHECK(c.initial_list_version == 41);
  REQUIRE(c.initial_list.entries.size() == 1);
  CHECK(c.initial_list.entries[0].address == "127.0.0.1:1");
  CHECK(c.initial_list.scope == eiderarch::ListScope::disk);
  const auto environment = [](const char* name) {
    return std::string(name) == "PROXY_NAME" ? "n9" : nullptr;
  };
  CHECK(config::parse_config(document(), environment).name == "n9");
}

TEST_CASE("A site may have no tenants and a tenant without a name is rejected") {
  json modified = document();
  for (const json& no_tenants : {json(), json::array()}) {
    modified["settings"]["tenants"] = no_tenants;
    CHECK(config::parse_config(modified, no_environment).tenants.empty());
  }
  modified["settings"]["tenants"] = json::parse(R"([{"name": "a", "quotaRps": 1.0}, {"name": "b"}])");
  CHECK(config::parse_config(modified, no_environment).tenants == std::vector<std::string>{"a", "b"});
  modified["settings"]["tenants"][1] = {{"quotaRps", 1.0}};
  CHECK_THROWS_WITH(config::parse_config(modified, no_environment),
                    Catch::Contains("'settings.tenants[1].name'"));
}

TEST_CASE("An invalid platform configuration is rejected with the name of the key") {
  check_rejected(
      document(),
      {{"name", [](json& d) { d.erase("name"); }},
       {"listen", [](json& d) { d["listen"] = "here"; }},
       {"discovery", [](json& d) { d["discovery"] = 7; }},
       {"seed", [](json& d) { d["seed"] = "xyz"; }},
       {"limits.sockets",
        [](json& d) {
          d["limits"] = {{"sockets", -1}};
        }},
       {"settings", [](json& d) { d.erase("settings"); }},
       {"settings.categories", [](json& d) { d["settings"].erase("categories"); }},
       {"settings.categories[0].name", [](json& d) { d["settings"]["categories"][0].erase("name"); }},
       {"settings.policyLimits.connIdleS", [](json& d) { d["settings"]["policyLimits"]["connIdleS"] = "x"; }},
       {"settings.familyInfo.dutyByKind", [](json& d) { d["settings"]["skus"] = {"one"}; }},
       {"effect", [](json& d) { d["settings"]["categories"][0]["effect"] = "x"; }},
       {"settings.rules.drainGraceS", [](json& d) { d["settings"]["rules"].erase("drainGraceS"); }},
       {"settings.rules", [](json& d) { d["settings"].erase("rules"); }},
       {"settings.rules.coldFrom", [](json& d) { d["settings"]["rules"]["coldFrom"] = 1.5; }},
       {"settings.rules.overloadFactor", [](json& d) { d["settings"]["rules"]["overloadFactor"] = 0; }},
       {"settings.policyLimits.maxAttempts",
        [](json& d) { d["settings"]["policyLimits"]["maxAttempts"] = 0; }},
       {"settings.policyLimits.maxAttempts",
        [](json& d) { d["settings"]["policyLimits"]["maxAttempts"] = 2.5; }},
       {"settings.policyLimits.cancel", [](json& d) { d["settings"]["policyLimits"]["cancel"] = "yes"; }},
       {"settings.policyLimits.maxRetryAfterS",
        [](json& d) { d["settings"]["policyLimits"]["maxRetryAfterS"] = -1; }},
       {"settings.categories[1].deadlineS",
        [](json& d) { d["settings"]["categories"][1]["deadlineS"] = -3; }},
       {"settings.categories[1].lateWorth", [](json& d) { d["settings"]["categories"][1]["lateWorth"] = 2; }},
       {"settings.familyInfo.tokenAimS[1]",
        [](json& d) { d["settings"]["familyInfo"]["tokenAimS"][1] = "x"; }},
       {"settings.tenants[0].quotaRps",
        [](json& d) { d["settings"]["tenants"] = json::parse(R"([{"name": "a", "quotaRps": -1}])"); }},
       {"settings.overShareWorth", [](json& d) { d["settings"]["overShareWorth"] = 1.5; }},
       {"settings.prices", [](json& d) { d["settings"]["prices"] = 7; }},
       {"settings.zone", [](json& d) { d["settings"]["zone"] = 2; }},
       {"addr", [](json& d) { d["known"]["servers"][0]["addr"] = "nowhere"; }}},
      [](const json& d) { return config::parse_config(d, no_environment); });
  CHECK_THROWS_WITH(config::read_config(no_environment), Catch::Contains("PROXY_CONFIG"));
}

TEST_CASE("An unknown setting is ignored and reported once") {
  json modified = document();
  CHECK(config::parse_config(modified, no_environment).unknown.empty());
  modified["settings"]["rules"]["newRuleS"] = 4.0;
  modified["settings"]["brand"] = {{"new", {{"part", 1}}}};
  for (json& row : modified["settings"]["categories"]) row["shade"] = "blue";
  CHECK(config::parse_config(modified, no_environment).unknown ==
        std::vector<std::string>{"brand", "categories[].shade", "rules.newRuleS"});
}

TEST_CASE("Every number in the settings is checked against its range") {
  // Replaces one number at a time by an impossible value: the error must name a key of the settings.
  const json valid = document();
  const json flattened = valid.at("settings").flatten();
  int numbers = 0;
  for (const auto& [pointer, value] : flattened.items()) {
    if (!value.is_number()) continue;
    ++numbers;
    json invalid = valid;
    invalid["settings"][json::json_pointer(pointer)] = -1e15;
    INFO(pointer);
    CHECK_THROWS_WITH(config::parse_config(invalid, no_environment), Catch::StartsWith("'settings."));
  }
  CHECK(numbers > 20);
}

TEST_CASE("The appliance file is read with defaults and an error names its key") {
  const config::Appliance a = config::parse_appliance(appliance());
  CHECK(a.operator_listen.empty());
  CHECK(a.agent_listen.empty());
  CHECK(a.module.classes.at(0).effect == eiderarch::Effect::safe);
  CHECK(a.boxes.at(0).weight == 1.0);
  check_rejected(appliance(),
                 {{"listen", [](json& d) { d.erase("listen"); }},
                  {"lisen", [](json& d) { d["lisen"] = "127.0.0.1:1"; }},
                  {"agent_listen", [](json& d) { d["agent_listen"] = "x"; }},
                  {"classes", [](json& d) { d["classes"] = json::array(); }},
                  {"classes[0].repeat", [](json& d) { d["classes"][0]["repeat"] = "often"; }},
                  {"classes[0].deadline_s", [](json& d) { d["classes"][0]["deadline_s"] = 0; }},
                  {"models[0].class", [](json& d) { d["models"][0]["class"] = "x"; }},
                  {"boxes[0].address", [](json& d) { d["boxes"][0]["address"] = "x:1"; }},
                  {"boxes[0].id", [](json& d) { d["boxes"][0]["id"] = "a/b"; }},
                  {"boxes[1].id", [](json& d) { d["boxes"].push_back(d["boxes"][0]); }},
                  {"max_body_mib", [](json& d) { d["max_body_mib"] = 60; }},
                  {"cors_origins", [](json& d) { d["cors_origins"] = "*"; }},
                  {"models[0].responses", [](json& d) { d["models"][0]["responses"] = "both"; }},
                  {"max_attempts", [](json& d) { d["max_attempts"] = 1.5; }}},
                 [](const json& d) { return config::parse_appliance(d); });
}

TEST_CASE("The published schema alone rejects invalid files and names the key") {
  check_rejected(appliance(),
                 {{"listen", [](json& d) { d.erase("listen"); }},
                  {"lisen", [](json& d) { d["lisen"] = "127.0.0.1:1"; }},
                  {"classes[0].repeat", [](json& d) { d["classes"][0]["repeat"] = "often"; }},
                  {"classes[0].deadline_s", [](json& d) { d["classes"][0]["deadline_s"] = 0; }},
                  {"boxes[0].address", [](json& d) { d["boxes"][0]["address"] = "x:1"; }},
                  {"boxes[0].wieght", [](json& d) { d["boxes"][0]["wieght"] = 1; }},
                  {"max_attempts", [](json& d) { d["max_attempts"] = 1.5; }}},
                 [](const json& d) { config::check_schema(d, config::appliance_schema()); });
}

TEST_CASE("The shipped appliance file is valid") {
  CHECK_NOTHROW(config::read_appliance(std::string(EIDERARCH_ROOT) + "/deploy/appliance.json"));
}

TEST_CASE("A discovery list that is too long or names an instance twice is rejected") {
  const std::vector<std::string> zones{"quito-norte"}, kinds{"lectura", "escritura", "mixto"};
  const auto list_of = [](int count, int duplicate) {
    json servers = json::array();
    for (int i = 0; i < count; ++i) {
      const int number = i == duplicate ? 0 : i;
      servers.push_back({{"id", "s-" + std::to_string(number)},
                         {"addr", "127.0.0.1:" + std::to_string(1000 + number)},
                         {"zone", "quito-norte"},
                         {"kind", "mixto"},
                         {"cell", 0},
                         {"state", "SERVING"},
                         {"weight", 1.0},
                         {"started_ms", 0}});
    }
    return json{{"version", 3U}, {"full", true}, {"servers", servers}};
  };
  CHECK(config::parse_discovery_message(list_of(4096, -1), zones, kinds).update.entries.size() == 4096);
  CHECK_THROWS_WITH(config::parse_discovery_message(list_of(4097, -1), zones, kinds),
                    Catch::Contains("4097 entries"));
  CHECK_THROWS_WITH(config::parse_discovery_message(list_of(3, 2), zones, kinds),
                    Catch::Contains("'s-0' twice"));
}
