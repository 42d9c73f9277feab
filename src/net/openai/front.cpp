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
#include "net/openai/admission_replies.hpp"
#include "net/openai/error_replies.hpp"
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
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::string_view kModels = "/v1/models";
constexpr std::string_view kChat = "/v1/chat/completions", kCompletions = "/v1/completions",
                           kResponses = "/v1/responses";

bool health_path(std::string_view path) { return path == "/-/healthy" || path == "/-/ready"; }
bool models_path(std::string_view path) {
  return path == kModels ||
         (path.starts_with(kModels) && path.size() > kModels.size() + 1 && path[kModels.size()] == '/');
}

// The id appears in headers and log lines, so it must not contain characters that could end or forge one.
bool valid_request_id(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes && std::ranges::all_of(id, [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

// The credentials of the Bearer scheme, whose name is case-insensitive (RFC 9110, 11.1); empty if there are
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

// A validated request, ready for admission and for the core.
struct OpenAiFront::PreparedRequest {
  openai::RequestFacts facts;
  std::string model;
  std::uint64_t digest = 0;  // hash of path and body as the client sent them
  recovery::ContinuationMode continuation = recovery::ContinuationMode::none;
  core::Tokens max_tokens = 0;  // upper bound on prompt and answer together
  std::string body;
  std::string target;
  std::unique_ptr<openai::AnswerFormatter> formatter;
};

OpenAiFront::OpenAiFront(core::Conductor& conductor, core::Scheduler& scheduler,
                         admission::AdmissionControl& admission_control, const config::Appliance& appliance,
                         const openai::JsonLimits& json_limits, std::function<bool()> healthy)
    : conductor_(conductor),
      scheduler_(scheduler),
      admission_control_(admission_control),
      appliance_(appliance),
      json_limits_(json_limits),
      healthy_(std::move(healthy)) {
  char text[32];
  std::snprintf(text, sizeof text, "req-%llx-", static_cast<unsigned long long>(scheduler.now().count()));
  id_prefix_ = text;
}

std::string OpenAiFront::new_request_id() { return id_prefix_ + std::to_string(++id_count_); }

ServerHooks OpenAiFront::hooks() {
  ServerHooks hooks;
  hooks.error = [this](int status) {
    const openai::ErrorReply error = openai::error_reply(status);
    Headers headers{{"x-request-id", new_request_id()}, {"Content-Type", kJson}};
    openai::add_retry_headers(headers, error.should_retry, error.wait);
    return std::pair(std::move(headers), openai::error_object(error.message, error.type, "", error.code));
  };
  hooks.reads_body = [this](const RequestParser& head) {
    const std::string path = path_of(head.target());
    const bool taken = path == kChat || path == kCompletions || path == kResponses;
    if (head.method() != "POST" || !taken || !is_supported_coding(head.header("Content-Encoding")))
      return false;
    // Without a valid key the request is rejected by its headers alone, so no memory is reserved for its
    // body.
    return admission_control_.identify(bearer(head.header("Authorization"))).has_value();
  };
  return hooks;
}

// The headers of every answer: the request id, and CORS headers if the origin is allowed.
Headers OpenAiFront::common(const IncomingRequest& incoming) {
  const std::string given = incoming.header("X-Request-Id");
  Headers headers{{"x-request-id", valid_request_id(given) ? given : new_request_id()}};
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

void OpenAiFront::answer(IncomingRequest& incoming, const Headers& common, int status, std::string_view body,
                         const Headers& more, std::optional<core::Duration> wait) {
  Headers headers = common;
  if (!body.empty()) headers.emplace_back("Content-Type", body.front() == '{' ? kJson : "text/plain");
  headers.insert(headers.end(), more.begin(), more.end());
  // Nothing was run; waiting helps only if the server is overloaded.
  const openai::ErrorReply error = openai::error_reply(status);
  openai::add_retry_headers(headers, error.should_retry || wait, wait.value_or(error.wait));
  incoming.answer(status, headers, body);
}

void OpenAiFront::reject(IncomingRequest& incoming, const Headers& common, const RequestError& problem,
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

void OpenAiFront::options(IncomingRequest& incoming, const Headers& common, const std::string& allowed) {
  Headers more{{"Allow", allowed}};
  // CORS preflight. If the origin is not allowed, common() has added no CORS header and none is added here.
  if (!incoming.header("Access-Control-Request-Method").empty() && common.size() > 1) {
    more.emplace_back("Access-Control-Allow-Methods", allowed);
    const std::string requested_headers = incoming.header("Access-Control-Request-Headers");
    more.emplace_back("Access-Control-Allow-Headers",
                      requested_headers.empty() ? "Content-Type, Authorization" : requested_headers);
    more.emplace_back("Access-Control-Max-Age", "600");
  }
  answer(incoming, common, 204, "", more);
}

void OpenAiFront::models(IncomingRequest& incoming, const Headers& common, const std::string& path,
                         const admission::Caller& caller) const {
  const auto may_use = [&](const config::Model& model) {
    return admission::AdmissionControl::may_use(caller, model.name);
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
  reject(incoming, common, {"names no model that is offered here", "model", 404, "model_not_found"});
}

void OpenAiFront::handle(std::unique_ptr<IncomingRequest> incoming) {
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
    return reject(*incoming, common,
                  {stored ? "Unknown path: " + path + " (nothing is stored here)" : "Unknown path: " + path,
                   "", 404, "unknown_url"});
  }
  const std::string allowed = endpoint ? "POST, OPTIONS" : "GET, HEAD, OPTIONS";
  if (method == "OPTIONS") return options(*incoming, common, allowed);
  if (endpoint ? method != "POST" : !reads) {
    return reject(*incoming, common, {"Not allowed here: " + method, "", 405, "method_not_allowed"},
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

std::optional<admission::Caller> OpenAiFront::identify(IncomingRequest& incoming, const Headers& common) {
  const std::string credentials = incoming.header("Authorization");
  const auto caller = admission_control_.identify(bearer(credentials));
  if (caller) return caller;
  admission_control_.count_unknown_key();
  const bool none = credentials.empty();
  reject(incoming, common,
         {none ? "No API key was given: Authorization: Bearer KEY" : "The API key is not known here.", "",
          401, "invalid_api_key"},
         {{"WWW-Authenticate", "Bearer"}});
  return std::nullopt;
}

std::optional<admission::Ticket> OpenAiFront::admit(IncomingRequest& incoming, Headers& common,
                                                    const PreparedRequest& prepared,
                                                    const admission::Caller& caller) {
  if (!admission::AdmissionControl::may_use(caller, prepared.model)) {
    reject(incoming, common,
           {"names a model that this key may not use: " + prepared.model, "model", 403, "model_not_allowed"});
    return std::nullopt;
  }
  admission::AdmissionRequest request;
  const eiderarch::RequestArrived& facts = prepared.facts.arrived;
  request.once = appliance_.module.classes[facts.request_class].effect == eiderarch::Effect::unsafe;
  request.reserved_tokens = facts.prompt_tokens + facts.max_output;
  request.digest = prepared.digest;
  request.session = facts.session;
  try {
    request.idempotency_key = openai::idempotency_key(incoming.headers());
  } catch (const RequestError& problem) {
    reject(incoming, common, problem);
    return std::nullopt;
  }
  const std::string retries = incoming.header("x-stainless-retry-count");
  std::from_chars(retries.data(), retries.data() + retries.size(), request.retry_count);
  const admission::AdmissionResult result = admission_control_.admit(scheduler_.now(), caller, request);
  if (caller.key != nullptr) openai::add_limit_headers(common, result.ticket.limits, result.limit_status);
  if (result.status == admission::AdmissionStatus::admitted) return result.ticket;
  if (result.status == admission::AdmissionStatus::replay && result.answer != nullptr) {
    const admission::RecordedAnswer& first = *result.answer;
    log::write("client", "a repeat got the first one's answer", [&]() -> json {
      return {
          {"request_id", common.front().second}, {"status", first.status}, {"tenant", result.ticket.tenant}};
    });
    Headers headers = common;
    headers.emplace_back("Idempotent-Replayed", "true");
    headers.emplace_back("Content-Type", first.content_type);
    openai::add_retry_headers(headers, first.status == 200 && !request.once, {});
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
  const openai::ErrorReply error = openai::error_reply(result);
  log::write("client", std::string("turned away: ") + error.message, [&]() -> json {
    return {
        {"request_id", common.front().second}, {"status", error.status}, {"tenant", result.ticket.tenant}};
  });
  std::optional<core::Duration> wait;
  if (error.should_retry) wait = error.wait;
  answer(incoming, common, error.status, openai::error_object(error.message, error.type, "", error.code), {},
         wait);
  return std::nullopt;
}

OpenAiFront::PreparedRequest OpenAiFront::prepare(IncomingRequest& incoming, Endpoint endpoint,
                                                  const std::string& id) const {
  const auto codings = std::ranges::count_if(
      incoming.headers(), [](const auto& header) { return same_name(header.first, "Content-Encoding"); });
  if (codings > 1) throw RequestError{"Content-Encoding is there twice", "", 415, "unsupported_encoding"};
  std::string coded = incoming.take_body();
  const std::size_t before = coded.size();
  DecodedBody expanded =
      decode_body(incoming.header("Content-Encoding"), std::move(coded), appliance_.max_body_bytes);
  switch (expanded.coding) {
    case DecodeResult::done:
      break;
    case DecodeResult::unknown:
      throw RequestError{"Content-Encoding is none of gzip, deflate, zstd", "", 415, "unsupported_encoding"};
    case DecodeResult::broken:
      throw RequestError{"the body is not sound in its Content-Encoding", "", 400, "invalid_encoding"};
    case DecodeResult::too_large:
      throw RequestError{"the body expands to more than this server takes", "", 413, "body_too_large"};
  }
  if (expanded.body.size() > before && !incoming.reserve_bytes(expanded.body.size() - before)) {
    throw RequestError{"too many large requests at once; nothing was run, and trying again is harmless", "",
                       503, "overloaded"};
  }
  const json body = openai::read_json(expanded.body, json_limits_);
  std::string path;
  PreparedRequest prepared;
  prepared.target = incoming.target();
  const std::uint64_t path_hash = XXH3_64bits(prepared.target.data(), prepared.target.size());
  prepared.digest = XXH3_64bits_withSeed(expanded.body.data(), expanded.body.size(), path_hash);
  const auto set_model = [this, &prepared, &body, bytes = expanded.body.size()] {
    const config::Model& model = openai::model_of(body, appliance_);
    prepared.model = model.name;
    prepared.continuation = model.continuation;
    // A token has at least one byte. Images and audio may be passed by reference, so the estimate may be
    // larger.
    prepared.max_tokens = std::max(core::Tokens(bytes), prepared.facts.arrived.prompt_tokens) +
                          prepared.facts.max_answer_tokens;
  };
  if (endpoint == Endpoint::responses) {
    openai::response_rules().check(body, path);
    const json chat = openai::to_chat_request(body);
    prepared.facts = openai::chat_facts(chat, appliance_);
    set_model();
    if (openai::model_of(body, appliance_).native_responses) {
      prepared.body = std::move(expanded.body);
      prepared.formatter = openai::passthrough_formatter();
      prepared.continuation = recovery::ContinuationMode::none;  // recovery does not support its event format
      return prepared;
    }
    prepared.target = kChat;
    prepared.body = chat.dump();
    prepared.formatter =
        openai::response_formatter(openai::echo_of(body, id, scheduler_.now().count() / 1'000'000));
    return prepared;
  }
  const bool is_chat = endpoint == Endpoint::chat;
  (is_chat ? openai::chat_rules() : openai::completion_rules()).check(body, path);
  prepared.facts =
      is_chat ? openai::chat_facts(body, appliance_) : openai::completion_facts(body, appliance_);
  set_model();
  prepared.body = std::move(expanded.body);
  prepared.formatter = prepared.facts.include_usage
                           ? openai::usage_formatter(prepared.facts.arrived.prompt_tokens)
                           : openai::passthrough_formatter();
  return prepared;
}

void OpenAiFront::post(std::unique_ptr<IncomingRequest> incoming, Endpoint endpoint, Headers common,
                       const admission::Caller& caller) {
  auto payload = std::make_shared<core::Payload>();
  payload->id = common.front().second;
  PreparedRequest prepared;
  try {
    prepared = prepare(*incoming, endpoint, payload->id);
  } catch (const RequestError& problem) {
    return reject(*incoming, common, problem);
  }
  std::optional<admission::Ticket> ticket = admit(*incoming, common, prepared, caller);
  if (!ticket) return;
  payload->method = "POST";
  payload->target = prepared.target;
  payload->headers = incoming->headers();
  payload->tenant = ticket->tenant;
  // The API key is for this server only; instances never receive it.
  if (caller.key != nullptr) {
    std::erase_if(payload->headers,
                  [](const auto& header) { return same_name(header.first, "Authorization"); });
  }
  payload->body = std::move(prepared.body);
  payload->streamed = prepared.facts.streamed;
  payload->choices = prepared.facts.choices;
  core::ClientRequest ask{prepared.facts.arrived, payload, payload->id};
  ask.facts.tenant = appliance_.tenant_index(ticket->tenant);
  ask.waited = incoming->waited();
  ask.facts.deadline = scheduler_.now() - ask.waited + prepared.facts.timeout;
  IncomingRequest& client = *incoming;
  std::optional<recovery::StreamRecovery> recovery;
  const core::PayloadPtr original_request = ask.payload;
  // Only streams in the formats of /v1/chat/completions and /v1/completions can be recovered.
  if (prepared.facts.streamed && prepared.continuation != recovery::ContinuationMode::none) {
    recovery.emplace(prepared.continuation, original_request->target.starts_with(kCompletions)
                                                ? recovery::AnswerFormat::completion
                                                : recovery::AnswerFormat::chat);
  }
  auto account = std::make_unique<openai::RequestAccount>(admission_control_, scheduler_, std::move(*ticket),
                                                          prepared.max_tokens, prepared.facts.streamed);
  openai::ReplyOptions reply_options{std::move(common),
                                     prepared.facts.streamed,
                                     std::move(prepared.formatter),
                                     std::move(account),
                                     std::move(recovery),
                                     original_request,
                                     appliance_.continuation_wait,
                                     appliance_.stream_keep_alive_interval};
  const core::RequestId id = conductor_.accept(
      std::move(ask),
      std::make_unique<openai::Reply>(std::move(incoming), scheduler_, std::move(reply_options)));
  if (id != 0) client.on_disconnect([this, id] { conductor_.client_gone(id); });
}

}  // namespace bankmux::net
