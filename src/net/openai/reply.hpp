// Sends the core's answers to a client of the chat API, as a stream of events or as one JSON object.
#pragma once

#include <memory>
#include <string>

#include "net/http/http_reply.hpp"
#include "net/openai/answer_writer.hpp"
#include "net/openai/request_account.hpp"
#include "recovery/recovery.hpp"

namespace bankmux::net::openai {

// What a reply needs to know of its request.
struct ReplyOptions {
  Headers headers;  // on every answer to this request
  bool streamed = false;
  std::unique_ptr<AnswerFormatter> formatter;
  std::unique_ptr<RequestAccount> account;
  std::optional<recovery::StreamRecovery> recovery;  // if its instances can continue a partial answer
  core::PayloadPtr original_request;                 // only with `recovery`
  core::Duration max_gap{0};                         // how long the client may wait for the next instance
  core::Duration keep_alive{0};  // between comments before the first event; 0: no comments
};

class Reply : public HttpReply {
 public:
  Reply(std::unique_ptr<IncomingRequest> incoming, core::Scheduler& scheduler, ReplyOptions options);

  void on_sending() override { options_.account->on_sending(); }
  void on_not_executed() override { options_.account->on_not_executed(); }
  void refuse(const core::Ending& ending) override { send_error(error_reply(ending)); }
  void fail(const core::Ending& ending) override { send_error(error_reply(ending)); }
  void relay(const core::Answer& answer) override;
  void begin() override;
  void data(std::string_view bytes) override;
  void end() override;
  void abort(const core::Ending& ending) override;
  core::StreamContinuation continue_answer() override;
  [[nodiscard]] bool may_continue_answer() const override {
    return options_.recovery && !options_.recovery->failed();
  }
  [[nodiscard]] bool continuation_mismatched() const override {
    return options_.recovery && options_.recovery->failed();
  }

 private:
  void send_error(const ErrorReply& error);
  // Sends the status and headers, once; from then on errors are sent as events.
  void send_head();
  void keep_alive();
  // Formats complete events and sends them to the client.
  void send_events(std::string_view bytes);
  // Sends a part of the answer, and records it for the ledger.
  void send_bytes(std::string_view bytes);
  [[nodiscard]] Headers headers(const char* content_type, bool should_retry, core::Duration wait = {}) const;

  core::Scheduler& scheduler_;
  ReplyOptions options_;
  bool head_sent_ = false;
  std::string body_;
  std::unique_ptr<core::Timer> keep_alive_timer_;
};

}  // namespace bankmux::net::openai
