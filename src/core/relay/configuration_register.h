/// @file
/// The replicated state machine of the group: the configuration with the highest version.
#pragma once

#include <cstdint>
#include <string>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Holds the stored configuration with the highest version among the committed commands.
///
/// Guarantees: the version only grows, and the content under a version never changes.
/// Deterministic; not safe for concurrent use.
class ConfigurationRegister {
public:
  /// @return whether the command changed the register; false also for bytes that are no command.
  bool apply(const std::string& command);

  const v1::StoredConfiguration& stored() const { return stored_; }
  uint64_t version() const { return stored_.version(); }

  std::string save() const { return stored_.SerializeAsString(); }
  /// @return false when the bytes are not a snapshot.
  bool restore(const std::string& bytes) { return stored_.ParseFromString(bytes); }

private:
  v1::StoredConfiguration stored_;
};

} // namespace workshatch::relay
