// The JSON Schema of the appliance file, and validation against it.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bankmux::config {

// The text of deploy/appliance.schema.json, embedded at build time.
std::string_view appliance_schema();

// Throws BadConfig if `document` violates `schema`; the message names the key by its full path, for example
// 'boxes[0].weight'.
void check_schema(const nlohmann::json& document, std::string_view schema);

}  // namespace bankmux::config
