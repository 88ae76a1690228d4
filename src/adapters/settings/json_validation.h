/// @file
/// JSON documents checked against a schema, with every fault named by JSON pointer.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace workshatch::settings {

struct ValidationError {
  /// The file, or the name of another source.
  std::string source;
  /// JSON pointer of the member at fault; empty: the whole document.
  std::string pointer;
  /// What was found wrong and what is expected there.
  std::string message;
};

/// One line for people: "source#pointer: message".
std::string describe(const ValidationError& fault);

using ValidationErrors = std::vector<ValidationError>;
using JsonOrErrors = std::variant<nlohmann::json, ValidationErrors>;

/// Reads and parses a file.
JsonOrErrors readJson(const std::string& path);

/// Checks `document` against a schema and fills in the schema's defaults.
JsonOrErrors validateJson(nlohmann::json document, const char* schema, const std::string& source);

} // namespace workshatch::settings
