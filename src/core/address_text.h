/// @file
/// Helpers for network addresses in the text form "ip:port".
#pragma once

#include <cstdint>
#include <string>

namespace workshatch {

/// @return `address` with its port replaced by `port`.
inline std::string withPort(const std::string& address, uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

} // namespace workshatch
