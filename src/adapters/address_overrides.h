/// @file
/// Addresses to connect to in place of those that others give out.
#pragma once

#include <map>
#include <string>

#include "workshatch/v1/settings.pb.h"

namespace workshatch {

/// Immutable after construction; safe for concurrent use.
class AddressOverrides {
public:
  AddressOverrides() = default;
  explicit AddressOverrides(const v1::Settings& settings) {
    for (const v1::AddressOverride& entry : settings.address_overrides()) {
      overrides_[entry.address()] = entry.connect_to();
    }
  }

  const std::string& resolve(const std::string& address) const {
    const auto found = overrides_.find(address);
    return found == overrides_.end() ? address : found->second;
  }

private:
  std::map<std::string, std::string> overrides_;
};

} // namespace workshatch
