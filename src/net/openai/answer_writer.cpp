#include "net/openai/answer_writer.hpp"

#include "net/openai/errors.hpp"
#include "sse/event_splitter.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

constexpr std::size_t kNoLimit = std::size_t(1) << 30;  // the instance side has bounded events already
constexpr core::Tokens kLettersPerToken = 4;

class Plain : public AnswerWriter {
 public:
  [[nodiscard]] bool transparent() const override { return true; }
  std::string events(std::string_view bytes) override { return std::string(bytes); }
};

class Usage : public AnswerWriter {
 public:
  explicit Usage(core::Tokens prompt_tokens) : prompt_(prompt_tokens) {}

  std::string events(std::string_view bytes) override {
    std::string out;
    splitter_.feed(bytes, [&](std::string_view event) {
      const std::string data = sse::event_data(event);
      if (data == "[DONE]" && !told_) out += chunk();
      look(data);
      out += event;
    });
    return out;
  }

 private:
  void look(const std::string& data) {
    const json value = json::parse(data, nullptr, false);
    if (!value.is_object()) return;
    if (const auto usage = value.find("usage"); usage != value.end() && usage->is_object()) told_ = true;
    for (const char* name : {"id", "object", "created", "model", "system_fingerprint"}) {
      if (value.contains(name)) about_[name] = value[name];
    }
    const auto choices = value.find("choices");
    if (choices == value.end() || !choices->is_array()) return;
    for (const json& choice : *choices) {
      const auto delta = choice.find("delta");
      const json& text = delta != choice.end() ? *delta : choice;
      for (const char* name : {"content", "text"}) {
        const auto it = text.find(name);
        if (it != text.end() && it->is_string()) letters_ += it->get_ref<const std::string&>().size();
      }
    }
  }
  std::string chunk() const {
    const core::Tokens answer = (core::Tokens(letters_) + kLettersPerToken - 1) / kLettersPerToken;
    json value = about_;
    value["choices"] = json::array();
    value["usage"] = {
        {"prompt_tokens", prompt_}, {"completion_tokens", answer}, {"total_tokens", prompt_ + answer}};
    return "data: " + value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
  }

  core::Tokens prompt_;
  sse::EventSplitter splitter_{kNoLimit};
  json about_ = json::object();  // what each chunk repeats
  std::size_t letters_ = 0;
  bool told_ = false;
};

class Responses : public AnswerWriter {
 public:
  explicit Responses(ResponseEcho echo) : echo_(echo), stream_(std::move(echo)) {}

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
  std::optional<std::string> whole(std::string body) override {
    const std::optional<json> response = to_response(json::parse(body, nullptr, false), echo_);
    if (!response) return std::nullopt;
    return response->dump(-1, ' ', false, json::error_handler_t::replace);
  }
  std::string error(std::string_view code, std::string_view message) override {
    return stream_.fail(code, message);
  }
  [[nodiscard]] bool passes_errors() const override { return false; }

 private:
  ResponseEcho echo_;
  ResponseStream stream_;
  sse::EventSplitter splitter_{kNoLimit};
};

}  // namespace

std::string AnswerWriter::error(std::string_view code, std::string_view message) {
  return "data: " + error_object(message, "server_error", "", code) + "\n\n";
}

std::unique_ptr<AnswerWriter> plain_writer() { return std::make_unique<Plain>(); }
std::unique_ptr<AnswerWriter> usage_writer(core::Tokens prompt_tokens) {
  return std::make_unique<Usage>(prompt_tokens);
}
std::unique_ptr<AnswerWriter> response_writer(ResponseEcho echo) {
  return std::make_unique<Responses>(std::move(echo));
}

}  // namespace bankmux::net::openai
