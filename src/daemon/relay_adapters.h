/// @file
/// The adapters of the platform's formats that the relay and group roles depend on.
#pragma once

#include "ports/configuration_codec.h"
#include "ports/relay_dialect.h"
#include "ports/runner_list_codec.h"

namespace workshatch::daemon {

/// The adapters of one platform. Not owned; they must outlive the roles.
struct RelayAdapters {
  const RelayDialect& dialect;
  const ConfigurationCodec& configurations;
  const RunnerListCodec& runner_lists;
};

} // namespace workshatch::daemon
