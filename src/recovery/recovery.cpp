#include "recovery/recovery.hpp"

#include <algorithm>
#include <utility>

namespace bankmux::recovery {

using nlohmann::json;

namespace {

// Effectively unlimited: the instance client has already limited the size of events.
constexpr std::size_t kNoEventLimit = std::size_t(1) << 30;
constexpr std::int64_t kBytesPerToken = 4;
constexpr const char* kCommonFields[] = {"id", "object", "created", "model", "system_fingerprint"};

const json* member(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(name);
  return it != object.end() && !it->is_null() ? &*it : nullptr;
}

std::int64_t number(const json& object, const char* name) {
  const json* value = member(object, name);
  if (value == nullptr || !value->is_number()) return 0;
  return std::int64_t(std::clamp(value->get<double>(), 0.0, 1e9));
}

// The text of a choice in either format; null if there is none.
const std::string* text_of(const json& choice, AnswerFormat format) {
  const json* at = format == AnswerFormat::chat ? member(choice, "delta") : &choice;
  const json* text = at != nullptr ? member(*at, format == AnswerFormat::chat ? "content" : "text") : nullptr;
  return text != nullptr && text->is_string() ? text->get_ptr<const std::string*>() : nullptr;
}

// Whether a field of a delta holds output in a form that no request can hand to another instance. Numbers and
// flags are no output.
bool is_other_output(std::string_view name, const json& value) {
  if (name == "role" || name == "tool_calls" || name == "function_call") return false;
  if (value.is_string()) return name != "content" && !value.get_ref<const std::string&>().empty();
  return value.is_structured() && !value.empty();
}

bool has_other_output(const json& choice, AnswerFormat format) {
  if (format == AnswerFormat::completion) {
    const json* text = member(choice, "text");
    return text != nullptr && !text->is_string();
  }
  const json* delta = member(choice, "delta");
  if (delta == nullptr) return false;
  if (!delta->is_object()) return true;
  for (const auto& [name, value] : delta->items()) {
    if (is_other_output(name, value)) return true;
  }
  return false;
}

bool is_error_event(std::string_view event) {
  if (event.find("error") == std::string_view::npos) return false;
  if (event.starts_with("event: error") || event.find("\nevent: error") != std::string_view::npos)
    return true;
  return member(json::parse(sse::event_data(event), nullptr, false), "error") != nullptr;
}

std::vector<std::string> stop_strings(const json& body) {
  std::vector<std::string> stops;
  const json* stop = member(body, "stop");
  if (stop == nullptr) return stops;
  if (stop->is_string()) stops.push_back(stop->get<std::string>());
  if (stop->is_array()) {
    for (const json& one : *stop) {
      if (one.is_string()) stops.push_back(one.get<std::string>());
    }
  }
  return stops;
}

// Why this request's answer cannot be continued; null if it can. The texts appear in the log.
const char* unsupported_reason(const json& body, const WrittenAnswer& written) {
  if (const json* n = member(body, "n"); n != nullptr && *n != 1) return "n is above 1";
  if (written.other_choices) return "it has more than one choice";
  if (written.tool_calls) return "a tool call has begun";
  if (written.other_output) return "it has output beside its text";
  if (const json* logprobs = member(body, "logprobs"); logprobs != nullptr && *logprobs != false)
    return "logprobs";
  if (member(body, "seed") != nullptr) return "a seed promises the same answer";
  if (const json* echo = member(body, "echo"); echo != nullptr && *echo != false) return "echo";
  if (const json* best_of = member(body, "best_of"); best_of != nullptr && *best_of != 1)
    return "best_of is above 1";
  if (member(body, "suffix") != nullptr) return "suffix";
  const json* response_format = member(body, "response_format");
  if (response_format != nullptr &&
      (!member(*response_format, "type") || (*response_format)["type"] != "text"))
    return "response_format";
  return nullptr;
}

}  // namespace

WrittenAnswer read_events(std::string_view events, AnswerFormat format) {
  WrittenAnswer written;
  std::int64_t text_events = 0;
  sse::EventSplitter splitter(kNoEventLimit);
  splitter.feed(events, [&](std::string_view event) {
    const std::string data = sse::event_data(event);
    const json value = json::parse(data, nullptr, false);
    if (!value.is_object()) {
      written.other_output |= !data.empty() && data != "[DONE]";
      return;
    }
    for (const char* name : kCommonFields) {
      if (value.contains(name)) written.common_fields[name] = value[name];
    }
    if (const json* usage = member(value, "usage"); usage != nullptr && usage->is_object())
      written.usage = *usage;
    const json* choices = member(value, "choices");
    if (choices == nullptr || !choices->is_array()) return;
    for (const json& choice : *choices) {
      if (!choice.is_object()) continue;
      written.other_choices |= number(choice, "index") != 0;
      if (const std::string* text = text_of(choice, format); text != nullptr && !text->empty()) {
        written.text += *text;
        ++text_events;
      }
      if (const json* delta = member(choice, "delta")) {
        written.tool_calls |=
            member(*delta, "tool_calls") != nullptr || member(*delta, "function_call") != nullptr;
      }
      written.other_output |= has_other_output(choice, format);
      if (member(choice, "finish_reason") != nullptr)
        written.finished_choices.insert(number(choice, "index"));
    }
  });
  written.min_tokens = text_events;
  if (written.usage)
    written.min_tokens = std::max(written.min_tokens, number(*written.usage, "completion_tokens"));
  written.tokens = std::max(written.min_tokens, std::int64_t(written.text.size()) / kBytesPerToken);
  return written;
}

std::int64_t requested_choices(const json& request) {
  std::int64_t choices = member(request, "n") != nullptr ? number(request, "n") : 1;
  const json* prompts = member(request, "prompt");
  // An array of numbers is one prompt, given as tokens.
  const bool several =
      prompts != nullptr && prompts->is_array() && !prompts->empty() && !prompts->front().is_number();
  if (several) choices *= std::int64_t(prompts->size());
  return std::max<std::int64_t>(choices, 1);
}

std::string StreamRecovery::retain(std::string out) {
  if (mode_ == ContinuationMode::none || too_long_) return out;
  too_long_ = retained_.size() + out.size() > kMaxRetainedBytes;
  if (too_long_) {
    std::string().swap(retained_);
  } else {
    retained_ += out;
  }
  return out;
}

std::string StreamRecovery::forward(std::string_view events) {
  if (mode_ == ContinuationMode::none) return std::string(events);
  if (!splicer_ && events.find("error") == std::string_view::npos) return retain(std::string(events));
  std::string out;
  sse::EventSplitter splitter(kNoEventLimit);
  splitter.feed(events, [&](std::string_view event) {
    if (is_error_event(event)) {
      withheld_error_ = event;
    } else if (splicer_) {
      out += splice(event);
    } else {
      out += event;
    }
  });
  return retain(std::move(out));
}

std::string StreamRecovery::event_of(const json& value) const {
  return "data: " + value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

json StreamRecovery::chunk(const std::string& text, const json& finish) const {
  json choice = {{"index", 0}, {"finish_reason", finish}};
  if (format_ == AnswerFormat::chat) {
    choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  json value = written_.common_fields;
  value["choices"] = json::array({std::move(choice)});
  return value;
}

std::string StreamRecovery::splice(std::string_view event) {
  const std::string data = sse::event_data(event);
  if (failed() || finished_) return "";
  if (data == "[DONE]") {
    const std::string last = splicer_->finish();
    if (failed()) return "";
    finished_ = true;
    return (last.empty() ? "" : event_of(chunk(last, nullptr))) + "data: [DONE]\n\n";
  }
  json value = json::parse(data, nullptr, false);
  if (!value.is_object()) return sse::is_comment_only(event) ? std::string(event) : "";
  for (const char* name : kCommonFields) {
    if (written_.common_fields.contains(name)) {
      value[name] = written_.common_fields[name];
    } else {
      value.erase(name);
    }
  }
  bool has_content = false;
  if (json* usage = value.contains("usage") && value["usage"].is_object() ? &value["usage"] : nullptr) {
    // The second instance's prompt includes the partial answer, which is counted once, as part of the answer.
    const std::int64_t prompt = std::max<std::int64_t>(number(*usage, "prompt_tokens") - written_.tokens, 0);
    const std::int64_t answer = written_.tokens + number(*usage, "completion_tokens");
    (*usage)["prompt_tokens"] = prompt;
    (*usage)["completion_tokens"] = answer;
    (*usage)["total_tokens"] = prompt + answer;
    has_content = true;
  }
  if (value.contains("choices") && value["choices"].is_array()) {
    for (json& choice : value["choices"]) {
      if (!choice.is_object()) continue;
      if (!written_.text.empty() && has_other_output(choice, format_)) {
        splicer_->reject("its output has another form than what was written");
        return "";
      }
      const json* finish = member(choice, "finish_reason");
      const std::string* text_delta = text_of(choice, format_);
      const bool had_text = text_delta != nullptr;
      std::string text = had_text ? splicer_->feed(*text_delta) : "";
      if (finish != nullptr) text += splicer_->finish();
      if (failed()) return "";
      if (splicer_->state() == ContinuationSplicer::State::stopped && !std::exchange(finished_, true)) {
        return event_of(chunk("", "stop")) + "data: [DONE]\n\n";
      }
      if (format_ == AnswerFormat::chat) {
        json& delta = choice["delta"];
        if (!delta.is_object()) delta = json::object();
        delta.erase("role");  // already sent by the first instance
        delta.erase("content");
        if (!text.empty()) delta["content"] = text;
        has_content |= !delta.empty();
      } else {
        choice["text"] = text;
        has_content |= !text.empty();
      }
      has_content |= finish != nullptr;
    }
  } else {
    has_content = true;  // an instance-specific event without choices
  }
  return has_content ? event_of(value) : "";
}

Continuation StreamRecovery::instance_lost(const std::string& body) {
  Continuation next;
  const auto give_up = [&next](const char* reason) {
    next.reason = reason;
    return next;
  };
  if (mode_ == ContinuationMode::none) return give_up("its model does not say how its boxes go on");
  if (too_long_) return give_up("more was written than is kept");
  if (failed()) return give_up(reason());
  // Text withheld by the splicer was never sent, so the next instance has to generate it again.
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) return give_up("the request can't be read");
  written_ = read_events(retained_, format_);
  if (std::int64_t(written_.finished_choices.size()) >= requested_choices(request)) {
    next.action = Continuation::Action::finish;
    next.bytes = retain("data: [DONE]\n\n");
    return next;
  }
  if (format_ == AnswerFormat::chat && mode_ == ContinuationMode::prompt)
    return give_up("its model's boxes go on with completions alone");
  if (const char* why = unsupported_reason(request, written_)) return give_up(why);
  json continued_request = request;
  next.written_tokens = written_.tokens;
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const json* token_limit = member(request, name);
    if (token_limit == nullptr) continue;
    next.remaining_tokens = number(request, name) - written_.tokens;
    const bool limit_reached = number(request, name) <= written_.min_tokens;
    if (next.remaining_tokens <= 0 && !limit_reached) return give_up("its token limit may be used up");
    if (limit_reached) {
      next.action = Continuation::Action::finish;
      next.bytes = retain(event_of(chunk("", "length")) + "data: [DONE]\n\n");
      return next;
    }
    continued_request[name] = next.remaining_tokens;
  }
  if (!written_.text.empty()) {
    if (format_ == AnswerFormat::chat) {
      if (!continued_request.contains("messages") || !continued_request["messages"].is_array())
        return give_up("the request has no messages");
      json& messages = continued_request["messages"];
      const json* continue_flag = member(request, "continue_final_message");
      if (continue_flag != nullptr && *continue_flag == true) {
        // The client itself supplied the beginning of the answer.
        json* last = messages.empty() ? nullptr : &messages.back();
        if (last == nullptr || !last->contains("content") || !(*last)["content"].is_string()) {
          return give_up("the request begins its answer in parts");
        }
        (*last)["content"] = (*last)["content"].get<std::string>() + written_.text;
      } else {
        messages.push_back({{"role", "assistant"}, {"content", written_.text}});
      }
      continued_request["continue_final_message"] = true;
      continued_request["add_generation_prompt"] = false;
    } else {
      const json* prompt = member(continued_request, "prompt");
      if (prompt != nullptr && prompt->is_array() && prompt->size() == 1) prompt = &prompt->front();
      if (prompt == nullptr || !prompt->is_string()) return give_up("it has more than one prompt");
      continued_request["prompt"] = prompt->get<std::string>() + written_.text;
    }
  }
  next.action = Continuation::Action::resume;
  next.body = continued_request.dump(-1, ' ', false, json::error_handler_t::replace);
  splicer_.emplace(written_.text, stop_strings(request));
  withheld_error_.clear();
  ++continuations_;
  return next;
}

}  // namespace bankmux::recovery
