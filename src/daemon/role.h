/// @file
/// What a program needs of the role that it runs.
#pragma once

#include <functional>
#include <variant>

#include "adapters/settings/relay_settings.h"
#include "core/result.h"

namespace workshatch::daemon {

/// One role of a process. Lives on the first worker's event loop, on which all methods run.
class Role {
public:
  Role() = default;
  Role(const Role&) = delete;
  Role& operator=(const Role&) = delete;
  virtual ~Role() = default;

  /// Opens the addresses that the role serves.
  virtual Result<std::monostate> start() = 0;
  /// Begins a planned stop; `stopped` is called once when it is over.
  virtual void stop(std::function<void()> stopped) = 0;
  /// Takes over settings that may change while the process runs.
  virtual void reload(const settings::RelaySettings& settings) = 0;
};

} // namespace workshatch::daemon
