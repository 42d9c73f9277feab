// The published requests of the chat dialect as tables: each field, its type and its range.
#pragma once

#include "net/openai/rules.hpp"

namespace bankmux::net::openai {

const Rule& chat_rules();
const Rule& completion_rules();
const Rule& response_rules();

}  // namespace bankmux::net::openai
