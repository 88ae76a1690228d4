/// @file
/// Interface between a program and the role that its process runs.
#pragma once

#include <functional>
#include <variant>

#include "adapters/settings/relay_settings.h"
#include "core/result.h"

namespace workshatch::daemon {

/// One role of a process. All methods run on the first worker's event loop.
class Role {
public:
  Role() = default;
  Role(const Role&) = delete;
  Role& operator=(const Role&) = delete;
  virtual ~Role() = default;

  /// Starts the role and opens its listening addresses.
  /// @return an error if an address can't be opened.
  virtual Result<std::monostate> start() = 0;
  /// Begins a planned stop. Calls `stopped` exactly once, when the stop is complete.
  virtual void stop(std::function<void()> stopped) = 0;
  /// Applies those settings that may change while the process runs.
  virtual void reload(const settings::RelaySettings& settings) = 0;
};

} // namespace workshatch::daemon
