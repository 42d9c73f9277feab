#include "net/openai/front.hpp"

#include <cstdio>

#include "net/instances/payload.hpp"
#include "net/openai/chat.hpp"

namespace bankmux::net {

namespace {

constexpr const char* kJson = "application/json";

// Words the core's final answers in this dialect: a stream of events, or one whole object.
class OpenAiReply : public HttpReply {
 public:
  OpenAiReply(std::unique_ptr<Incoming> incoming, bool streamed)
      : HttpReply(std::move(incoming)), streamed_(streamed) {}

  void refuse(core::Duration stay_away) override {
    Headers headers{{"Content-Type", kJson}};
    if (stay_away.count() > 0) {
      // Whole seconds by HTTP's own rules; the finer one is what clients of this API also look at.
      headers.emplace_back("Retry-After", std::to_string((stay_away.count() + 999'999) / 1'000'000));
      headers.emplace_back("Retry-After-Ms", std::to_string(stay_away.count() / 1000));
    }
    incoming_->answer(503, headers,
                      error_object("Overloaded; nothing was run and trying again is harmless.",
                                   "server_error", "", "overloaded"));
  }
  void fail(std::string_view why) override {
    incoming_->answer(502, {{"Content-Type", kJson}},
                      error_object(why, "server_error", "", "upstream_failed"));
  }
  void relay(const core::Answer& answer) override {
    incoming_->answer(answer.status, {{"Content-Type", answer.content_type}}, answer.body);
  }
  void begin() override {
    if (streamed_) HttpReply::begin();
  }
  void data(std::string_view bytes) override {
    if (streamed_) {
      HttpReply::data(bytes);
    } else {
      whole_ += bytes;
    }
  }
  void end() override {
    if (streamed_) return HttpReply::end();
    incoming_->answer(200, {{"Content-Type", kJson}}, whole_);
  }
  // The client learns of it twice: by an error event, unless the box has sent one, and by the missing end.
  void abort(bool told) override {
    if (!streamed_) return fail("the answer broke off");
    if (!told) {
      HttpReply::data("data: " + error_object("The answer broke off.", "server_error", "", "stream_broken") +
                      "\n\n");
    }
    HttpReply::abort(told);
  }

 private:
  bool streamed_;
  std::string whole_;
};

}  // namespace

OpenAiFront::OpenAiFront(core::Conductor& conductor, core::Scheduler& scheduler,
                         const config::Appliance& appliance, std::function<bool()> healthy)
    : conductor_(conductor), scheduler_(scheduler), appliance_(appliance), healthy_(std::move(healthy)) {
  char text[32];
  std::snprintf(text, sizeof text, "req-%llx-", static_cast<unsigned long long>(scheduler.now().count()));
  start_ = text;
}

void OpenAiFront::handle(std::unique_ptr<Incoming> incoming) {
  const std::string path = incoming->path();
  const std::string method = incoming->method();
  const Headers json{{"Content-Type", kJson}};
  if (path == "/-/healthy" || path == "/-/ready") {
    const bool healthy = healthy_();
    return incoming->answer(healthy ? 200 : 503, {}, healthy ? "ok\n" : "not serving\n");
  }
  if (path == "/v1/chat/completions") {
    if (method == "POST") return chat(std::move(incoming));
  } else if (path == "/v1/models") {
    if (method == "GET") return incoming->answer(200, json, model_list(appliance_));
  } else if (path.starts_with("/v1/models/")) {
    const auto model = model_object(appliance_, path.substr(std::string_view("/v1/models/").size()));
    if (model && method == "GET") return incoming->answer(200, json, *model);
    if (!model) {
      return incoming->answer(
          404, json, error_object("No such model.", "invalid_request_error", "model", "model_not_found"));
    }
  } else {
    return incoming->answer(
        404, json, error_object("Unknown path: " + path, "invalid_request_error", "", "unknown_url"));
  }
  incoming->answer(405, json,
                   error_object("Not allowed: " + method, "invalid_request_error", "", "method_not_allowed"));
}

void OpenAiFront::chat(std::unique_ptr<Incoming> incoming) {
  auto payload = std::make_shared<core::Payload>();
  payload->body = incoming->take_body();
  ChatRequest request;
  try {
    request = read_chat(payload->body, appliance_);
  } catch (const ChatError& problem) {
    const std::string message =
        problem.param.empty() ? problem.message : problem.param + " " + problem.message;
    incoming->answer(400, {{"Content-Type", kJson}},
                     error_object(message, "invalid_request_error", problem.param, ""));
    return;
  }
  payload->id = start_ + std::to_string(++count_);
  payload->method = "POST";
  payload->target = incoming->target();
  payload->headers = incoming->headers();
  payload->streamed = request.streamed;
  core::Ask ask{request.facts, std::move(payload)};
  ask.facts.deadline = scheduler_.now() + request.patience;
  Incoming& client = *incoming;
  const core::RequestId id =
      conductor_.take(std::move(ask), std::make_unique<OpenAiReply>(std::move(incoming), request.streamed));
  if (id != 0) client.on_gone([this, id] { conductor_.client_gone(id); });
}

}  // namespace bankmux::net
