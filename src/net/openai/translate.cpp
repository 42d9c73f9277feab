#include "net/openai/translate.hpp"

#include <array>

#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

std::string to_text(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

const json* find(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::string text_of(const json& object, const char* name) {
  const json* value = find(object, name);
  return value != nullptr && value->is_string() ? value->get<std::string>() : "";
}

std::int64_t count_of(const json& object, const char* name) {
  const json* value = find(object, name);
  return value != nullptr && value->is_number() ? value->get<std::int64_t>() : 0;
}

// ---- Requests ----

void reject_stored_state(const json& request) {
  for (const char* name : {"previous_response_id", "conversation", "prompt"}) {
    if (find(request, name) != nullptr) {
      throw RequestError{"is not offered here: nothing is stored between requests", name, 400,
                         "unsupported_parameter"};
    }
  }
  for (const char* name : {"background", "store"}) {
    const json* value = find(request, name);
    if (value != nullptr && *value == true) {
      throw RequestError{"can only be false here: nothing is stored", name, 400, "unsupported_parameter"};
    }
  }
}

json chat_part(const json& part) {
  const std::string type = text_of(part, "type");
  if (type == "refusal") return part;
  if (type == "input_image") {
    json image = {{"url", part["image_url"]}};
    if (const json* detail = find(part, "detail")) image["detail"] = *detail;
    return {{"type", "image_url"}, {"image_url", image}};
  }
  if (type == "input_file") {
    json file = json::object();
    for (const char* name : {"file_data", "file_id", "filename"}) {
      if (const json* value = find(part, name)) file[name] = *value;
    }
    return {{"type", "file"}, {"file", file}};
  }
  return {{"type", "text"}, {"text", part["text"]}};
}

json chat_content(const json& content) {
  if (content.is_string()) return content;
  json parts = json::array();
  for (const json& part : content) parts.push_back(chat_part(part));
  return parts;
}

// Consecutive tool calls of one answer belong to one message.
void add_call(const json& item, json& messages) {
  if (messages.empty() || messages.back()["role"] != "assistant") {
    messages.push_back({{"role", "assistant"}, {"content", nullptr}});
  }
  messages.back()["tool_calls"].push_back(
      {{"id", item["call_id"]},
       {"type", "function"},
       {"function", {{"name", item["name"]}, {"arguments", item["arguments"]}}}});
}

void add_item(const json& item, json& messages) {
  const std::string type = text_of(item, "type");
  if (type == "function_call") return add_call(item, messages);
  if (type == "function_call_output") {
    messages.push_back(
        {{"role", "tool"}, {"tool_call_id", item["call_id"]}, {"content", chat_content(item["output"])}});
    return;
  }
  if (type == "reasoning") return;  // chat requests have no field for reasoning
  // Older instances do not know the role `developer`, which replaces `system`.
  const std::string role = text_of(item, "role");
  messages.push_back(
      {{"role", role == "developer" ? "system" : role}, {"content", chat_content(item["content"])}});
}

json chat_tool(const json& tool) {
  json function = json::object();
  for (const char* name : {"name", "description", "parameters", "strict"}) {
    if (const json* value = find(tool, name)) function[name] = *value;
  }
  return {{"type", "function"}, {"function", function}};
}

void add_format(const json& text, json& chat) {
  if (const json* verbosity = find(text, "verbosity")) chat["verbosity"] = *verbosity;
  const json* format = find(text, "format");
  if (format == nullptr) return;
  const std::string type = text_of(*format, "type");
  json result = {{"type", type}};
  if (type == "json_schema") {
    json schema = *format;
    schema.erase("type");
    result["json_schema"] = schema;
  }
  chat["response_format"] = result;
}

// ---- Answers ----

json usage_of(const json& usage) {
  if (!usage.is_object()) return nullptr;
  const auto detail = [&usage](const char* where, const char* name) {
    const json* details = find(usage, where);
    return details != nullptr ? count_of(*details, name) : 0;
  };
  const std::int64_t in = count_of(usage, "prompt_tokens"), out = count_of(usage, "completion_tokens");
  return {{"input_tokens", in},
          {"input_tokens_details", {{"cached_tokens", detail("prompt_tokens_details", "cached_tokens")}}},
          {"output_tokens", out},
          {"output_tokens_details",
           {{"reasoning_tokens", detail("completion_tokens_details", "reasoning_tokens")}}},
          {"total_tokens", in + out}};
}

json text_part(const std::string& text) {
  return {
      {"type", "output_text"}, {"text", text}, {"annotations", json::array()}, {"logprobs", json::array()}};
}

json message_value(const std::string& id, const char* status, json content) {
  return {{"type", "message"},
          {"id", id},
          {"status", status},
          {"role", "assistant"},
          {"content", std::move(content)}};
}

json call_value(const std::string& id, const char* status, const json& call_id, const json& name,
                const std::string& arguments) {
  return {{"type", "function_call"}, {"id", id},     {"status", status},
          {"call_id", call_id},      {"name", name}, {"arguments", arguments}};
}

std::string item_id(const ResponseEcho& echo, const char* prefix, std::size_t index) {
  return prefix + echo.id + "-" + std::to_string(index);
}

// Why an answer is incomplete, by the finish_reason of chat completions; null if it is complete.
json incomplete_details(const std::string& finish_reason) {
  if (finish_reason == "length") return {{"reason", "max_output_tokens"}};
  if (finish_reason == "content_filter") return {{"reason", "content_filter"}};
  return nullptr;
}

json response_value(const ResponseEcho& echo, const std::string& model, const char* status, json output,
                    const json& usage, const std::string& finish_reason) {
  json response = {{"id", "resp_" + echo.id},
                   {"object", "response"},
                   {"created_at", echo.created},
                   {"status", status},
                   {"background", false},
                   {"error", nullptr},
                   {"incomplete_details", incomplete_details(finish_reason)},
                   {"model", model},
                   {"output", std::move(output)},
                   {"previous_response_id", nullptr},
                   {"store", false},
                   {"usage", usage_of(usage)}};
  const std::pair<const char*, json> echoed[] = {{"instructions", nullptr},
                                                 {"max_output_tokens", nullptr},
                                                 {"metadata", json::object()},
                                                 {"parallel_tool_calls", true},
                                                 {"reasoning", {{"effort", nullptr}, {"summary", nullptr}}},
                                                 {"temperature", nullptr},
                                                 {"text", {{"format", {{"type", "text"}}}}},
                                                 {"tool_choice", "auto"},
                                                 {"tools", json::array()},
                                                 {"top_p", nullptr},
                                                 {"truncation", "disabled"},
                                                 {"user", nullptr}};
  for (const auto& [name, fallback] : echoed) {
    const json* value = find(echo.request, name);
    response[name] = value != nullptr ? *value : fallback;
  }
  return response;
}

}  // namespace

json to_chat_request(const json& request) {
  reject_stored_state(request);
  json chat = {{"model", request["model"]}};
  json messages = json::array();
  if (const json* instructions = find(request, "instructions")) {
    messages.push_back({{"role", "system"}, {"content", *instructions}});
  }
  const json& input = request["input"];
  if (input.is_string()) {
    messages.push_back({{"role", "user"}, {"content", input}});
  } else {
    for (const json& item : input) add_item(item, messages);
  }
  if (messages.empty()) throw RequestError{"must hold a message", "input"};
  chat["messages"] = std::move(messages);
  for (const char* same : {"temperature", "top_p", "user", "metadata", "prompt_cache_key",
                           "safety_identifier", "service_tier", "parallel_tool_calls"}) {
    if (const json* value = find(request, same)) chat[same] = *value;
  }
  if (const json* most = find(request, "max_output_tokens")) chat["max_completion_tokens"] = *most;
  if (const json* reasoning = find(request, "reasoning")) {
    if (const json* effort = find(*reasoning, "effort")) chat["reasoning_effort"] = *effort;
  }
  if (const json* text = find(request, "text")) add_format(*text, chat);
  if (const json* tools = find(request, "tools"); tools != nullptr && !tools->empty()) {
    for (const json& tool : *tools) chat["tools"].push_back(chat_tool(tool));
  }
  if (const json* choice = find(request, "tool_choice")) {
    chat["tool_choice"] = choice->is_string()
                              ? *choice
                              : json{{"type", "function"}, {"function", {{"name", (*choice)["name"]}}}};
  }
  if (const json* most = find(request, "top_logprobs"); most != nullptr && *most > 0) {
    chat["logprobs"] = true;
    chat["top_logprobs"] = *most;
  }
  if (const json* stream = find(request, "stream"); stream != nullptr && *stream == true) {
    chat["stream"] = true;
    chat["stream_options"] = {{"include_usage", true}};
  }
  return chat;
}

ResponseEcho echo_of(const json& request, std::string id, std::int64_t created) {
  ResponseEcho echo{std::move(id), created, request};
  echo.request.erase("input");
  return echo;
}

std::optional<json> to_response(const json& completion, const ResponseEcho& echo) {
  const json* choices = find(completion, "choices");
  if (choices == nullptr || !choices->is_array() || choices->empty()) return std::nullopt;
  const json* message = find(choices->front(), "message");
  if (message == nullptr) return std::nullopt;
  json output = json::array(), content = json::array();
  if (const std::string text = text_of(*message, "content"); !text.empty())
    content.push_back(text_part(text));
  if (const std::string text = text_of(*message, "refusal"); !text.empty()) {
    content.push_back({{"type", "refusal"}, {"refusal", text}});
  }
  if (!content.empty()) {
    output.push_back(message_value(item_id(echo, "msg_", output.size()), "completed", std::move(content)));
  }
  if (const json* calls = find(*message, "tool_calls"); calls != nullptr && calls->is_array()) {
    for (const json& call : *calls) {
      const json* function = find(call, "function");
      if (function == nullptr) continue;
      output.push_back(call_value(item_id(echo, "fc_", output.size()), "completed", text_of(call, "id"),
                                  text_of(*function, "name"), text_of(*function, "arguments")));
    }
  }
  const std::string reason = text_of(choices->front(), "finish_reason");
  const bool complete = incomplete_details(reason).is_null();
  const json* usage = find(completion, "usage");
  return response_value(echo, text_of(completion, "model"), complete ? "completed" : "incomplete",
                        std::move(output), usage != nullptr ? *usage : json(), reason);
}

// ---- Streams ----

std::string ResponseStream::event(const char* type, json fields) {
  fields["type"] = type;
  fields["sequence_number"] = sequence_++;
  return std::string("event: ") + type + "\ndata: " + to_text(fields) + "\n\n";
}

json ResponseStream::response(const char* status) const {
  json output = json::array();
  for (const Item& item : items_) output.push_back(item.value);
  return response_value(echo_, model_, status, std::move(output), usage_, finish_reason_);
}

std::string ResponseStream::begin() {
  model_ = text_of(echo_.request, "model");
  std::string out = event("response.created", {{"response", response("in_progress")}});
  return out + event("response.in_progress", {{"response", response("in_progress")}});
}

std::size_t ResponseStream::add_item(json value, const char* prefix, std::string& out) {
  const std::size_t index = items_.size();
  const std::string id = item_id(echo_, prefix, index);
  value["id"] = id;
  out += event("response.output_item.added", {{"output_index", index}, {"item", value}});
  items_.push_back({std::move(value), id});
  return index;
}

std::size_t ResponseStream::message_item(std::string& out) {
  if (!message_) message_ = add_item(message_value("", "in_progress", json::array()), "msg_", out);
  return *message_;
}

// `kind`: type of the content part, output_text or refusal. `field`: the member that holds its text.
void ResponseStream::text_delta(const char* kind, const char* field, const std::string& delta,
                                std::string& out) {
  if (delta.empty()) return;
  const std::size_t index = message_item(out);
  Item& item = items_[index];
  json& content = item.value["content"];
  std::size_t part = 0;
  while (part < content.size() && content[part]["type"] != kind) ++part;
  if (part == content.size()) {
    content.push_back(std::string_view(kind) == "refusal" ? json{{"type", kind}, {"refusal", ""}}
                                                          : text_part(""));
    out += event(
        "response.content_part.added",
        {{"item_id", item.id}, {"output_index", index}, {"content_index", part}, {"part", content[part]}});
  }
  content[part][field].get_ref<std::string&>() += delta;
  const bool refusal = std::string_view(kind) == "refusal";
  json fields = {{"item_id", item.id}, {"output_index", index}, {"content_index", part}, {"delta", delta}};
  if (!refusal) fields["logprobs"] = json::array();
  out += event(refusal ? "response.refusal.delta" : "response.output_text.delta", std::move(fields));
}

void ResponseStream::call_delta(const json& call, std::string& out) {
  const json* function = find(call, "function");
  if (function == nullptr) return;
  const std::int64_t number = count_of(call, "index");
  auto known = calls_.find(number);
  if (known == calls_.end()) {
    const std::size_t index = add_item(
        call_value("", "in_progress", text_of(call, "id"), text_of(*function, "name"), ""), "fc_", out);
    known = calls_.emplace(number, index).first;
  }
  const std::string delta = text_of(*function, "arguments");
  if (delta.empty()) return;
  Item& item = items_[known->second];
  item.value["arguments"].get_ref<std::string&>() += delta;
  out += event("response.function_call_arguments.delta",
               {{"item_id", item.id}, {"output_index", known->second}, {"delta", delta}});
}

std::string ResponseStream::chunk(const json& chunk) {
  std::string out;
  if (const std::string model = text_of(chunk, "model"); !model.empty()) model_ = model;
  if (const json* usage = find(chunk, "usage")) usage_ = *usage;
  const json* choices = find(chunk, "choices");
  if (choices == nullptr || !choices->is_array() || choices->empty()) return out;
  const json& choice = choices->front();
  if (const json* delta = find(choice, "delta")) {
    text_delta("output_text", "text", text_of(*delta, "content"), out);
    text_delta("refusal", "refusal", text_of(*delta, "refusal"), out);
    if (const json* calls = find(*delta, "tool_calls"); calls != nullptr && calls->is_array()) {
      for (const json& call : *calls) call_delta(call, out);
    }
  }
  if (const std::string reason = text_of(choice, "finish_reason"); !reason.empty()) finish_reason_ = reason;
  return out;
}

std::string ResponseStream::finish() {
  std::string out;
  for (std::size_t index = 0; index < items_.size(); ++index) {
    Item& item = items_[index];
    const json where = {{"item_id", item.id}, {"output_index", index}};
    if (item.value["type"] == "function_call") {
      json fields = where;
      fields["arguments"] = item.value["arguments"];
      out += event("response.function_call_arguments.done", fields);
    } else {
      for (std::size_t part = 0; part < item.value["content"].size(); ++part) {
        const json& content = item.value["content"][part];
        const bool refusal = content["type"] == "refusal";
        json fields = where;
        fields["content_index"] = part;
        json done = fields;
        if (refusal) {
          fields["refusal"] = content["refusal"];
        } else {
          fields["text"] = content["text"];
          fields["logprobs"] = json::array();
        }
        out += event(refusal ? "response.refusal.done" : "response.output_text.done", fields);
        done["part"] = content;
        out += event("response.content_part.done", done);
      }
    }
    item.value["status"] = "completed";
    out += event("response.output_item.done", {{"output_index", index}, {"item", item.value}});
  }
  const bool complete = incomplete_details(finish_reason_).is_null();
  return out + event(complete ? "response.completed" : "response.incomplete",
                     {{"response", response(complete ? "completed" : "incomplete")}});
}

std::string ResponseStream::fail(std::string_view code, std::string_view message) {
  return event("error", {{"code", code}, {"message", message}, {"param", nullptr}});
}

}  // namespace bankmux::net::openai
