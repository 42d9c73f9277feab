#include "net/openai/facts.hpp"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "net/openai/errors.hpp"
#include "recovery/recovery.hpp"

namespace bankmux::net::openai {

using eiderarch::Tokens;
using nlohmann::json;

namespace {

// Estimates; the decisions depend only on their order of magnitude.
constexpr Tokens kBytesPerToken = 4;
constexpr Tokens kMaxAnswerTokens = 131'072;  // the longest answer of any published model
constexpr Tokens kMessageTokens = 4;          // role and separators of each message
constexpr Tokens kImageTokens = 765;          // an image of 1024 by 1024 pixels in full detail
constexpr Tokens kSmallImageTokens = 85;      // an image in low detail
constexpr Tokens kAudioBytesPerToken = 400;   // base64; 0.1 s of compressed speech
constexpr Tokens kFileBytesPerToken = 16;     // base64; documents are mostly not text
constexpr Tokens kToolTokens = 8;             // overhead of each tool's description

// Prefixes may be megabytes long, so they are hashed. The module reserves 0 for no key.
eiderarch::Key key_of(const std::string& text) {
  return std::max<eiderarch::Key>(XXH3_64bits(text.data(), text.size()), 1);
}

Tokens text_tokens(std::size_t bytes) { return (Tokens(bytes) + kBytesPerToken - 1) / kBytesPerToken; }

const std::string* text_in(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get_ptr<const std::string*>() : nullptr;
}

std::string text_or_empty(const json& object, const char* name) {
  const std::string* text = text_in(object, name);
  return text != nullptr ? *text : "";
}

bool flag_in(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

Tokens count_in(const json& object, const char* name, Tokens fallback) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number() ? Tokens(it->get<double>()) : fallback;
}

// Bytes of all strings and keys in a value: an estimate of what a schema or tool call adds to a prompt.
std::size_t text_bytes_in(const json& value) {
  if (value.is_string()) return value.get_ref<const std::string&>().size();
  if (!value.is_structured()) return 2;
  std::size_t sum = 0;
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) sum += key.size() + 2 + text_bytes_in(inner);
  } else {
    for (const json& inner : value) sum += text_bytes_in(inner);
  }
  return sum;
}

// The text of one message, which distinguishes conversations, and its tokens.
struct Content {
  std::string text;
  Tokens tokens = kMessageTokens;
};

void add_part(const json& part, Content& content) {
  const std::string type = text_or_empty(part, "type");
  if (const std::string* text = text_in(part, "text")) content.text += *text;
  if (const std::string* text = text_in(part, "refusal")) content.text += *text;
  if (type == "image_url") {
    const json& image = part["image_url"];
    content.text += text_or_empty(image, "url").substr(0, 64);
    content.tokens += text_or_empty(image, "detail") == "low" ? kSmallImageTokens : kImageTokens;
  } else if (type == "input_audio") {
    content.tokens += Tokens(text_or_empty(part["input_audio"], "data").size()) / kAudioBytesPerToken + 1;
  } else if (type == "file") {
    content.tokens += Tokens(text_or_empty(part["file"], "file_data").size()) / kFileBytesPerToken + 1;
  }
}

Content content_of(const json& message) {
  Content result;
  const auto content = message.find("content");
  if (content != message.end() && content->is_string()) {
    result.text = content->get<std::string>();
  } else if (content != message.end() && content->is_array()) {
    for (const json& part : *content) add_part(part, result);
  }
  result.tokens += text_tokens(result.text.size());
  for (const char* calls : {"tool_calls", "function_call"}) {
    if (const auto it = message.find(calls); it != message.end()) {
      result.tokens += text_tokens(text_bytes_in(*it));
    }
  }
  return result;
}

// What tools and the response format add to the prompt before all messages.
Tokens preamble_tokens(const json& body) {
  Tokens sum = 0;
  for (const char* name : {"tools", "functions"}) {
    const auto tools = body.find(name);
    if (tools == body.end() || !tools->is_array()) continue;
    for (const json& tool : *tools) sum += kToolTokens + text_tokens(text_bytes_in(tool));
  }
  if (const auto format = body.find("response_format"); format != body.end()) {
    sum += text_tokens(text_bytes_in(*format));
  }
  return sum;
}

void check_messages(const json& messages) {
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const json& message = messages[i];
    if (message["role"] != "assistant") continue;
    const bool has_content = std::ranges::any_of(
        std::initializer_list<const char*>{"content", "refusal", "tool_calls", "function_call", "audio"},
        [&message](const char* name) { return message.contains(name) && !message[name].is_null(); });
    if (!has_content) throw RequestError{"is missing", "messages[" + std::to_string(i) + "].content"};
  }
}

void check_stream_options(const json& body) {
  const auto options = body.find("stream_options");
  if (options != body.end() && !options->is_null() && !flag_in(body, "stream")) {
    throw RequestError{"is only allowed where 'stream' is true", "stream_options"};
  }
}

// The request class and the properties of the requested answer.
RequestFacts answer_facts(const json& body, const config::Appliance& appliance, Tokens max_output) {
  RequestFacts facts;
  facts.arrived.request_class = model_of(body, appliance).request_class;
  facts.streamed = flag_in(body, "stream");
  facts.choices = recovery::requested_choices(body);
  if (const auto options = body.find("stream_options"); options != body.end() && options->is_object()) {
    facts.include_usage = flag_in(*options, "include_usage");
  }
  // The `n` answers are generated concurrently.
  const Tokens answers = count_in(body, "n", 1);
  facts.arrived.max_output = max_output * answers;
  const bool limited =
      std::ranges::any_of(std::initializer_list<const char*>{"max_completion_tokens", "max_tokens"},
                          [&body](const char* name) { return count_in(body, name, -1) >= 0; });
  facts.max_answer_tokens = answers * (limited ? max_output : std::max(max_output, kMaxAnswerTokens));
  return facts;
}

// Requires the prompt's length.
void set_time_limit(RequestFacts& facts, const config::Appliance& appliance, Tokens max_output) {
  const eiderarch::RequestClass& cls = appliance.module.classes[facts.arrived.request_class];
  facts.timeout = cls.deadline + 2 * cls.aim_per_kilotoken * facts.arrived.prompt_tokens / 1000;
  // An answer that is not streamed arrives with its last token, so twice the class's time per token is
  // allowed for all of its tokens.
  if (!facts.streamed) facts.timeout += 2 * cls.token_aim * max_output;
}

eiderarch::Key session_of(const json& body, const std::string& session_start) {
  const std::string cache_key = text_or_empty(body, "prompt_cache_key");
  if (!cache_key.empty()) return key_of("key " + cache_key);
  return key_of("user " + text_or_empty(body, "user") + "\n" + session_start);
}

}  // namespace

const config::Model& model_of(const json& body, const config::Appliance& appliance) {
  const std::string name = text_or_empty(body, "model");
  const auto known = std::ranges::find(appliance.models, name, &config::Model::name);
  if (known == appliance.models.end()) {
    throw RequestError{"is not a model offered here: " + name, "model", 404, "model_not_found"};
  }
  return *known;
}

RequestFacts chat_facts(const json& body, const config::Appliance& appliance) {
  const json& messages = body["messages"];
  check_messages(messages);
  check_stream_options(body);
  const Tokens max_output =
      count_in(body, "max_completion_tokens", count_in(body, "max_tokens", appliance.default_output_tokens));
  RequestFacts facts = answer_facts(body, appliance, max_output);
  std::string shared_prefix;  // the text that other conversations may share
  std::string session_start;  // up to the first user message; distinguishes conversations
  bool prefix_ended = false, user_seen = false;
  const Tokens preamble = preamble_tokens(body);
  if (preamble > 0) {
    for (const char* name : {"tools", "functions"}) {
      if (const auto tools = body.find(name); tools != body.end()) {
        shared_prefix += tools->dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
      }
    }
  }
  facts.arrived.prompt_tokens = facts.arrived.prefix_tokens = preamble;
  for (const json& message : messages) {
    const auto& role = message["role"].get_ref<const std::string&>();
    const Content content = content_of(message);
    facts.arrived.prompt_tokens += content.tokens;
    if ((role == "system" || role == "developer") && !prefix_ended) {
      shared_prefix += content.text + '\n';
      facts.arrived.prefix_tokens += content.tokens;
    } else {
      prefix_ended = true;
    }
    if (!user_seen) session_start += role + '\n' + content.text + '\n';
    user_seen |= role == "user";
  }
  facts.arrived.prefix = shared_prefix.empty() ? 0 : key_of(shared_prefix);
  facts.arrived.session = session_of(body, session_start);
  set_time_limit(facts, appliance, max_output);
  return facts;
}

RequestFacts completion_facts(const json& body, const config::Appliance& appliance) {
  check_stream_options(body);
  const Tokens max_output = count_in(body, "max_tokens", appliance.default_output_tokens);
  RequestFacts facts = answer_facts(body, appliance, max_output);
  const json& prompt = body["prompt"];
  std::string text;
  if (prompt.is_string()) {
    text = prompt.get<std::string>();
  } else {
    for (const json& one : prompt) text += one.get<std::string>() + '\n';
  }
  facts.arrived.prompt_tokens = text_tokens(text.size() + text_or_empty(body, "suffix").size());
  facts.arrived.session = session_of(body, text);
  set_time_limit(facts, appliance, max_output);
  return facts;
}

}  // namespace bankmux::net::openai
