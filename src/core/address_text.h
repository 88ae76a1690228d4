/// @file
/// Addresses as text, "ip:port".
#pragma once

#include <cstdint>
#include <string>

namespace workshatch {

/// @return the same ip with another port.
inline std::string withPort(const std::string& address, uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

} // namespace workshatch
