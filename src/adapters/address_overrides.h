/// @file
/// Address overrides from the settings, for processes that are reached at an address other than the
/// one they advertise (port forwarding).
#pragma once

#include <map>
#include <string>
#include <utility>

#include "workshatch/v1/settings.pb.h"

namespace workshatch {

/// Maps advertised addresses to the addresses to connect to (setting `address_overrides`).
/// Immutable after construction; safe for concurrent use.
class AddressOverrides {
public:
  AddressOverrides() = default;
  explicit AddressOverrides(const v1::Settings& settings) {
    for (const v1::AddressOverride& entry : settings.address_overrides()) {
      overrides_[entry.address()] = entry.connect_to();
    }
  }

  /// @param overrides addresses to connect to, by advertised address
  explicit AddressOverrides(std::map<std::string, std::string> overrides)
      : overrides_(std::move(overrides)) {}

  /// @return the override for `address`, or `address` itself if there is none. The reference is
  /// valid as long as both this object and `address`.
  const std::string& resolve(const std::string& address) const {
    const auto found = overrides_.find(address);
    return found == overrides_.end() ? address : found->second;
  }

private:
  std::map<std::string, std::string> overrides_;
};

} // namespace workshatch
