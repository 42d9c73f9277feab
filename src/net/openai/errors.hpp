// What is wrong with a request on the chat front, as a value that its client can be told.
#pragma once

#include <string>
#include <string_view>

namespace bankmux::net::openai {

// Thrown while a request is read; ends at the front, which answers it.
struct RequestError {
  std::string message;  // begins with what the field does or is: "must be ..."; the front puts its path ahead
  std::string param;  // path of the faulty field, as in `messages[3].content[1].type`; empty: the whole body
  int status = 400;
  std::string code = {};
};

// The documented error object.
std::string error_object(std::string_view message, std::string_view type, std::string_view param,
                         std::string_view code);

}  // namespace bankmux::net::openai
