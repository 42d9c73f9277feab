#include "config/appliance.hpp"

#include <algorithm>
#include <filesystem>
#include <map>

#include "config/fields.hpp"
#include "config/keys_file.hpp"
#include "config/schema.hpp"

namespace bankmux::config {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t kMostBoxes = 64;
constexpr double kOverShareWorth = 0.25;  // what a tenant asks beyond its quota waits behind the rest
constexpr core::Duration kLeastLease = 1s, kMostLease = 300s;
constexpr double kMib = 1024.0 * 1024.0;

eiderarch::RequestClass read_class(const Fields& f) {
  eiderarch::RequestClass c;
  const std::string repeat = f.text("repeat");
  if (repeat != "safe" && repeat != "never") f.bad("repeat", "is neither 'safe' nor 'never'");
  c.effect = repeat == "safe" ? eiderarch::Effect::safe : eiderarch::Effect::unsafe;
  c.aim = f.seconds("first_token_s", 2s);
  c.aim_per_kilotoken = f.seconds("first_token_s_per_1000", 40ms);
  c.deadline = f.seconds("deadline_s", 10s);
  c.token_aim = f.seconds("token_s", 80ms);
  c.worth = f.number("worth", 1.0, 0.0, 1e6);
  c.late_worth = f.number("late_worth", 0.2, 0.0, 1.0);
  f.no_others();
  return c;
}

std::uint32_t place_of(const Fields& f, const std::string& key, const std::vector<std::string>& names) {
  const std::string name = f.text(key);
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) f.bad(key, "names no class: '" + name + "'");
  return std::uint32_t(it - names.begin());
}

// A box reads and writes, so the split path rests and the module's writer choice is what is left of it.
eiderarch::Settings module_settings() {
  eiderarch::Settings s;
  s.limits.cancel = true;
  s.limits.retry_advice = true;
  s.limits.max_attempts = 3;
  s.limits.max_retry_advice = 2s;
  s.rules.drain_grace = 1s;
  s.rules.cold_time = 10s;
  s.rules.fall_time = 2s;
  s.rules.release_within = 300ms;
  s.rules.cold_from = 0.3;
  s.rules.overload_factor = 2.5;
  s.rating = eiderarch::Rating::nominal;
  s.writers_read = true;
  s.resume = true;
  return s;
}

}  // namespace

bool Appliance::take_over(Appliance fresh) {
  boxes = std::move(fresh.boxes);
  keys_file = std::move(fresh.keys_file);
  keys = std::move(fresh.keys);
  check_every = fresh.check_every;
  seam = fresh.seam;
  default_output = fresh.default_output;
  if (fresh.classes == classes) models = std::move(fresh.models);
  return fresh.fixed == fixed;
}

std::uint32_t Appliance::tenant_number(const std::string& name) const {
  const auto it = std::ranges::lower_bound(tenants, name);
  return std::uint32_t((it != tenants.end() && *it == name ? it : tenants.end()) - tenants.begin());
}

void set_keys(Appliance& appliance, std::vector<admission::Key> keys) {
  std::map<std::string, double> quotas;
  for (const admission::Key& key : keys) {
    const double quota = double(key.limits.requests_per_minute) / 60.0;
    const auto [it, fresh] = quotas.emplace(key.tenant, quota);
    // One key without a limit, and its tenant has none.
    if (!fresh) it->second = it->second > 0.0 && quota > 0.0 ? it->second + quota : 0.0;
  }
  for (const auto& [name, quota] : quotas) {
    appliance.tenants.push_back(name);
    appliance.module.tenants.push_back({quota});
  }
  appliance.module.over_share_worth = kOverShareWorth;
  appliance.keys = std::move(keys);
}

Appliance read_appliance(const std::string& path) {
  Appliance appliance = parse_appliance(read_document("--appliance", path));
  if (!appliance.keys_file.empty()) set_keys(appliance, read_keys(appliance.keys_file));
  return appliance;
}

namespace {

bool plain_name(const std::string& text) {
  return std::ranges::all_of(
      text, [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

Coordination read_coordination(const Fields& f, const std::string& name) {
  Coordination c;
  const std::string folder = f.text("folder");
  std::error_code error;
  if (!std::filesystem::is_directory(folder, error)) f.bad("folder", "is not a folder: '" + folder + "'");
  c.file = folder + "/bankmux-fleet.db";
  c.member = f.text("member", name);
  // It stands in the store's keys.
  if (!plain_name(c.member)) f.bad("member", "holds other than letters, digits, '-', '_' and '.'");
  c.lease = f.seconds("lease_s", c.lease);
  if (c.lease < kLeastLease || c.lease > kMostLease) f.bad("lease_s", "is not within 1 and 300");
  f.no_others();
  return c;
}

Appliance read_fields(const json& document) {
  const Fields f(document, "");
  Appliance a;
  a.module = module_settings();
  a.name = f.text("name", "bankmux");
  a.listen = f.address("listen");
  if (f.has("operator_listen")) a.operator_listen = f.address("operator_listen");
  if (f.has("agent_listen")) a.agent_listen = f.address("agent_listen");
  a.default_output = eiderarch::Tokens(f.count("default_output_tokens", 800, 1, 1'000'000));
  a.check_every = f.seconds("check_every_s", a.check_every);
  a.connect_timeout = f.seconds("connect_timeout_s", a.connect_timeout);
  a.idle_timeout = f.seconds("idle_timeout_s", a.idle_timeout);
  a.sockets = f.count("sockets", a.sockets, 64, 1'000'000);
  a.memory_mb = f.count("memory_mb", a.memory_mb, 32, 1'000'000);
  const double most_mib = f.number("max_body_mib", double(a.most_body) / kMib, 0.25, 64.0);
  a.most_body = std::size_t(most_mib * kMib);
  // All bodies together get a fifth of the memory; one alone must fit.
  if (a.most_body > std::size_t(double(a.memory_mb) * kMib) / 5) {
    f.bad("max_body_mib", "is more than a fifth of 'memory_mb'");
  }
  a.seam = f.seconds("seam_s", a.seam);
  if (f.has("stream_keep_alive_s")) a.stream_keep_alive = f.seconds("stream_keep_alive_s", 15s);
  a.keys_file = f.text("keys", "");
  if (f.has("keys") && a.keys_file.empty()) f.bad("keys", "is empty; leave it out to let everyone ask");
  const Fields ledger = f.section("ledger");
  a.ledger.entries = ledger.count("entries", a.ledger.entries, 0, 10'000'000);
  a.ledger.age = ledger.seconds("age_s", a.ledger.age);
  const double answers = ledger.number("answer_mib", std::min(8.0, double(a.memory_mb) / 8), 0.0, 1024.0);
  // Bodies have a fifth of the memory already.
  if (answers > double(a.memory_mb) / 8) ledger.bad("answer_mib", "is more than an eighth of 'memory_mb'");
  a.ledger.answer_bytes = std::size_t(answers * kMib);
  a.ledger.one_answer = std::min(a.ledger.one_answer, a.ledger.answer_bytes);
  ledger.no_others();
  if (f.has("coordination")) a.coordination = read_coordination(f.section("coordination"), a.name);
  if (f.has("cors_origins")) a.cors_origins = f.texts("cors_origins");
  a.module.limits.max_attempts = int(f.count("max_attempts", 3, 1, 10));
  a.module.seed = f.count("seed", 1, 0, 1'000'000'000);
  for (const Fields& row : f.objects("classes")) {
    const std::string name = row.text("name");
    if (std::ranges::count(a.classes, name) > 0) row.bad("name", "is there twice: '" + name + "'");
    a.classes.push_back(name);
    a.module.classes.push_back(read_class(row));
  }
  for (const Fields& row : f.objects("models")) {
    Model model{row.text("name"), place_of(row, "class", a.classes), false, {}};
    const std::string responses = row.text("responses", "translate");
    if (responses != "translate" && responses != "native") {
      row.bad("responses", "is neither 'translate' nor 'native'");
    }
    model.native_responses = responses == "native";
    const std::string continuation = row.text("continuation", "none");
    if (continuation == "final_message") {
      model.continuation = recovery::Way::final_message;
    } else if (continuation == "prompt") {
      model.continuation = recovery::Way::prompt;
    } else if (continuation != "none") {
      row.bad("continuation", "is none of 'none', 'final_message', 'prompt'");
    }
    if (std::ranges::count(a.models, model.name, &Model::name) > 0) {
      row.bad("name", "is there twice: '" + model.name + "'");
    }
    row.no_others();
    a.models.push_back(std::move(model));
  }
  const Fields boxes = f.section("box_defaults");
  const auto memory = boxes.count("memory_tokens", 0, 0, 1'000'000'000);
  boxes.no_others();
  a.module.kinds = {{eiderarch::Role::both, eiderarch::Tokens(memory)}};
  for (const Fields& row : f.objects("boxes")) {
    Box box{row.text("id"), row.address("address"), row.number("weight", 1.0, 0.01, 1000.0)};
    if (std::ranges::count(a.boxes, box.id, &Box::id) > 0) row.bad("id", "is there twice: '" + box.id + "'");
    // It stands in the paths of the operator's page.
    if (!plain_name(box.id)) row.bad("id", "holds other than letters, digits, '-', '_' and '.'");
    row.no_others();
    a.boxes.push_back(std::move(box));
  }
  if (a.boxes.size() > kMostBoxes) f.bad("boxes", "has more than " + std::to_string(kMostBoxes) + " entries");
  (void)f.has("$schema");  // for editors
  f.no_others();
  json rest = document;
  for (const char* key : {"boxes", "keys", "models", "check_every_s", "seam_s", "default_output_tokens"})
    rest.erase(key);
  a.fixed = std::hash<std::string>{}(rest.dump());
  return a;
}

}  // namespace

// The schema is what is published, so it decides; where the reader finds the same fault, its words are
// clearer.
Appliance parse_appliance(const json& document) {
  try {
    check_schema(document, appliance_schema());
  } catch (const BadConfig&) {
    (void)read_fields(document);
    throw;
  }
  return read_fields(document);
}

}  // namespace bankmux::config
