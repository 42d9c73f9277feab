// Formats an instance's answer for its client: unchanged, with a usage chunk that the client requested but
// the instance omitted, or translated to /v1/responses. One object for each request; no I/O.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.hpp"
#include "net/openai/error_replies.hpp"
#include "net/openai/translate.hpp"

namespace bankmux::net::openai {

class AnswerFormatter {
 public:
  virtual ~AnswerFormatter() = default;
  // Events are sent unchanged, so events() need not be called.
  [[nodiscard]] virtual bool is_passthrough() const { return false; }
  // Bytes to send before the first event of a stream.
  virtual std::string begin() { return ""; }
  // `bytes`: one or more complete events. Returns what to send for them, which may be empty.
  virtual std::string events(std::string_view bytes) = 0;
  // Bytes to send after the last event of a stream.
  virtual std::string end() { return ""; }
  // Formats a complete answer that is not streamed; nullopt if it is not in the expected format.
  virtual std::optional<std::string> format_complete(std::string body) { return body; }
  // The event that reports to the client that its stream is incomplete.
  virtual std::string error(std::string_view code, std::string_view message);
  // Whether events() forwards an instance's own error events to the client.
  [[nodiscard]] virtual bool forwards_error_events() const { return true; }
};

std::unique_ptr<AnswerFormatter> passthrough_formatter();
// Adds the chunk that `include_usage` requests if the instance sends none. Its figures are estimates:
// `prompt_tokens`, and one token for each four bytes of the answer.
std::unique_ptr<AnswerFormatter> usage_formatter(core::Tokens prompt_tokens);
std::unique_ptr<AnswerFormatter> response_formatter(ResponseEcho echo);

}  // namespace bankmux::net::openai
