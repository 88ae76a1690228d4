/// @file
/// Settings of a daemon and declarations of operators, read from JSON files.
#pragma once

#include <string>
#include <variant>

#include "adapters/settings/json_validation.h"
#include "workshatch/v1/configuration.pb.h"
#include "workshatch/v1/settings.pb.h"

namespace workshatch::settings {

/// Reads and checks a settings file; names all faults at once. A file that other users may read is
/// at fault, since it holds keys.
std::variant<v1::Settings, ValidationErrors> loadSettings(const std::string& path);

/// Reads and checks all `*.json` files of a folder and joins them to one configuration.
std::variant<v1::Configuration, ValidationErrors> loadDeclarations(const std::string& folder);

/// ValidationErrors that no schema can state: names that are not declared, factors out of order.
ValidationErrors checkConfiguration(const v1::Configuration& configuration,
                                    const std::string& source);

} // namespace workshatch::settings
