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

// The library's "<root>[boxes][0][weight]" as "boxes[0].weight".
std::string path_of(const std::string& context) {
  std::string path;
  for (std::size_t at = context.find('['); at != std::string::npos; at = context.find('[', at + 1)) {
    const std::string step = context.substr(at + 1, context.find(']', at) - at - 1);
    const bool index = !step.empty() && step.find_first_not_of("0123456789") == std::string::npos;
    if (!index && !path.empty()) path += '.';
    if (index) path += '[';
    path += step;
    if (index) path += ']';
  }
  return path;
}

// A complaint about an object that lacks a key or has one too many ends with the key in quotes.
std::string last_quoted(const std::string& words) {
  const std::size_t end = words.rfind('\'');
  const std::size_t begin = end == std::string::npos || end == 0 ? end : words.rfind('\'', end - 1);
  return begin == std::string::npos ? "" : words.substr(begin + 1, end - begin - 1);
}

// `what` of the place in the document, in the words that the schema gives for it.
std::string complaint(const std::string& path, const std::string& words) {
  const std::string key = last_quoted(words);
  const std::string inner = path.empty() ? key : path + "." + key;
  if (words.starts_with("Missing required property")) return "'" + inner + "' is missing";
  if (words.starts_with("Object contains a property"))
    return "'" + inner + "' is not a key that is known here";
  return "'" + path + "' is not as the schema has it: " + words;
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
  // The innermost complaint is the cause; those about what surrounds it follow from it.
  std::string path, words = "the file does not fit its schema";
  std::size_t deepest = 0;
  for (valijson::ValidationResults::Error error; results.popError(error);) {
    std::string context;
    for (const std::string& step : error.context) context += step;
    const std::string place = path_of(context);
    if (error.context.size() <= deepest) continue;
    deepest = error.context.size();
    path = place;
    words = error.description;
  }
  throw BadConfig(complaint(path, words));
}

}  // namespace bankmux::config
