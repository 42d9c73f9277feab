#include "recovery/recovery.hpp"

#include <algorithm>
#include <utility>

namespace bankmux::recovery {

using nlohmann::json;

namespace {

constexpr std::size_t kNoLimit = std::size_t(1) << 30;  // the instance side has bounded events already
constexpr std::int64_t kLettersPerToken = 4;
constexpr const char* kRepeated[] = {"id", "object", "created", "model", "system_fingerprint"};

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

// The text of a choice, in either form; where there is none, null.
const std::string* text_of(const json& choice, Form form) {
  const json* at = form == Form::chat ? member(choice, "delta") : &choice;
  const json* text = at != nullptr ? member(*at, form == Form::chat ? "content" : "text") : nullptr;
  return text != nullptr && text->is_string() ? text->get_ptr<const std::string*>() : nullptr;
}

bool tells_error(std::string_view event) {
  if (event.find("error") == std::string_view::npos) return false;
  if (event.starts_with("event: error") || event.find("\nevent: error") != std::string_view::npos)
    return true;
  return member(json::parse(sse::event_data(event), nullptr, false), "error") != nullptr;
}

std::vector<std::string> stops_of(const json& body) {
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

// Why this request's answer is not to be continued; null where it may be.
const char* unsound(const json& body, const Written& written) {
  if (const json* n = member(body, "n"); n != nullptr && *n != 1) return "n is above 1";
  if (written.other_choices) return "it has more than one choice";
  if (written.tool_calls) return "a tool call has begun";
  if (const json* logs = member(body, "logprobs"); logs != nullptr && *logs != false) return "logprobs";
  if (member(body, "seed") != nullptr) return "a seed promises the same answer";
  if (const json* echo = member(body, "echo"); echo != nullptr && *echo != false) return "echo";
  if (const json* best = member(body, "best_of"); best != nullptr && *best != 1) return "best_of is above 1";
  if (member(body, "suffix") != nullptr) return "suffix";
  const json* format = member(body, "response_format");
  if (format != nullptr && (!member(*format, "type") || (*format)["type"] != "text"))
    return "response_format";
  return nullptr;
}

}  // namespace

Written read_events(std::string_view events, Form form) {
  Written written;
  std::int64_t pieces = 0;
  sse::EventSplitter splitter(kNoLimit);
  splitter.feed(events, [&](std::string_view event) {
    const json value = json::parse(sse::event_data(event), nullptr, false);
    if (!value.is_object()) return;
    for (const char* name : kRepeated) {
      if (value.contains(name)) written.about[name] = value[name];
    }
    if (const json* usage = member(value, "usage"); usage != nullptr && usage->is_object())
      written.usage = *usage;
    const json* choices = member(value, "choices");
    if (choices == nullptr || !choices->is_array()) return;
    for (const json& choice : *choices) {
      if (!choice.is_object()) continue;
      written.other_choices |= number(choice, "index") != 0;
      if (const std::string* text = text_of(choice, form); text != nullptr && !text->empty()) {
        written.text += *text;
        ++pieces;
      }
      if (const json* delta = member(choice, "delta")) {
        written.tool_calls |=
            member(*delta, "tool_calls") != nullptr || member(*delta, "function_call") != nullptr;
      }
      written.finished |= member(choice, "finish_reason") != nullptr;
    }
  });
  written.tokens = std::max(pieces, std::int64_t(written.text.size()) / kLettersPerToken);
  if (written.usage) written.tokens = std::max(written.tokens, number(*written.usage, "completion_tokens"));
  return written;
}

std::string Recovery::keep(std::string out) {
  if (way_ == Way::none || too_long_) return out;
  too_long_ = kept_.size() + out.size() > kMostKept;
  if (too_long_) {
    std::string().swap(kept_);
  } else {
    kept_ += out;
  }
  return out;
}

std::string Recovery::pass(std::string_view events) {
  if (way_ == Way::none) return std::string(events);
  if (!seam_ && events.find("error") == std::string_view::npos) return keep(std::string(events));
  std::string out;
  sse::EventSplitter splitter(kNoLimit);
  splitter.feed(events, [&](std::string_view event) {
    if (tells_error(event)) {
      error_ = event;
    } else if (seam_) {
      out += joined(event);
    } else {
      out += event;
    }
  });
  return keep(std::move(out));
}

std::string Recovery::event_of(const json& value) const {
  return "data: " + value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

json Recovery::chunk(const std::string& text, const json& finish) const {
  json choice = {{"index", 0}, {"finish_reason", finish}};
  if (form_ == Form::chat) {
    choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  json value = written_.about;
  value["choices"] = json::array({std::move(choice)});
  return value;
}

std::string Recovery::joined(std::string_view event) {
  const std::string data = sse::event_data(event);
  if (failed() || over_) return "";
  if (data == "[DONE]") {
    const std::string last = seam_->finish();
    if (failed()) return "";
    over_ = true;
    return (last.empty() ? "" : event_of(chunk(last, nullptr))) + "data: [DONE]\n\n";
  }
  json value = json::parse(data, nullptr, false);
  if (!value.is_object()) return sse::only_comments(event) ? std::string(event) : "";
  for (const char* name : kRepeated) {
    if (written_.about.contains(name)) {
      value[name] = written_.about[name];
    } else {
      value.erase(name);
    }
  }
  bool says = false;
  if (json* usage = value.contains("usage") && value["usage"].is_object() ? &value["usage"] : nullptr) {
    // Its prompt holds what was written: counted once, as a part of the answer.
    const std::int64_t prompt = std::max<std::int64_t>(number(*usage, "prompt_tokens") - written_.tokens, 0);
    const std::int64_t answer = written_.tokens + number(*usage, "completion_tokens");
    (*usage)["prompt_tokens"] = prompt;
    (*usage)["completion_tokens"] = answer;
    (*usage)["total_tokens"] = prompt + answer;
    says = true;
  }
  if (value.contains("choices") && value["choices"].is_array()) {
    for (json& choice : value["choices"]) {
      if (!choice.is_object()) continue;
      const json* finish = member(choice, "finish_reason");
      const std::string* said = text_of(choice, form_);
      const bool had_text = said != nullptr;
      std::string text = had_text ? seam_->feed(*said) : "";
      if (finish != nullptr) text += seam_->finish();
      if (failed()) return "";
      if (seam_->state() == Seam::State::stopped && !std::exchange(over_, true)) {
        return event_of(chunk("", "stop")) + "data: [DONE]\n\n";
      }
      if (form_ == Form::chat) {
        json& delta = choice["delta"];
        if (!delta.is_object()) delta = json::object();
        delta.erase("role");  // the client has had it
        delta.erase("content");
        if (!text.empty()) delta["content"] = text;
        says |= !delta.empty();
      } else {
        choice["text"] = text;
        says |= !text.empty();
      }
      says |= finish != nullptr;
    }
  } else {
    says = true;  // something of the box's own
  }
  return says ? event_of(value) : "";
}

Next Recovery::lost(const std::string& body) {
  Next next;
  const auto ends = [&next](const char* reason) {
    next.reason = reason;
    return next;
  };
  if (way_ == Way::none) return ends("its model does not say how its boxes go on");
  if (too_long_) return ends("more was written than is kept");
  if (failed()) return ends(reason());
  // Held at the seam and not given: the next box writes it again.
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) return ends("the request can't be read");
  written_ = read_events(kept_, form_);
  if (written_.finished) {
    next.what = Next::What::finish;
    next.bytes = keep("data: [DONE]\n\n");
    return next;
  }
  if (form_ == Form::chat && way_ == Way::prompt)
    return ends("its model's boxes go on with completions alone");
  if (const char* why = unsound(request, written_)) return ends(why);
  json more = request;
  next.written = written_.tokens;
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const json* most = member(request, name);
    if (most == nullptr) continue;
    next.left = number(request, name) - written_.tokens;
    if (next.left <= 0) {
      next.what = Next::What::finish;
      next.bytes = keep(event_of(chunk("", "length")) + "data: [DONE]\n\n");
      return next;
    }
    more[name] = next.left;
  }
  if (!written_.text.empty()) {
    if (form_ == Form::chat) {
      if (!more.contains("messages") || !more["messages"].is_array())
        return ends("the request has no messages");
      json& messages = more["messages"];
      const json* begun = member(request, "continue_final_message");
      if (begun != nullptr && *begun == true) {
        // Its client has begun the answer itself.
        json* last = messages.empty() ? nullptr : &messages.back();
        if (last == nullptr || !last->contains("content") || !(*last)["content"].is_string()) {
          return ends("the request begins its answer in parts");
        }
        (*last)["content"] = (*last)["content"].get<std::string>() + written_.text;
      } else {
        messages.push_back({{"role", "assistant"}, {"content", written_.text}});
      }
      more["continue_final_message"] = true;
      more["add_generation_prompt"] = false;
    } else {
      const json* prompt = member(more, "prompt");
      if (prompt != nullptr && prompt->is_array() && prompt->size() == 1) prompt = &prompt->front();
      if (prompt == nullptr || !prompt->is_string()) return ends("it has more than one prompt");
      more["prompt"] = prompt->get<std::string>() + written_.text;
    }
  }
  next.what = Next::What::go_on;
  next.body = more.dump(-1, ' ', false, json::error_handler_t::replace);
  seam_.emplace(written_.text, stops_of(request));
  error_.clear();
  ++continued_;
  return next;
}

}  // namespace bankmux::recovery
