// The OpenAI-style chat dialect as text: requests to the core's terms, error objects, model lists.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/appliance.hpp"
#include "core/conductor.hpp"

namespace bankmux::net {

struct ChatError {
  std::string message;
  std::string param;  // the faulty field; empty: the body as a whole
};

struct ChatRequest {
  eiderarch::RequestArrived facts;  // without its id and deadline
  core::Duration patience{0};  // until the first token, or until the whole answer where it is not streamed
  bool streamed = false;
};

// Class from the model, session and lengths from the messages; docs/appliance.md says how. Throws ChatError.
ChatRequest read_chat(std::string_view body, const config::Appliance& appliance);

std::string error_object(std::string_view message, std::string_view type, std::string_view param,
                         std::string_view code);
std::string model_list(const config::Appliance& appliance);
std::optional<std::string> model_object(const config::Appliance& appliance, std::string_view name);

}  // namespace bankmux::net
