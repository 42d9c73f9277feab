// How a box's answer is worded for its client: as it came, with the usage that was asked for and left out, or
// translated. One for each request; pure.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.hpp"
#include "net/openai/endings.hpp"
#include "net/openai/translate.hpp"

namespace bankmux::net::openai {

class AnswerWriter {
 public:
  virtual ~AnswerWriter() = default;
  // Events go out as they come, so events() need not be asked.
  [[nodiscard]] virtual bool transparent() const { return false; }
  // A stream's bytes ahead of all events.
  virtual std::string begin() { return ""; }
  // `bytes`: one or more whole events. What is to go out for them; may be empty.
  virtual std::string events(std::string_view bytes) = 0;
  // A stream's bytes after all events.
  virtual std::string end() { return ""; }
  // A whole answer; nothing where it cannot be worded.
  virtual std::optional<std::string> whole(std::string body) { return body; }
  // The event that tells a client of a stream's end that is not whole.
  virtual std::string error(std::string_view code, std::string_view message);
  // A box's own error event reaches the client through events().
  [[nodiscard]] virtual bool passes_errors() const { return true; }
};

std::unique_ptr<AnswerWriter> plain_writer();
// Adds the chunk that `include_usage` asks for where the box sends none, with estimates: `prompt_tokens`, and
// four letters to a token of the answer.
std::unique_ptr<AnswerWriter> usage_writer(core::Tokens prompt_tokens);
std::unique_ptr<AnswerWriter> response_writer(ResponseEcho echo);

}  // namespace bankmux::net::openai
