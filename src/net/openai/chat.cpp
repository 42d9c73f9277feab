#include "net/openai/chat.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "codec.hpp"

namespace bankmux::net {

using eiderarch::Tokens;
using nlohmann::json;

namespace {

constexpr Tokens kLettersPerToken = 4;
constexpr Tokens kMessageTokens = 4;  // role and separators around each message
constexpr Tokens kMostOutput = 1'000'000;

[[noreturn]] void bad(const std::string& message, const std::string& param) {
  throw ChatError{message, param};
}

Tokens tokens_of(const std::string& text) {
  return kMessageTokens + (Tokens(text.size()) + kLettersPerToken - 1) / kLettersPerToken;
}

// The text of a message: a string, or parts of which those of type "text" count. Tool calls have none.
std::string text_of(const json& message, const std::string& where) {
  const auto content = message.find("content");
  if (content == message.end() || content->is_null()) return "";
  if (content->is_string()) return content->get<std::string>();
  if (!content->is_array()) bad("is neither text nor a list of parts", where + ".content");
  std::string text;
  for (const json& part : *content) {
    if (!part.is_object()) bad("holds a part that is not an object", where + ".content");
    const auto inner = part.find("text");
    if (inner != part.end() && inner->is_string()) text += inner->get<std::string>();
  }
  return text;
}

Tokens limit_of(const json& body, const char* name, Tokens otherwise) {
  const auto it = body.find(name);
  if (it == body.end() || it->is_null()) return otherwise;
  if (!it->is_number_integer() || it->get<Tokens>() < 1) bad("is not a whole number from 1 up", name);
  return std::min(it->get<Tokens>(), kMostOutput);
}

std::string optional_text(const json& body, const char* name) {
  const auto it = body.find(name);
  if (it == body.end() || it->is_null()) return "";
  if (!it->is_string()) bad("is not text", name);
  return it->get<std::string>();
}

json model_json(const config::Model& model) {
  return {{"id", model.name}, {"object", "model"}, {"created", 0}, {"owned_by", "bankmux"}};
}

}  // namespace

ChatRequest read_chat(std::string_view text, const config::Appliance& appliance) {
  const json body = json::parse(text, nullptr, false);
  if (body.is_discarded()) bad("the body is not JSON", "");
  if (!body.is_object()) bad("the body is not a JSON object", "");

  ChatRequest chat;
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) bad("is missing or not text", "model");
  const auto known = std::ranges::find(appliance.models, model->get<std::string>(), &config::Model::name);
  if (known == appliance.models.end())
    bad("is not a model offered here: " + model->get<std::string>(), "model");
  chat.facts.request_class = known->request_class;

  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) bad("is not true or false", "stream");
    chat.streamed = stream->get<bool>();
  }

  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    bad("is missing, empty or not a list", "messages");
  }
  std::string opening;    // what other conversations begin with as well
  std::string beginning;  // up to the first words of the user: tells conversations apart
  bool opened = false, begun = false;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    const std::string where = "messages[" + std::to_string(i) + "]";
    if (!message.is_object()) bad("is not an object", where);
    const auto role = message.find("role");
    if (role == message.end() || !role->is_string()) bad("is missing or not text", where + ".role");
    const std::string words = text_of(message, where);
    chat.facts.prompt_tokens += tokens_of(words);
    const bool instruction = *role == "system" || *role == "developer";
    if (instruction && !opened) {
      opening += words + '\n';
      chat.facts.prefix_tokens += tokens_of(words);
    } else {
      opened = true;
    }
    if (!begun) beginning += role->get<std::string>() + '\n' + words + '\n';
    begun |= *role == "user";
  }
  chat.facts.prefix = eiderarch::wire::key_of(opening);

  const std::string cache_key = optional_text(body, "prompt_cache_key");
  const std::string user = optional_text(body, "user");
  chat.facts.session =
      eiderarch::wire::key_of(!cache_key.empty() ? "key " + cache_key : "user " + user + "\n" + beginning);

  chat.facts.max_output =
      limit_of(body, "max_completion_tokens", limit_of(body, "max_tokens", appliance.default_output));
  const eiderarch::RequestClass& cls = appliance.module.classes[known->request_class];
  chat.patience = cls.deadline + 2 * cls.aim_per_kilotoken * chat.facts.prompt_tokens / 1000;
  // A whole answer comes with its last token: its client waits for all of them, at twice the class's pace.
  if (!chat.streamed) chat.patience += 2 * cls.token_aim * chat.facts.max_output;
  return chat;
}

std::string error_object(std::string_view message, std::string_view type, std::string_view param,
                         std::string_view code) {
  json error = {{"message", message}, {"type", type}, {"param", nullptr}, {"code", nullptr}};
  if (!param.empty()) error["param"] = param;
  if (!code.empty()) error["code"] = code;
  return json{{"error", error}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string model_list(const config::Appliance& appliance) {
  json list = {{"object", "list"}, {"data", json::array()}};
  for (const config::Model& model : appliance.models) list["data"].push_back(model_json(model));
  return list.dump();
}

std::optional<std::string> model_object(const config::Appliance& appliance, std::string_view name) {
  const auto it = std::ranges::find(appliance.models, name, &config::Model::name);
  if (it == appliance.models.end()) return std::nullopt;
  return model_json(*it).dump();
}

}  // namespace bankmux::net
