// The properties of a validated request that routing needs: class, session, shared prefix, lengths and time
// limit. No I/O; docs/appliance.md says how each is derived.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "config/appliance.hpp"
#include "core/conductor.hpp"

namespace bankmux::net::openai {

struct RequestFacts {
  eiderarch::RequestArrived arrived;  // id and deadline are not set
  core::Duration timeout{0};          // until the first token, or until the complete answer if not streamed
  // Upper bound on the tokens of the answer: the request's limit, or without one the most that published
  // models generate.
  eiderarch::Tokens max_answer_tokens = 0;
  bool streamed = false;
  bool include_usage = false;
  std::int64_t choices = 1;  // of the answer
};

// The model that a request names; throws RequestError (404) if it is not offered.
const config::Model& model_of(const nlohmann::json& body, const config::Appliance& appliance);

// For /v1/chat/completions. Also checks fields that depend on one another, which the rules cannot express;
// throws RequestError.
RequestFacts chat_facts(const nlohmann::json& body, const config::Appliance& appliance);
// For /v1/completions.
RequestFacts completion_facts(const nlohmann::json& body, const config::Appliance& appliance);

}  // namespace bankmux::net::openai
