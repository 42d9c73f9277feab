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

constexpr std::size_t kMaxInstances = 64;
// Factor on the worth of a tenant's requests beyond its quota, so that they queue behind the others.
constexpr double kOverShareWorth = 0.25;
constexpr core::Duration kMinLease = 1s, kMaxLease = 300s;
constexpr double kMib = 1024.0 * 1024.0;

eiderarch::RequestClass read_class(const Fields& f) {
  eiderarch::RequestClass c;
  const std::string repeat = f.text("repeat");
  if (repeat != "safe" && repeat != "never") f.fail("repeat", "must be 'safe' or 'never'");
  c.effect = repeat == "safe" ? eiderarch::Effect::safe : eiderarch::Effect::unsafe;
  c.aim = f.seconds("first_token_s", 2s);
  c.aim_per_kilotoken = f.seconds("first_token_s_per_1000", 40ms);
  c.deadline = f.seconds("deadline_s", 10s);
  c.token_aim = f.seconds("token_s", 80ms);
  c.worth = f.number("worth", 1.0, 0.0, 1e6);
  c.late_worth = f.number("late_worth", 0.2, 0.0, 1.0);
  f.reject_unknown_keys();
  return c;
}

std::uint32_t class_index(const Fields& f, const std::string& key, const std::vector<std::string>& names) {
  const std::string name = f.text(key);
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) f.fail(key, "names an unknown class: '" + name + "'");
  return std::uint32_t(it - names.begin());
}

// Every instance does both prefill and decode, so that prefill is never split off and the decision module
// only chooses a decode instance.
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

bool Appliance::apply_reload(Appliance reloaded) {
  boxes = std::move(reloaded.boxes);
  keys_file = std::move(reloaded.keys_file);
  keys = std::move(reloaded.keys);
  check_every = reloaded.check_every;
  continuation_wait = reloaded.continuation_wait;
  default_output_tokens = reloaded.default_output_tokens;
  if (reloaded.classes == classes) models = std::move(reloaded.models);
  return reloaded.startup_settings_hash == startup_settings_hash;
}

std::uint32_t Appliance::tenant_index(const std::string& name) const {
  const auto it = std::ranges::lower_bound(tenants, name);
  return std::uint32_t((it != tenants.end() && *it == name ? it : tenants.end()) - tenants.begin());
}

void set_keys(Appliance& appliance, std::vector<admission::Key> keys) {
  std::map<std::string, double> quotas;
  for (const admission::Key& key : keys) {
    const double quota = double(key.limits.requests_per_minute) / 60.0;
    const auto [it, inserted] = quotas.emplace(key.tenant, quota);
    // One key without a limit leaves its tenant without a quota.
    if (!inserted) it->second = it->second > 0.0 && quota > 0.0 ? it->second + quota : 0.0;
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

bool is_plain_name(const std::string& text) {
  return std::ranges::all_of(
      text, [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

Coordination read_coordination(const Fields& f, const std::string& name) {
  Coordination c;
  const std::string folder = f.text("folder");
  std::error_code error;
  if (!std::filesystem::is_directory(folder, error)) f.fail("folder", "is not a directory: '" + folder + "'");
  c.file = folder + "/bankmux-fleet.db";
  c.member = f.text("member", name);
  // The name is part of the store's keys.
  if (!is_plain_name(c.member)) f.fail("member", "may contain only letters, digits, '-', '_' and '.'");
  c.lease = f.seconds("lease_s", c.lease);
  if (c.lease < kMinLease || c.lease > kMaxLease) f.fail("lease_s", "must be between 1 and 300");
  f.reject_unknown_keys();
  return c;
}

Appliance read_document_fields(const json& document) {
  const Fields f(document, "");
  Appliance a;
  a.module = module_settings();
  a.name = f.text("name", "bankmux");
  a.listen = f.address("listen");
  if (f.has("operator_listen")) a.operator_listen = f.address("operator_listen");
  if (f.has("agent_listen")) a.agent_listen = f.address("agent_listen");
  a.default_output_tokens = eiderarch::Tokens(f.count("default_output_tokens", 800, 1, 1'000'000));
  a.check_every = f.seconds("check_every_s", a.check_every);
  a.connect_timeout = f.seconds("connect_timeout_s", a.connect_timeout);
  a.idle_timeout = f.seconds("idle_timeout_s", a.idle_timeout);
  a.sockets = f.count("sockets", a.sockets, 64, 1'000'000);
  a.memory_mb = f.count("memory_mb", a.memory_mb, 32, 1'000'000);
  const double max_body_mib = f.number("max_body_mib", double(a.max_body_bytes) / kMib, 0.25, 64.0);
  a.max_body_bytes = std::size_t(max_body_mib * kMib);
  // All request bodies together may use a fifth of the memory; a single one must fit.
  if (a.max_body_bytes > std::size_t(double(a.memory_mb) * kMib) / 5) {
    f.fail("max_body_mib", "must not exceed a fifth of 'memory_mb'");
  }
  a.continuation_wait = f.seconds("seam_s", a.continuation_wait);
  if (f.has("stream_keep_alive_s")) a.stream_keep_alive_interval = f.seconds("stream_keep_alive_s", 15s);
  a.keys_file = f.text("keys", "");
  if (f.has("keys") && a.keys_file.empty())
    f.fail("keys", "is empty; omit it to allow requests without an API key");
  const Fields ledger = f.section("ledger");
  a.ledger.entries = ledger.count("entries", a.ledger.entries, 0, 10'000'000);
  a.ledger.age = ledger.seconds("age_s", a.ledger.age);
  const double answer_mib = ledger.number("answer_mib", std::min(8.0, double(a.memory_mb) / 8), 0.0, 1024.0);
  // Request bodies already have a fifth of the memory.
  if (answer_mib > double(a.memory_mb) / 8)
    ledger.fail("answer_mib", "must not exceed an eighth of 'memory_mb'");
  a.ledger.answer_bytes = std::size_t(answer_mib * kMib);
  a.ledger.max_answer_bytes = std::min(a.ledger.max_answer_bytes, a.ledger.answer_bytes);
  ledger.reject_unknown_keys();
  if (f.has("coordination")) a.coordination = read_coordination(f.section("coordination"), a.name);
  if (f.has("cors_origins")) a.cors_origins = f.texts("cors_origins");
  a.module.limits.max_attempts = int(f.count("max_attempts", 3, 1, 10));
  a.module.seed = f.count("seed", 1, 0, 1'000'000'000);
  for (const Fields& row : f.objects("classes")) {
    const std::string name = row.text("name");
    if (std::ranges::count(a.classes, name) > 0) row.fail("name", "is not unique: '" + name + "'");
    a.classes.push_back(name);
    a.module.classes.push_back(read_class(row));
  }
  for (const Fields& row : f.objects("models")) {
    Model model{row.text("name"), class_index(row, "class", a.classes), false, {}};
    const std::string responses = row.text("responses", "translate");
    if (responses != "translate" && responses != "native") {
      row.fail("responses", "must be 'translate' or 'native'");
    }
    model.native_responses = responses == "native";
    const std::string continuation = row.text("continuation", "none");
    if (continuation == "final_message") {
      model.continuation = recovery::ContinuationMode::final_message;
    } else if (continuation == "prompt") {
      model.continuation = recovery::ContinuationMode::prompt;
    } else if (continuation != "none") {
      row.fail("continuation", "must be 'none', 'final_message' or 'prompt'");
    }
    if (std::ranges::count(a.models, model.name, &Model::name) > 0) {
      row.fail("name", "is not unique: '" + model.name + "'");
    }
    row.reject_unknown_keys();
    a.models.push_back(std::move(model));
  }
  const Fields boxes = f.section("box_defaults");
  const auto memory = boxes.count("memory_tokens", 0, 0, 1'000'000'000);
  boxes.reject_unknown_keys();
  a.module.kinds = {{eiderarch::Role::both, eiderarch::Tokens(memory)}};
  for (const Fields& row : f.objects("boxes")) {
    Instance instance{row.text("id"), row.address("address"), row.number("weight", 1.0, 0.01, 1000.0)};
    if (std::ranges::count(a.boxes, instance.id, &Instance::id) > 0)
      row.fail("id", "is not unique: '" + instance.id + "'");
    // The id is part of paths of the operator page.
    if (!is_plain_name(instance.id)) row.fail("id", "may contain only letters, digits, '-', '_' and '.'");
    row.reject_unknown_keys();
    a.boxes.push_back(std::move(instance));
  }
  if (a.boxes.size() > kMaxInstances)
    f.fail("boxes", "has more than " + std::to_string(kMaxInstances) + " entries");
  (void)f.has("$schema");  // editors use it to find the schema
  f.reject_unknown_keys();
  json rest = document;
  for (const char* key : {"boxes", "keys", "models", "check_every_s", "seam_s", "default_output_tokens"})
    rest.erase(key);
  a.startup_settings_hash = std::hash<std::string>{}(rest.dump());
  return a;
}

}  // namespace

// The published schema decides whether a document is valid. If read_document_fields() rejects it too, its
// message is the clearer one and is reported instead.
Appliance parse_appliance(const json& document) {
  try {
    check_schema(document, appliance_schema());
  } catch (const BadConfig&) {
    (void)read_document_fields(document);
    throw;
  }
  return read_document_fields(document);
}

}  // namespace bankmux::config
