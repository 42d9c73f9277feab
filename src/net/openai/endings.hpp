// What a client is told of a request that ends without a whole answer, and whether its library may try again.
// A pure function of what the core knows; docs/chat-endings.md has the table, the conformance suite holds
// each row.
#pragma once

#include <string>

#include "core/ports.hpp"
#include "net/http/message_parser.hpp"

namespace bankmux::net::openai {

struct Told {
  int status = 500;
  const char* type = "server_error";
  const char* code = "";
  const char* message = "";
  // `x-should-retry`, which the published SDKs obey before they look at the status. True only where nothing
  // ran, or where running twice does no harm.
  bool should_retry = false;
  core::Duration wait{0};  // where should_retry
};

Told tell(const core::Ending& ending);
// Of an answer that this server gives of itself, by its status.
Told tell(int status);

// `x-should-retry`, and Retry-After in both forms where trying again may help.
void add_retry_headers(Headers& headers, bool should_retry, core::Duration wait);

}  // namespace bankmux::net::openai
