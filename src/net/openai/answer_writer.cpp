#include "net/openai/answer_writer.hpp"

#include "net/openai/errors.hpp"
#include "sse/event_splitter.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

// Effectively unlimited: the instance client has already limited the size of events.
constexpr std::size_t kNoEventLimit = std::size_t(1) << 30;
constexpr core::Tokens kBytesPerToken = 4;

// Sends the answer unchanged.
class PassthroughFormatter : public AnswerFormatter {
 public:
  [[nodiscard]] bool is_passthrough() const override { return true; }
  std::string events(std::string_view bytes) override { return std::string(bytes); }
};

// Adds a usage chunk before [DONE] if the instance sent none.
class UsageFormatter : public AnswerFormatter {
 public:
  explicit UsageFormatter(core::Tokens prompt_tokens) : prompt_tokens_(prompt_tokens) {}

  std::string events(std::string_view bytes) override {
    std::string out;
    splitter_.feed(bytes, [&](std::string_view event) {
      const std::string data = sse::event_data(event);
      if (data == "[DONE]" && !usage_seen_) out += usage_chunk();
      inspect(data);
      out += event;
    });
    return out;
  }

 private:
  void inspect(const std::string& data) {
    const json value = json::parse(data, nullptr, false);
    if (!value.is_object()) return;
    if (const auto usage = value.find("usage"); usage != value.end() && usage->is_object())
      usage_seen_ = true;
    for (const char* name : {"id", "object", "created", "model", "system_fingerprint"}) {
      if (value.contains(name)) common_fields_[name] = value[name];
    }
    const auto choices = value.find("choices");
    if (choices == value.end() || !choices->is_array()) return;
    for (const json& choice : *choices) {
      const auto delta = choice.find("delta");
      const json& text = delta != choice.end() ? *delta : choice;
      for (const char* name : {"content", "text"}) {
        const auto it = text.find(name);
        if (it != text.end() && it->is_string()) text_bytes_ += it->get_ref<const std::string&>().size();
      }
    }
  }
  std::string usage_chunk() const {
    const core::Tokens answer = (core::Tokens(text_bytes_) + kBytesPerToken - 1) / kBytesPerToken;
    json value = common_fields_;
    value["choices"] = json::array();
    value["usage"] = {{"prompt_tokens", prompt_tokens_},
                      {"completion_tokens", answer},
                      {"total_tokens", prompt_tokens_ + answer}};
    return "data: " + value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
  }

  core::Tokens prompt_tokens_;
  sse::EventSplitter splitter_{kNoEventLimit};
  json common_fields_ = json::object();  // the fields that every chunk repeats
  std::size_t text_bytes_ = 0;
  bool usage_seen_ = false;
};

// Translates chat completions to /v1/responses.
class ResponseFormatter : public AnswerFormatter {
 public:
  explicit ResponseFormatter(ResponseEcho echo) : echo_(echo), stream_(std::move(echo)) {}

  std::string begin() override { return stream_.begin(); }
  std::string events(std::string_view bytes) override {
    std::string out;
    splitter_.feed(bytes, [&](std::string_view event) {
      const json value = json::parse(sse::event_data(event), nullptr, false);
      if (value.is_object()) out += stream_.chunk(value);
    });
    return out;
  }
  std::string end() override { return stream_.finish(); }
  std::optional<std::string> format_complete(std::string body) override {
    const std::optional<json> response = to_response(json::parse(body, nullptr, false), echo_);
    if (!response) return std::nullopt;
    return response->dump(-1, ' ', false, json::error_handler_t::replace);
  }
  std::string error(std::string_view code, std::string_view message) override {
    return stream_.fail(code, message);
  }
  [[nodiscard]] bool forwards_error_events() const override { return false; }

 private:
  ResponseEcho echo_;
  ResponseStream stream_;
  sse::EventSplitter splitter_{kNoEventLimit};
};

}  // namespace

std::string AnswerFormatter::error(std::string_view code, std::string_view message) {
  return "data: " + error_object(message, "server_error", "", code) + "\n\n";
}

std::unique_ptr<AnswerFormatter> passthrough_formatter() { return std::make_unique<PassthroughFormatter>(); }
std::unique_ptr<AnswerFormatter> usage_formatter(core::Tokens prompt_tokens) {
  return std::make_unique<UsageFormatter>(prompt_tokens);
}
std::unique_ptr<AnswerFormatter> response_formatter(ResponseEcho echo) {
  return std::make_unique<ResponseFormatter>(std::move(echo));
}

}  // namespace bankmux::net::openai
