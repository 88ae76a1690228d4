/// @file
/// Validation of JSON documents against a schema. All errors are reported, each with a JSON
/// pointer.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace workshatch::settings {

/// One error in a document.
struct ValidationError {
  /// Path of the file, or a name for another source.
  std::string source;
  /// JSON pointer to the invalid member; empty for the whole document.
  std::string pointer;
  /// What is wrong and what is expected.
  std::string message;
};

/// @return the error as one line of text: "source#pointer: message".
std::string describe(const ValidationError& error);

using ValidationErrors = std::vector<ValidationError>;
using JsonOrErrors = std::variant<nlohmann::json, ValidationErrors>;

/// Reads and parses a JSON file.
JsonOrErrors readJson(const std::string& path);

/// Validates `document` against a schema and inserts the defaults of the schema for missing
/// members.
/// @param schema text of a JSON schema
/// @param source used in the errors
JsonOrErrors validateJson(nlohmann::json document, const char* schema, const std::string& source);

} // namespace workshatch::settings
