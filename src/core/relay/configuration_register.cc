#include "core/relay/configuration_register.h"

#include <utility>

namespace workshatch::relay {

bool ConfigurationRegister::apply(const std::string& command) {
  v1::GroupCommand parsed;
  if (!parsed.ParseFromString(command) || !parsed.has_store()) {
    return false;
  }
  if (parsed.store().version() <= stored_.version()) {
    return false;
  }
  stored_ = std::move(*parsed.mutable_store());
  return true;
}

} // namespace workshatch::relay
