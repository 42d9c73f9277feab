#include "codec.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>

namespace eiderarch::wire {
namespace {

constexpr double kMicrosPerSecond = 1e6;

[[noreturn]] void reject(const char* name, const char* what) {
  throw MalformedInput(std::string("field '") + name + "' " + what);
}

const Json* find_field(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& require_field(const Json& object, const char* name) {
  const Json* value = find_field(object, name);
  if (value == nullptr) reject(name, "is missing");
  return *value;
}

double as_number(const Json& value, const char* name) {
  if (!value.is_number()) reject(name, "is not a number");
  return value.get<double>();
}

double number(const Json& object, const char* name, double fallback) {
  const Json* value = find_field(object, name);
  return value == nullptr ? fallback : as_number(*value, name);
}

double number(const Json& object, const char* name) { return as_number(require_field(object, name), name); }

std::uint64_t as_integer(const Json& value, const char* name) {
  if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0)) {
    reject(name, "is not a whole number from 0 up");
  }
  return value.get<std::uint64_t>();
}

std::uint64_t integer(const Json& object, const char* name) {
  return as_integer(require_field(object, name), name);
}

std::uint64_t integer(const Json& object, const char* name, std::uint64_t fallback) {
  const Json* value = find_field(object, name);
  return value == nullptr ? fallback : as_integer(*value, name);
}

std::uint32_t index(const Json& object, const char* name, std::uint32_t fallback) {
  const std::uint64_t value = integer(object, name, fallback);
  if (value > UINT32_MAX) reject(name, "is too large");
  return static_cast<std::uint32_t>(value);
}

bool bool_or_false(const Json& object, const char* name) {
  const Json* value = find_field(object, name);
  if (value == nullptr) return false;
  if (!value->is_boolean()) reject(name, "is not true or false");
  return value->get<bool>();
}

std::string string_or(const Json& object, const char* name, const std::string& fallback) {
  const Json* value = find_field(object, name);
  if (value == nullptr) return fallback;
  if (!value->is_string()) reject(name, "is not text");
  return value->get<std::string>();
}

Duration from_seconds(double seconds, const char* name) {
  const double micros = seconds * kMicrosPerSecond;
  if (!std::isfinite(micros) || std::abs(micros) > 9e15) reject(name, "is not a time");
  return Duration(std::llround(micros));
}

Duration duration(const Json& object, const char* name) {
  return from_seconds(number(object, name, 0.0), name);
}

Tokens tokens(double value, const char* name) {
  if (!std::isfinite(value) || std::abs(value) > 9e15) reject(name, "is not a count");
  return std::llround(value);
}

double seconds(Duration value) { return static_cast<double>(value.count()) / kMicrosPerSecond; }

Key key(const Json& object, const char* name) { return hash_key(string_or(object, name, "")); }

template <typename E, std::size_t N>
using Names = std::array<std::pair<std::string_view, E>, N>;

template <typename E, std::size_t N>
E parse_name(const Names<E, N>& names, const std::string& value, const char* field) {
  for (const auto& [name, result] : names) {
    if (name == value) return result;
  }
  reject(field, ("has the unknown value '" + value + "'").c_str());
}

constexpr Names<Effect, 3> kEffects{
    {{"idempotent", Effect::safe}, {"deduplicated", Effect::keyed}, {"at_most_once", Effect::unsafe}}};
constexpr Names<RepeatGroup, 3> kGroups{
    {{"all", RepeatGroup::all}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}}};
constexpr Names<Role, 3> kRoles{{{"read", Role::reader}, {"write", Role::writer}, {"both", Role::both}}};
constexpr Names<ListMode, 2> kListModes{{{"pushed", ListMode::pushed}, {"on_request", ListMode::on_request}}};
constexpr Names<ReportMode, 3> kReportModes{
    {{"silent", ReportMode::none}, {"pull", ReportMode::probes}, {"piggyback", ReportMode::answers}}};
constexpr Names<Rating, 4> kRatings{{{"silent", Rating::none},
                                     {"nominal", Rating::nominal},
                                     {"rough", Rating::rough},
                                     {"live", Rating::live}}};
constexpr Names<ListScope, 4> kScopes{{{"diff", ListScope::changes},
                                       {"snapshot", ListScope::complete},
                                       {"disk", ListScope::disk},
                                       {"error", ListScope::failed}}};
constexpr Names<Outcome, 9> kOutcomes{{{"done", Outcome::served},
                                       {"err", Outcome::error},
                                       {"busy", Outcome::busy},
                                       {"etimedout", Outcome::timed_out},
                                       {"econnrefused", Outcome::not_connected},
                                       {"econnreset", Outcome::reset},
                                       {"ecanceled", Outcome::cancelled},
                                       {"skipped", Outcome::skipped},
                                       {"handover", Outcome::state_held}}};
constexpr Names<ReportField, 8> kFields{{{"concurrent", ReportField::in_flight},
                                         {"depth", ReportField::queued},
                                         {"load_share", ReportField::utilisation},
                                         {"mean_ms", ReportField::latency_ms},
                                         {"tps", ReportField::rate},
                                         {"err_ps", ReportField::errors},
                                         {"x0", ReportField::memory_share},
                                         {"x1", ReportField::queued_ktokens}}};

const Json& object_or_empty(const Json& options, const char* name) {
  static const Json kEmpty = Json::object();
  const Json* value = find_field(options, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_object()) reject(name, "is not an object");
  return *value;
}

const Json& array_or_empty(const Json& options, const char* name) {
  static const Json kEmpty = Json::array();
  const Json* value = find_field(options, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_array()) reject(name, "is not a list");
  return *value;
}

double number_at(const Json& values, std::size_t at, const char* name) {
  return at < values.size() ? as_number(values[at], name) : 0.0;
}

const Json& require_object(const Json& value, const char* name) {
  if (!value.is_object()) reject(name, "holds something that is not an object");
  return value;
}

std::vector<RequestClass> decode_classes(const Json& options, const Json& family) {
  const Json& aims = array_or_empty(family, "aimUsPer1000PromptTokens");
  const Json& token_aims = array_or_empty(family, "tokenAimS");
  std::vector<RequestClass> classes;
  for (const Json& value : array_or_empty(options, "categories")) {
    const Json& row = require_object(value, "categories");
    RequestClass c;
    c.effect = parse_name(kEffects, string_or(row, "effect", "at_most_once"), "effect");
    c.group = parse_name(kGroups, string_or(row, "group", "all"), "group");
    c.repeat_window = duration(row, "windowS");
    c.aim = duration(row, "targetS");
    c.deadline = duration(row, "deadlineS");
    c.aim_per_kilotoken =
        Duration(tokens(number_at(aims, classes.size(), "aimUsPer1000PromptTokens"), "aim"));
    c.token_aim = from_seconds(number_at(token_aims, classes.size(), "tokenAimS"), "tokenAimS");
    c.worth = number(row, "worth", 1.0);
    c.late_worth = number(row, "lateWorth", 0.0);
    classes.push_back(c);
  }
  return classes;
}

std::vector<Kind> decode_kinds(const Json& family) {
  const Json& memory = array_or_empty(family, "tokensByKind");
  std::vector<Kind> kinds;
  for (const Json& value : array_or_empty(family, "dutyByKind")) {
    if (!value.is_string()) reject("dutyByKind", "holds something that is not text");
    Kind kind;
    kind.role = parse_name(kRoles, value.get<std::string>(), "dutyByKind");
    kind.memory = tokens(number_at(memory, kinds.size(), "tokensByKind"), "tokensByKind");
    kinds.push_back(kind);
  }
  return kinds;
}

LoadReport decode_report(const Json& message) {
  LoadReport report;
  const Json& values = object_or_empty(message, "usage");
  for (const auto& [name, field] : kFields) {
    const std::string key_name(name);
    if (const Json* value = find_field(values, key_name.c_str())) {
      report.push_back({field, as_number(*value, key_name.c_str())});
    }
  }
  return report;
}

ListChanged decode_list(const Json& message) {
  ListChanged event;
  event.scope = parse_name(kScopes, text_field(message, "scope"), "scope");
  for (const Json& value : array_or_empty(message, "rowsIn")) {
    event.entries.push_back(decode_entry(require_object(value, "rowsIn"), kSimulatorEntryFormat, {}, {}));
  }
  return event;
}

RequestArrived decode_request(const Json& message) {
  RequestArrived event;
  event.id = integer(message, "txn");
  event.request_class = index(message, "lane", 0);
  event.tenant = index(message, "tenant", 0);
  event.session = key(message, "talk");
  event.prefix = key(message, "prefix");
  event.prompt_tokens = tokens(number(message, "inputLen", 0.0), "inputLen");
  event.prefix_tokens = tokens(number(message, "prefixLen", 0.0), "prefixLen");
  event.max_output = tokens(number(message, "nMax", 0.0), "nMax");
  event.answer_hint = duration(message, "expectedS");
  event.deadline = time_field(message, "deadlineS");
  event.resumed = bool_or_false(message, "reconnect");
  event.client_retry = bool_or_false(message, "isRetry");
  return event;
}

AttemptEnded decode_attempt(const Json& message) {
  AttemptEnded event;
  event.id = integer(message, "txn");
  event.attempt = static_cast<int>(index(message, "trial", 0));
  event.engine = integer(message, "engine");
  event.outcome = parse_name(kOutcomes, text_field(message, "outcome"), "outcome");
  event.elapsed = duration(message, "elapsedS");
  event.request_over = bool_or_false(message, "last");
  event.detail = tokens(number(message, "detail", 0.0), "detail");
  event.report = decode_report(message);
  return event;
}

// Fields common to all action lines.
Json action_json(const char* type, const std::string& instance) {
  return {{"type", type}, {"who", instance}};
}

struct Encoder {
  const std::string& instance;

  Json request(const char* type, RequestId id) const {
    Json out = action_json(type, instance);
    out["txn"] = id;
    return out;
  }
  Json operator()(const Send& a) const {
    Json out = request("TRY", a.id);
    out["engine"] = a.engine;
    if (a.timeout != Duration{0}) out["capS"] = seconds(a.timeout);
    return out;
  }
  Json operator()(const Cancel& a) const {
    Json out = request("DROP_ATTEMPT", a.id);
    out["trial"] = a.attempt;
    return out;
  }
  Json operator()(const Refuse& a) const {
    Json out = request("OVERLOAD_REPLY", a.id);
    if (a.stay_away != Duration{0}) out["waitS"] = seconds(a.stay_away);
    return out;
  }
  Json operator()(const Fail& a) const { return request("END_FAILED", a.id); }
  Json operator()(const Move& a) const { return request("TRANSFER", a.id); }
  Json operator()(const Release& a) const { return request("DROP_STATE", a.id); }
  Json operator()(const ClaimWriter& a) const {
    Json out = request("CLAIM_WRITER", a.id);
    out["engine"] = a.engine;
    return out;
  }
  Json operator()(const Probe& a) const {
    Json out = action_json("INSPECT", instance);
    out["engine"] = a.engine;
    return out;
  }
  Json operator()(const SetTimer& a) const {
    Json out = action_json("WAKE_ME", instance);
    out["tag"] = std::to_string(a.tag);
    out["fireAtS"] = seconds(a.at);
    return out;
  }
  Json operator()(const Subscribe&) const {
    Json out = action_json("TRACK", instance);
    out["on"] = true;
    return out;
  }
  Json operator()(const FetchList&) const { return action_json("REFRESH", instance); }
  Json operator()(const Log& a) const {
    Json out = action_json("LOG", instance);
    out["message"] = a.message;
    return out;
  }
};

}  // namespace

Json parse_object(const std::string& line) {
  Json value = Json::parse(line, nullptr, false);
  if (value.is_discarded()) throw MalformedInput("not JSON");
  if (!value.is_object()) throw MalformedInput("not an object");
  return value;
}

std::string text_field(const Json& object, const char* name) {
  require_field(object, name);
  return string_or(object, name, "");
}

Time time_field(const Json& object, const char* name) { return from_seconds(number(object, name), name); }

// FNV-1a hash: every front must compute the same key for the same text.
Key hash_key(const std::string& text) {
  if (text.empty()) return 0;
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return hash == 0 ? 1 : hash;
}

const EntryFormat kSimulatorEntryFormat{
    "engine", "state", "area", "stripe", "hw", "rating", "startTimeS", 1.0, {"live", "quiescing", "dead"}};

namespace {

// Reads an index, or the position of a name in `names`.
std::uint32_t index_or_position(const Json& row, const char* name, const std::vector<std::string>& names) {
  const Json* value = find_field(row, name);
  if (value == nullptr || !value->is_string()) return index(row, name, 0);
  const auto it = std::find(names.begin(), names.end(), value->get<std::string>());
  if (it == names.end()) reject(name, ("has the unknown value '" + value->get<std::string>() + "'").c_str());
  return static_cast<std::uint32_t>(it - names.begin());
}

}  // namespace

EngineEntry decode_entry(const Json& row, const EntryFormat& form, const std::vector<std::string>& zones,
                         const std::vector<std::string>& kinds) {
  const Names<EngineState, 3> states{{{form.states[0], EngineState::live},
                                      {form.states[1], EngineState::draining},
                                      {form.states[2], EngineState::gone}}};
  EngineEntry entry;
  const Json& engine = require_field(row, form.engine);
  entry.engine = engine.is_string() ? key(row, form.engine) : as_integer(engine, form.engine);
  entry.state = parse_name(states, string_or(row, form.state, form.states[0]), form.state);
  entry.zone = index_or_position(row, form.zone, zones);
  entry.cell = index(row, form.cell, 0);
  entry.kind = index_or_position(row, form.kind, kinds);
  entry.rating = number(row, form.rating, 1.0);
  entry.started = from_seconds(number(row, form.started, 0.0) / form.started_per_second, form.started);
  return entry;
}

Settings decode_settings(const Json& init) {
  require_field(init, "options");
  return decode_options(object_or_empty(init, "options"), integer(init, "rngSeed", 0));
}

Settings decode_options(const Json& options, std::uint64_t seed) {
  const Json& family = object_or_empty(options, "familyInfo");
  const Json& limits = object_or_empty(options, "policyLimits");
  const Json& rules = object_or_empty(options, "rules");
  const Json& prices = object_or_empty(options, "prices");
  Settings s;
  s.seed = seed;
  s.zone = index(options, "zone", 0);
  s.fronts = index(options, "nInstances", 1);
  s.classes = decode_classes(options, family);
  s.kinds = decode_kinds(family);
  for (const Json& value : array_or_empty(options, "tenants")) {
    s.tenants.push_back({number(require_object(value, "tenants"), "quotaRps", 0.0)});
  }
  s.over_share_worth = number(options, "overShareWorth", 1.0);
  s.limits.cancel = bool_or_false(limits, "cancel");
  s.limits.probes = bool_or_false(limits, "mayProbe");
  s.limits.second_copies = bool_or_false(limits, "secondCopies");
  s.limits.retry_advice = bool_or_false(limits, "retryAfter");
  s.limits.max_attempts =
      static_cast<int>(std::min<std::uint32_t>(index(limits, "maxAttempts", 1), INT32_MAX));
  s.limits.max_retry_advice = duration(limits, "maxRetryAfterS");
  s.rules.drain_grace = duration(rules, "drainGraceS");
  s.rules.cold_time = duration(rules, "coldS");
  s.rules.fall_time = duration(rules, "fallS");
  s.rules.ask_within = duration(rules, "askWithinS");
  s.rules.cold_from = number(rules, "coldFrom", 1.0);
  s.rules.overload_factor = number(rules, "overloadFactor", 1.0);
  s.rules.release_within = duration(family, "releaseWithinS");
  s.prices.cross_zone = number(prices, "crossZone", 0.0);
  s.prices.waste = number(prices, "waste", 0.0);
  s.prices.late_fail = number(prices, "lateFail", 0.0);
  s.prices.probe = number(prices, "probe", 0.0);
  s.prices.moves = number(prices, "moves", 0.0);
  s.prices.far_tokens = number(family, "transferPrice", 0.0);
  s.list_mode = parse_name(kListModes, string_or(options, "registryMode", "pushed"), "registryMode");
  s.report_mode =
      parse_name(kReportModes, string_or(object_or_empty(options, "report"), "how", "silent"), "how");
  s.rating = parse_name(kRatings, string_or(options, "weights", "silent"), "weights");
  s.claim_ahead = bool_or_false(family, "ahead");
  s.resume = bool_or_false(family, "resume");
  s.writers_read = bool_or_false(family, "writersRead");
  return s;
}

std::optional<Event> decode_event(const std::string& type, const Json& m) {
  const auto trial = [&m] { return static_cast<int>(index(m, "trial", 0)); };
  if (type == "PEERS_KNOWN") return decode_list(m);
  if (type == "REQUEST") return decode_request(m);
  if (type == "DONE") return decode_attempt(m);
  if (type == "FLOWING") {
    return StreamStarted{integer(m, "txn"), trial(), integer(m, "engine"), duration(m, "elapsedS")};
  }
  if (type == "HOLD_RESULT") {
    return PlaceAnswer{integer(m, "txn"), trial(), integer(m, "engine"), integer(m, "what") == 1};
  }
  if (type == "LAPSED") return RequestGone{integer(m, "txn")};
  if (type == "FIRED") {
    const std::string tag = text_field(m, "tag");
    if (tag.empty() || tag.size() > 19 || tag.find_first_not_of("0123456789") != std::string::npos) return {};
    return TimerFired{std::stoull(tag)};
  }
  if (type == "PONG") {
    return ProbeEnded{integer(m, "engine"), parse_name(kOutcomes, text_field(m, "outcome"), "outcome"),
                      duration(m, "elapsedS"), decode_report(m)};
  }
  return {};
}

std::string encode_action(const std::string& instance, const Action& action) {
  return std::visit(Encoder{instance}, action).dump();
}

std::string encode_crash(const std::string& instance, const std::string& message) {
  Json out = action_json("CRASH", instance);
  out["message"] = message;
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace eiderarch::wire
