// The error reply to a request that ends without a complete answer, and whether the client library may retry.
// A pure function of what the core knows; docs/chat-endings.md has the table, and the conformance suite tests
// each row.
#pragma once

#include <string>

#include "core/ports.hpp"
#include "net/http/message_parser.hpp"

namespace bankmux::net::openai {

struct ErrorReply {
  int status = 500;
  const char* type = "server_error";
  const char* code = "";
  const char* message = "";
  // The header `x-should-retry`, to which the published SDKs give precedence over the status. True only if
  // nothing ran or if running twice does no harm.
  bool should_retry = false;
  core::Duration wait{0};  // only with should_retry
};

ErrorReply error_reply(const core::Ending& ending);
// The reply to an error that the HTTP server detects itself, by its status.
ErrorReply error_reply(int status);

// Adds `x-should-retry` and, if a retry may help, Retry-After and Retry-After-Ms.
void add_retry_headers(Headers& headers, bool should_retry, core::Duration wait);

}  // namespace bankmux::net::openai
