// Errors in requests to the chat API, and the error object that reports them to the client.
#pragma once

#include <string>
#include <string_view>

namespace bankmux::net::openai {

// Thrown while a request is read; caught by the front, which sends the error reply.
struct RequestError {
  std::string message;  // a predicate such as "must be ..."; the front puts `param` in front
  std::string param;    // path of the invalid field, as in `messages[3].content[1].type`; empty: the body
  int status = 400;
  std::string code = {};
};

// The error object of the published API, as JSON text.
std::string error_object(std::string_view message, std::string_view type, std::string_view param,
                         std::string_view code);

}  // namespace bankmux::net::openai
