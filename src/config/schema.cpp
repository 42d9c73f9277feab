#include "config/schema.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/fields.hpp"

namespace bankmux::config {

using nlohmann::json;

namespace {

// Converts the library's "<root>[boxes][0][weight]" to "boxes[0].weight".
std::string path_of(const std::string& context) {
  std::string path;
  for (std::size_t at = context.find('['); at != std::string::npos; at = context.find('[', at + 1)) {
    const std::string segment = context.substr(at + 1, context.find(']', at) - at - 1);
    const bool index = !segment.empty() && segment.find_first_not_of("0123456789") == std::string::npos;
    if (!index && !path.empty()) path += '.';
    if (index) path += '[';
    path += segment;
    if (index) path += ']';
  }
  return path;
}

// Returns the last quoted text: the library's messages about missing and unknown keys end with the key in
// quotes.
std::string last_quoted(const std::string& description) {
  const std::size_t end = description.rfind('\'');
  const std::size_t begin = end == std::string::npos || end == 0 ? end : description.rfind('\'', end - 1);
  return begin == std::string::npos ? "" : description.substr(begin + 1, end - begin - 1);
}

// The error message for the value at `path`, from the library's description of the error.
std::string error_message(const std::string& path, const std::string& description) {
  const std::string key = last_quoted(description);
  const std::string member_path = path.empty() ? key : path + "." + key;
  if (description.starts_with("Missing required property")) return "'" + member_path + "' is missing";
  if (description.starts_with("Object contains a property"))
    return "'" + member_path + "' is not a known key";
  return "'" + path + "' does not match the schema: " + description;
}

}  // namespace

void check_schema(const json& document, std::string_view schema_text) {
  const json schema_document = json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_document), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) return;
  // Reports the most deeply nested error: the errors of the enclosing values follow from it.
  std::string path, description = "the file does not match its schema";
  std::size_t max_depth = 0;
  for (valijson::ValidationResults::Error error; results.popError(error);) {
    std::string context;
    for (const std::string& segment : error.context) context += segment;
    const std::string error_path = path_of(context);
    if (error.context.size() <= max_depth) continue;
    max_depth = error.context.size();
    path = error_path;
    description = error.description;
  }
  throw BadConfig(error_message(path, description));
}

}  // namespace bankmux::config
