/// @file
/// The formats of the outside world that the relay and group roles are given.
#pragma once

#include "ports/configuration_codec.h"
#include "ports/relay_dialect.h"
#include "ports/runner_list_codec.h"

namespace workshatch::daemon {

/// Adapters of one outside interface; they outlive the roles.
struct RelayAdapters {
  const RelayDialect& dialect;
  const ConfigurationCodec& configurations;
  const RunnerListCodec& runner_lists;
};

} // namespace workshatch::daemon
