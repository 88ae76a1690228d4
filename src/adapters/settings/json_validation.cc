#include "adapters/settings/json_validation.h"

#include <fstream>
#include <sstream>
#include <utility>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace workshatch::settings {

namespace {

using nlohmann::json;

const json& resolve(const json& root, const json& schema) {
  const auto reference = schema.find("$ref");
  if (reference == schema.end()) {
    return schema;
  }
  const std::string target = reference->get<std::string>().substr(1);
  return root.at(json::json_pointer(target));
}

/// @return the schema of the member at `path`, or of its innermost ancestor that the schema
/// describes.
const json& schemaAt(const json& root, const std::vector<std::string>& path) {
  const json* schema = &root;
  for (const std::string& token : path) {
    schema = &resolve(root, *schema);
    const auto properties = schema->find("properties");
    if (properties != schema->end() && properties->contains(token)) {
      schema = &properties->at(token);
    } else if (schema->contains("items")) {
      schema = &schema->at("items");
    } else {
      break;
    }
  }
  return resolve(root, *schema);
}

void applyDefaults(const json& root, const json& unresolved, json& value) {
  const json& schema = resolve(root, unresolved);
  if (value.is_array() && schema.contains("items")) {
    for (json& item : value) {
      applyDefaults(root, schema.at("items"), item);
    }
    return;
  }
  if (!value.is_object() || !schema.contains("properties")) {
    return;
  }
  for (const auto& [name, property] : schema.at("properties").items()) {
    const json& property_schema = resolve(root, property);
    if (!value.contains(name) && property_schema.contains("default")) {
      value[name] = property_schema.at("default");
    }
    if (value.contains(name)) {
      applyDefaults(root, property, value[name]);
    }
  }
}

/// @return the path tokens in a valijson context, whose parts are "<root>", "[name]" or "[0]".
std::vector<std::string> tokensOf(const std::vector<std::string>& context) {
  std::vector<std::string> tokens;
  for (const std::string& part : context) {
    if (part.size() >= 2 && part.front() == '[') {
      tokens.push_back(part.substr(1, part.size() - 2));
    }
  }
  return tokens;
}

std::string pointerOf(const std::vector<std::string>& tokens) {
  json::json_pointer pointer;
  for (const std::string& token : tokens) {
    pointer.push_back(token);
  }
  return pointer.to_string();
}

/// @return the member name in the last pair of quotes of a valijson message about an unknown or
/// missing member.
std::string quotedMemberName(const std::string& description) {
  const size_t last = description.rfind('\'');
  const size_t first = last == std::string::npos || last == 0 ? std::string::npos
                                                              : description.rfind('\'', last - 1);
  return first == std::string::npos ? "" : description.substr(first + 1, last - first - 1);
}

ValidationError toValidationError(const json& root, const valijson::ValidationResults::Error& error,
                                  const std::string& source) {
  constexpr std::string_view kUnknown = "Object contains a property that could not be validated";
  constexpr std::string_view kMissing = "Missing required property";
  std::vector<std::string> tokens = tokensOf(error.context);
  ValidationError result{.source = source, .pointer = "", .message = error.description};
  if (error.description.starts_with(kUnknown)) {
    tokens.push_back(quotedMemberName(error.description));
    result.message = "unknown member";
  } else if (error.description.starts_with(kMissing)) {
    tokens.push_back(quotedMemberName(error.description));
    result.message = "missing";
  }
  const json& schema = schemaAt(root, tokens);
  if (schema.contains("description") && result.message != "unknown member") {
    result.message += "; expected " + schema.at("description").get<std::string>();
    if (schema.contains("minimum") && schema.contains("maximum")) {
      result.message +=
          " (" + schema.at("minimum").dump() + " to " + schema.at("maximum").dump() + ")";
    }
  }
  result.pointer = pointerOf(tokens);
  return result;
}

/// @return whether a valijson error only states that a nested member is invalid. The nested member
/// has an error of its own.
bool isEnclosingError(const std::string& description) {
  return description.starts_with("Failed to validate against schema associated with") ||
         description.starts_with("Failed to validate item #");
}

} // namespace

std::string describe(const ValidationError& error) {
  return error.source + "#" + error.pointer + ": " + error.message;
}

JsonOrErrors readJson(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return ValidationErrors{
        ValidationError{.source = path, .pointer = "", .message = "cannot be read"}};
  }
  std::ostringstream content;
  content << in.rdbuf();
  try {
    return json::parse(content.str());
  } catch (const json::parse_error& error) {
    return ValidationErrors{
        ValidationError{.source = path, .pointer = "", .message = error.what()}};
  }
}

JsonOrErrors validateJson(json document, const char* schema_text, const std::string& source) {
  const json schema_json = json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json);
  parser.populateSchema(schema_adapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(schema, adapter, &results)) {
    applyDefaults(schema_json, schema_json, document);
    return document;
  }
  ValidationErrors errors;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (!isEnclosingError(error.description)) {
      errors.push_back(toValidationError(schema_json, error, source));
    }
  }
  return errors;
}

} // namespace workshatch::settings
