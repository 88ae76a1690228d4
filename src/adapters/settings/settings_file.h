/// @file
/// Loads the settings of a daemon and the declarations of operators from JSON files.
#pragma once

#include <string>
#include <variant>

#include "adapters/settings/json_validation.h"
#include "workshatch/v1/configuration.pb.h"
#include "workshatch/v1/settings.pb.h"

namespace workshatch::settings {

/// Reads and validates a settings file and returns all its errors. A file that other users may read
/// is rejected, since it contains keys.
std::variant<v1::Settings, ValidationErrors> loadSettings(const std::string& path);

/// Reads and validates all `*.json` files of a folder and merges them into one configuration.
std::variant<v1::Configuration, ValidationErrors> loadDeclarations(const std::string& folder);

/// Checks what a schema cannot express: names that are declared twice or not at all, and factors
/// that contradict each other.
/// @param source used in the errors
ValidationErrors checkConfiguration(const v1::Configuration& configuration,
                                    const std::string& source);

} // namespace workshatch::settings
