#include "net/openai/errors.hpp"

#include <nlohmann/json.hpp>

namespace bankmux::net::openai {

using nlohmann::json;

std::string error_object(std::string_view message, std::string_view type, std::string_view param,
                         std::string_view code) {
  json error = {{"message", message}, {"type", type}, {"param", nullptr}, {"code", nullptr}};
  if (!param.empty()) error["param"] = param;
  if (!code.empty()) error["code"] = code;
  return json{{"error", error}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace bankmux::net::openai
