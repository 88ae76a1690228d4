/// @file
/// Port: the operator's text of a configuration, and the product's typed form of it.
#pragma once

#include <string_view>

#include "core/relay/configuration.h"
#include "core/result.h"

namespace workshatch {

/// Reads configurations. Stateless; safe for concurrent use.
class ConfigurationCodec {
public:
  virtual ~ConfigurationCodec() = default;

  /// @return the configuration, or an error that names the field at fault. The meaning (names that
  /// are not declared, weights) is not checked here; see relay::findConfigurationError.
  virtual Result<relay::Configuration> decode(std::string_view document) const = 0;
};

} // namespace workshatch
