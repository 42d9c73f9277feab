#include "net/openai/front.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "log/log.hpp"
#include "net/http/content_coding.hpp"
#include "net/http/payload.hpp"
#include "net/openai/door_answers.hpp"
#include "net/openai/endings.hpp"
#include "net/openai/facts.hpp"
#include "net/openai/json_reader.hpp"
#include "net/openai/reply.hpp"
#include "net/openai/request_rules.hpp"
#include "net/openai/translate.hpp"

namespace bankmux::net {

using nlohmann::json;
using openai::RequestError;

namespace {

constexpr const char* kJson = "application/json";
constexpr std::size_t kMostId = 128;
constexpr std::string_view kModels = "/v1/models";
constexpr std::string_view kChat = "/v1/chat/completions", kCompletions = "/v1/completions",
                           kResponses = "/v1/responses";

bool health_path(std::string_view path) { return path == "/-/healthy" || path == "/-/ready"; }
bool models_path(std::string_view path) {
  return path == kModels ||
         (path.starts_with(kModels) && path.size() > kModels.size() + 1 && path[kModels.size()] == '/');
}

// It stands in headers and log lines, so nothing that could end or forge one.
bool sound_id(std::string_view id) {
  return !id.empty() && id.size() <= kMostId && std::ranges::all_of(id, [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

// The credentials of the Bearer scheme, whose name is in any case (RFC 9110, 11.1); empty where there are
// none.
std::string_view bearer(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.size() <= kScheme.size()) return {};
  if (!same_name(authorization.substr(0, kScheme.size() - 1), "Bearer") || authorization[6] != ' ') return {};
  authorization.remove_prefix(kScheme.size());
  return authorization;
}

std::string path_of(std::string_view target) { return std::string(target.substr(0, target.find('?'))); }

json model_json(const config::Model& model) {
  return {{"id", model.name}, {"object", "model"}, {"created", 0}, {"owned_by", "bankmux"}};
}

}  // namespace

// A request on its way into the core.
struct OpenAiFront::Call {
  openai::Facts facts;
  std::string model;
  std::uint64_t digest = 0;  // of path and body, as the client sent them
  recovery::Way continuation = recovery::Way::none;
  core::Tokens most = 0;  // tokens that it can come to in all
  std::string body;
  std::string target;
  std::unique_ptr<openai::AnswerWriter> writer;
};

OpenAiFront::OpenAiFront(core::Conductor& conductor, core::Scheduler& scheduler, admission::Door& door,
                         const config::Appliance& appliance, std::function<bool()> healthy)
    : conductor_(conductor),
      scheduler_(scheduler),
      door_(door),
      appliance_(appliance),
      healthy_(std::move(healthy)) {
  char text[32];
  std::snprintf(text, sizeof text, "req-%llx-", static_cast<unsigned long long>(scheduler.now().count()));
  start_ = text;
}

std::string OpenAiFront::own_id() { return start_ + std::to_string(++count_); }

ServerHooks OpenAiFront::hooks() {
  ServerHooks hooks;
  hooks.error = [this](int status) {
    const openai::Told told = openai::tell(status);
    Headers headers{{"x-request-id", own_id()}, {"Content-Type", kJson}};
    openai::add_retry_headers(headers, told.should_retry, told.wait);
    return std::pair(std::move(headers), openai::error_object(told.message, told.type, "", told.code));
  };
  hooks.wants = [this](const RequestParser& head) {
    const std::string path = path_of(head.target());
    const bool taken = path == kChat || path == kCompletions || path == kResponses;
    if (head.method() != "POST" || !taken || !known_coding(head.header("Content-Encoding"))) return false;
    // Who has no key gets no room for a body: its answer is known by the head.
    return door_.identify(bearer(head.header("Authorization"))).has_value();
  };
  return hooks;
}

// What every answer carries: the request's name, and for pages of other origins that they may read it.
Headers OpenAiFront::common(const Incoming& incoming) {
  const std::string given = incoming.header("X-Request-Id");
  Headers headers{{"x-request-id", sound_id(given) ? given : own_id()}};
  const std::string origin = incoming.header("Origin");
  if (origin.empty() || appliance_.cors_origins.empty()) return headers;
  const auto& allowed = appliance_.cors_origins;
  const bool all = std::ranges::count(allowed, "*") > 0;
  if (!all && std::ranges::count(allowed, origin) == 0) return headers;
  headers.emplace_back("Access-Control-Allow-Origin", all ? "*" : origin);
  headers.emplace_back("Access-Control-Expose-Headers",
                       "x-request-id, x-should-retry, Retry-After, Retry-After-Ms, Idempotent-Replayed, "
                       "x-ratelimit-limit-requests, x-ratelimit-remaining-requests, "
                       "x-ratelimit-reset-requests, x-ratelimit-limit-tokens, x-ratelimit-remaining-tokens, "
                       "x-ratelimit-reset-tokens");
  headers.emplace_back("Vary", "Origin");
  return headers;
}

void OpenAiFront::answer(Incoming& incoming, const Headers& common, int status, std::string_view body,
                         const Headers& more, std::optional<core::Duration> wait) {
  Headers headers = common;
  if (!body.empty()) headers.emplace_back("Content-Type", body.front() == '{' ? kJson : "text/plain");
  headers.insert(headers.end(), more.begin(), more.end());
  // Nothing was run, and only where there is too much at once does waiting help.
  const openai::Told told = openai::tell(status);
  openai::add_retry_headers(headers, told.should_retry || wait, wait.value_or(told.wait));
  incoming.answer(status, headers, body);
}

void OpenAiFront::turn_away(Incoming& incoming, const Headers& common, const RequestError& problem,
                            const Headers& more, std::optional<core::Duration> wait) {
  const std::string message =
      problem.param.empty() ? problem.message : "'" + problem.param + "' " + problem.message;
  log::write("client", "turned away: " + message.substr(0, 200), [&]() -> json {
    return {{"request_id", common.front().second}, {"status", problem.status}, {"param", problem.param}};
  });
  const char* type = problem.status < 500 ? "invalid_request_error" : "server_error";
  answer(incoming, common, problem.status, openai::error_object(message, type, problem.param, problem.code),
         more, wait);
}

void OpenAiFront::options(Incoming& incoming, const Headers& common, const std::string& allowed) {
  Headers more{{"Allow", allowed}};
  // A preflight asks ahead of a request from a page; what is not allowed there is not said.
  if (!incoming.header("Access-Control-Request-Method").empty() && common.size() > 1) {
    more.emplace_back("Access-Control-Allow-Methods", allowed);
    const std::string asked = incoming.header("Access-Control-Request-Headers");
    more.emplace_back("Access-Control-Allow-Headers", asked.empty() ? "Content-Type, Authorization" : asked);
    more.emplace_back("Access-Control-Max-Age", "600");
  }
  answer(incoming, common, 204, "", more);
}

void OpenAiFront::models(Incoming& incoming, const Headers& common, const std::string& path,
                         const admission::Caller& caller) const {
  const auto may_use = [&](const config::Model& model) {
    return admission::Door::may_use(caller, model.name);
  };
  if (path == kModels) {
    json list = {{"object", "list"}, {"data", json::array()}};
    for (const config::Model& model : appliance_.models) {
      if (may_use(model)) list["data"].push_back(model_json(model));
    }
    return answer(incoming, common, 200, list.dump());
  }
  const auto it = std::ranges::find(appliance_.models, path.substr(kModels.size() + 1), &config::Model::name);
  if (it != appliance_.models.end() && may_use(*it))
    return answer(incoming, common, 200, model_json(*it).dump());
  turn_away(incoming, common, {"names no model that is offered here", "model", 404, "model_not_found"});
}

void OpenAiFront::handle(std::unique_ptr<Incoming> incoming) {
  const std::string path = incoming->path();
  Headers common = this->common(*incoming);
  const std::string& method = incoming->method();
  const bool reads = method == "GET" || method == "HEAD";
  std::optional<Endpoint> endpoint;
  if (path == kChat) endpoint = Endpoint::chat;
  if (path == kCompletions) endpoint = Endpoint::completions;
  if (path == kResponses) endpoint = Endpoint::responses;
  if (!endpoint && !models_path(path) && !health_path(path)) {
    const bool stored = path.starts_with(kResponses) || path.starts_with(kChat);
    return turn_away(
        *incoming, common,
        {stored ? "Unknown path: " + path + " (nothing is stored here)" : "Unknown path: " + path, "", 404,
         "unknown_url"});
  }
  const std::string allowed = endpoint ? "POST, OPTIONS" : "GET, HEAD, OPTIONS";
  if (method == "OPTIONS") return options(*incoming, common, allowed);
  if (endpoint ? method != "POST" : !reads) {
    return turn_away(*incoming, common, {"Not allowed here: " + method, "", 405, "method_not_allowed"},
                     {{"Allow", allowed}});
  }
  if (!health_path(path)) {
    const std::optional<admission::Caller> caller = identify(*incoming, common);
    if (!caller) return;
    if (endpoint) return post(std::move(incoming), *endpoint, std::move(common), *caller);
    return models(*incoming, common, path, *caller);
  }
  const bool healthy = healthy_();
  answer(*incoming, common, healthy ? 200 : 503, healthy ? "ok\n" : "not serving\n");
}

std::optional<admission::Caller> OpenAiFront::identify(Incoming& incoming, const Headers& common) {
  const std::string credentials = incoming.header("Authorization");
  const auto caller = door_.identify(bearer(credentials));
  if (caller) return caller;
  door_.turned_away_unknown();
  const bool none = credentials.empty();
  turn_away(incoming, common,
            {none ? "No API key was given: Authorization: Bearer KEY" : "The API key is not known here.", "",
             401, "invalid_api_key"},
            {{"WWW-Authenticate", "Bearer"}});
  return std::nullopt;
}

std::optional<admission::Ticket> OpenAiFront::admit(Incoming& incoming, Headers& common, const Call& call,
                                                    const admission::Caller& caller) {
  if (!admission::Door::may_use(caller, call.model)) {
    turn_away(incoming, common,
              {"names a model that this key may not use: " + call.model, "model", 403, "model_not_allowed"});
    return std::nullopt;
  }
  admission::Knock knock;
  const eiderarch::RequestArrived& facts = call.facts.arrived;
  knock.once = appliance_.module.classes[facts.request_class].effect == eiderarch::Effect::unsafe;
  knock.reserve = facts.prompt_tokens + facts.max_output;
  knock.digest = call.digest;
  knock.session = facts.session;
  try {
    knock.key = openai::idempotency_key(incoming.headers());
  } catch (const RequestError& problem) {
    turn_away(incoming, common, problem);
    return std::nullopt;
  }
  const std::string retries = incoming.header("x-stainless-retry-count");
  std::from_chars(retries.data(), retries.data() + retries.size(), knock.retry);
  const admission::Pass pass = door_.knock(scheduler_.now(), caller, knock);
  if (caller.key != nullptr) openai::add_limit_headers(common, pass.ticket.limits, pass.standing);
  if (pass.entry == admission::Entry::admit) return pass.ticket;
  if (pass.entry == admission::Entry::replay && pass.answer != nullptr) {
    const admission::Recorded& first = *pass.answer;
    log::write("client", "a repeat got the first one's answer", [&]() -> json {
      return {
          {"request_id", common.front().second}, {"status", first.status}, {"tenant", pass.ticket.tenant}};
    });
    Headers headers = common;
    headers.emplace_back("Idempotent-Replayed", "true");
    headers.emplace_back("Content-Type", first.content_type);
    openai::add_retry_headers(headers, first.status == 200, {});
    if (!first.streamed) {
      incoming.answer(first.status, headers, first.body);
    } else {
      headers.emplace_back("Cache-Control", "no-cache");
      incoming.begin(first.status, headers);
      incoming.chunk(first.body);
      incoming.end();
    }
    return std::nullopt;
  }
  const openai::Told told = openai::tell(pass);
  log::write("client", std::string("turned away: ") + told.message, [&]() -> json {
    return {{"request_id", common.front().second}, {"status", told.status}, {"tenant", pass.ticket.tenant}};
  });
  std::optional<core::Duration> wait;
  if (told.should_retry) wait = told.wait;
  answer(incoming, common, told.status, openai::error_object(told.message, told.type, "", told.code), {},
         wait);
  return std::nullopt;
}

OpenAiFront::Call OpenAiFront::read(Incoming& incoming, Endpoint endpoint, const std::string& id) const {
  const auto codings = std::ranges::count_if(
      incoming.headers(), [](const auto& header) { return same_name(header.first, "Content-Encoding"); });
  if (codings > 1) throw RequestError{"Content-Encoding is there twice", "", 415, "unsupported_encoding"};
  std::string coded = incoming.take_body();
  const std::size_t before = coded.size();
  Expanded expanded = expand(incoming.header("Content-Encoding"), std::move(coded), appliance_.most_body);
  switch (expanded.coding) {
    case Coding::done:
      break;
    case Coding::unknown:
      throw RequestError{"Content-Encoding is none of gzip, deflate, zstd", "", 415, "unsupported_encoding"};
    case Coding::broken:
      throw RequestError{"the body is not sound in its Content-Encoding", "", 400, "invalid_encoding"};
    case Coding::too_large:
      throw RequestError{"the body expands to more than this server takes", "", 413, "body_too_large"};
  }
  if (expanded.body.size() > before && !incoming.hold(expanded.body.size() - before)) {
    throw RequestError{"too many large requests at once; nothing was run, and trying again is harmless", "",
                       503, "overloaded"};
  }
  const json body = openai::read_json(expanded.body);
  std::string path;
  Call call;
  call.target = incoming.target();
  const std::uint64_t path_hash = XXH3_64bits(call.target.data(), call.target.size());
  call.digest = XXH3_64bits_withSeed(expanded.body.data(), expanded.body.size(), path_hash);
  const auto note = [this, &call, &body, bytes = expanded.body.size()] {
    const config::Model& model = openai::model_of(body, appliance_);
    call.model = model.name;
    call.continuation = model.continuation;
    // A token has at least one byte; pictures and sound may come by name alone, and count as estimated.
    call.most = std::max(core::Tokens(bytes), call.facts.arrived.prompt_tokens) + call.facts.most_answer;
  };
  if (endpoint == Endpoint::responses) {
    openai::response_rules().check(body, path);
    const json chat = openai::to_chat_request(body);
    call.facts = openai::chat_facts(chat, appliance_);
    note();
    if (openai::model_of(body, appliance_).native_responses) {
      call.body = std::move(expanded.body);
      call.writer = openai::plain_writer();
      call.continuation = recovery::Way::none;  // its typed events are not of the form that is kept
      return call;
    }
    call.target = kChat;
    call.body = chat.dump();
    call.writer = openai::response_writer(openai::echo_of(body, id, scheduler_.now().count() / 1'000'000));
    return call;
  }
  const bool is_chat = endpoint == Endpoint::chat;
  (is_chat ? openai::chat_rules() : openai::completion_rules()).check(body, path);
  call.facts = is_chat ? openai::chat_facts(body, appliance_) : openai::completion_facts(body, appliance_);
  note();
  call.body = std::move(expanded.body);
  call.writer = call.facts.include_usage ? openai::usage_writer(call.facts.arrived.prompt_tokens)
                                         : openai::plain_writer();
  return call;
}

void OpenAiFront::post(std::unique_ptr<Incoming> incoming, Endpoint endpoint, Headers common,
                       const admission::Caller& caller) {
  auto payload = std::make_shared<core::Payload>();
  payload->id = common.front().second;
  Call call;
  try {
    call = read(*incoming, endpoint, payload->id);
  } catch (const RequestError& problem) {
    return turn_away(*incoming, common, problem);
  }
  std::optional<admission::Ticket> ticket = admit(*incoming, common, call, caller);
  if (!ticket) return;
  payload->method = "POST";
  payload->target = call.target;
  payload->headers = incoming->headers();
  payload->tenant = ticket->tenant;
  // A key opens this door; the boxes behind it never see it.
  if (caller.key != nullptr) {
    std::erase_if(payload->headers,
                  [](const auto& header) { return same_name(header.first, "Authorization"); });
  }
  payload->body = std::move(call.body);
  payload->streamed = call.facts.streamed;
  core::Ask ask{call.facts.arrived, payload, payload->id};
  ask.facts.tenant = appliance_.tenant_number(ticket->tenant);
  ask.facts.deadline = scheduler_.now() + call.facts.patience;
  Incoming& client = *incoming;
  std::optional<recovery::Recovery> recovery;
  const core::PayloadPtr asked = ask.payload;
  // Only streams, and only where the events are those of the chat dialect's own forms.
  if (call.facts.streamed && call.continuation != recovery::Way::none) {
    recovery.emplace(call.continuation, asked->target.starts_with(kCompletions) ? recovery::Form::completion
                                                                                : recovery::Form::chat);
  }
  auto account = std::make_unique<openai::Admitted>(door_, scheduler_, std::move(*ticket), call.most,
                                                    call.facts.streamed);
  openai::ReplyForm form{std::move(common),  call.facts.streamed,         std::move(call.writer),
                         std::move(account), std::move(recovery),         asked,
                         appliance_.seam,    appliance_.stream_keep_alive};
  const core::RequestId id = conductor_.take(
      std::move(ask), std::make_unique<openai::Reply>(std::move(incoming), scheduler_, std::move(form)));
  if (id != 0) client.on_gone([this, id] { conductor_.client_gone(id); });
}

}  // namespace bankmux::net
