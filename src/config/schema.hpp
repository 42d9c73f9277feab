// The JSON Schema of the appliance file, and documents checked against it.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bankmux::config {

// As published in deploy/appliance.schema.json, from which the build takes it.
std::string_view appliance_schema();

// Throws BadConfig that names the faulty key by its whole path, as in 'boxes[0].weight'.
void check_schema(const nlohmann::json& document, std::string_view schema);

}  // namespace bankmux::config
