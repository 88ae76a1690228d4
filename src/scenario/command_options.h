/// @file
/// Parses the options of scenario commands; defines timeouts that several commands use.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "scenario/script.h"

namespace workshatch::scenario {

/// Timeout of an operator call, which includes the search for the leader.
inline constexpr int64_t kOperatorTimeoutMs = 30'000;
/// Timeout of an operator call that is repeated until a condition holds.
inline constexpr int64_t kStatusTimeoutMs = 1000;

/// Result of a command that succeeded.
inline constexpr std::monostate kDone;

/// @return the option as a number, or `fallback` if it is not set.
/// @throws std::logic_error if the value is not a number.
inline uint32_t numberOption(const Command& command, const std::string& name, uint32_t fallback) {
  const auto found = command.options.find(name);
  return found == command.options.end() ? fallback
                                        : static_cast<uint32_t>(std::stoul(found->second));
}

/// @return the option, or `fallback` if it is not set.
inline std::string textOption(const Command& command, const std::string& name,
                              const std::string& fallback) {
  const auto found = command.options.find(name);
  return found == command.options.end() ? fallback : found->second;
}

} // namespace workshatch::scenario
