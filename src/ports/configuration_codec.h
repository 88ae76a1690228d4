/// @file
/// Port: parser of operators' configuration documents into the typed configuration.
#pragma once

#include <string_view>

#include "core/relay/configuration.h"
#include "core/result.h"

namespace workshatch {

/// Parses configuration documents. Stateless; safe for concurrent use.
class ConfigurationCodec {
public:
  virtual ~ConfigurationCodec() = default;

  /// @return the configuration, or an error that names the faulty field. The meaning (undeclared
  /// names, weights) is not checked here; see relay::findConfigurationError.
  virtual Result<relay::Configuration> decode(std::string_view document) const = 0;
};

} // namespace workshatch
