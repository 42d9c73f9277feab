#include "net/openai/reply.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "log/log.hpp"
#include "net/http/payload.hpp"
#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

namespace {

constexpr const char* kJson = "application/json";
constexpr const char* kStream = "text/event-stream";

}  // namespace

Reply::Reply(std::unique_ptr<IncomingRequest> incoming, core::Scheduler& scheduler, ReplyOptions options)
    : HttpReply(std::move(incoming)), scheduler_(scheduler), options_(std::move(options)) {
  if (options_.streamed && options_.keep_alive.count() > 0) {
    keep_alive_timer_ = scheduler_.at(scheduler_.now() + options_.keep_alive, [this] { keep_alive(); });
  }
}

Headers Reply::headers(const char* content_type, bool should_retry, core::Duration wait) const {
  Headers all = options_.headers;
  all.emplace_back("Content-Type", content_type);
  add_retry_headers(all, should_retry, wait);
  return all;
}

// Sends a comment so that proxies and clients do not close an idle connection. This sends the status 200
// first, so that a later error can no longer have a status of its own; for that reason it is off by default.
void Reply::keep_alive() {
  send_head();
  incoming_->chunk(": waiting\n\n");
  keep_alive_timer_ = scheduler_.at(scheduler_.now() + options_.keep_alive, [this] { keep_alive(); });
}

void Reply::send_head() {
  if (std::exchange(head_sent_, true)) return;
  Headers all = headers(kStream, options_.account->promises_safe_retry());
  all.emplace_back("Cache-Control", "no-cache");
  incoming_->begin(200, all);
}

void Reply::send_error(const ErrorReply& error) {
  keep_alive_timer_.reset();
  if (head_sent_) {
    incoming_->chunk(options_.formatter->error(error.code, error.message));
    return incoming_->abort();
  }
  incoming_->answer(error.status, headers(kJson, error.should_retry, error.wait),
                    error_object(error.message, error.type, "", error.code));
}

void Reply::relay(const core::Answer& answer) {
  keep_alive_timer_.reset();
  if (head_sent_) {
    incoming_->chunk(options_.formatter->error("upstream_rejected", "The box finds fault with the request."));
    return incoming_->abort();
  }
  // The request itself is invalid, so a retry would fail again.
  const std::string type = answer.content_type.empty() ? kJson : answer.content_type;
  options_.account->rejected(answer.status, type, answer.body);
  incoming_->answer(answer.status, headers(type.c_str(), false), answer.body);
}

void Reply::begin() {
  keep_alive_timer_.reset();
  if (!options_.streamed) return;
  send_head();
  send_bytes(options_.formatter->begin());
}

void Reply::send_bytes(std::string_view bytes) {
  options_.account->record_sent(bytes);
  incoming_->chunk(bytes);
}

void Reply::data(std::string_view bytes) {
  if (!options_.streamed) {
    body_ += bytes;
    return;
  }
  options_.account->record_events(bytes);
  if (options_.recovery) {
    send_events(options_.recovery->forward(bytes));
  } else {
    send_events(bytes);
  }
}

void Reply::send_events(std::string_view bytes) {
  if (bytes.empty()) return;
  if (options_.formatter->is_passthrough()) {
    send_bytes(bytes);
  } else {
    send_bytes(options_.formatter->events(bytes));
  }
}

core::StreamContinuation Reply::continue_answer() {
  if (!options_.recovery) return {};
  const recovery::Continuation next = options_.recovery->instance_lost(options_.original_request->body);
  const auto log_decision = [&](const char* what) {
    log::write("recovery", what, [&]() -> nlohmann::json {
      return {{"request_id", options_.original_request->id},
              {"reason", next.reason},
              {"tokens", next.written_tokens},
              {"continued", options_.recovery->continued()}};
    });
  };
  switch (next.action) {
    case recovery::Continuation::Action::give_up:
      log_decision("stays broken");
      return {};
    case recovery::Continuation::Action::finish:
      log_decision("its end alone was missing");
      send_events(next.bytes);
      return {core::StreamContinuation::What::finished, nullptr, next.written_tokens, 0, {}};
    case recovery::Continuation::Action::resume:
      break;
  }
  log_decision("goes on at another box");
  auto payload = std::make_shared<core::Payload>(*options_.original_request);
  payload->body = next.body;
  return {core::StreamContinuation::What::go_on, std::move(payload), next.written_tokens,
          next.remaining_tokens, options_.max_gap};
}

void Reply::end() {
  if (options_.streamed) {
    send_bytes(options_.formatter->end());
    options_.account->completed(200, kStream);
    return incoming_->end();
  }
  options_.account->record_answer(body_);
  const std::optional<std::string> complete_answer = options_.formatter->format_complete(std::move(body_));
  if (!complete_answer) {
    // The request ran, but its answer cannot be translated.
    return send_error(
        {502, "server_error", "upstream_failed", "The box's answer could not be understood.", false, {}});
  }
  options_.account->completed(200, kJson, *complete_answer);
  incoming_->answer(200, headers(kJson, options_.account->promises_safe_retry()), *complete_answer);
}

// An incomplete stream is reported by an error event, unless the instance has already sent one, and by the
// missing end of the response.
void Reply::abort(const core::Ending& ending) {
  const ErrorReply error = error_reply(ending);
  if (!options_.streamed) return send_error(error);
  // The instance's own error event was withheld while the stream could still be recovered.
  if (ending.ended_by_error_event && options_.recovery && options_.formatter->forwards_error_events())
    incoming_->chunk(options_.recovery->withheld_error());
  if (!ending.ended_by_error_event || !options_.formatter->forwards_error_events()) {
    incoming_->chunk(options_.formatter->error(error.code, error.message));
  }
  incoming_->abort();
}

}  // namespace bankmux::net::openai
