// The request bodies of the published API as rules: each field with its type and range.
#pragma once

#include "net/openai/rules.hpp"

namespace bankmux::net::openai {

// For /v1/chat/completions, /v1/completions and /v1/responses.
const Rule& chat_rules();
const Rule& completion_rules();
const Rule& response_rules();

}  // namespace bankmux::net::openai
