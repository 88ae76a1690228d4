/// @file
/// The software versions of each service at which streams may have begun that callers may still
/// resume.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Upper limit of the services in the list. No resumable streams begin at runners of further ones.
inline constexpr int kMaxServedServices = 4096;
/// Upper limit of the versions of one service. No resumable streams begin at further ones until
/// another version of the service is retired.
inline constexpr int kMaxServedVersions = 32;

/// Applies orders in their sequence. The versions with which a service first appears serve at once,
/// since no stream began at another one; each further version has to be announced before it serves.
/// @return whether the list has changed; orders that do not apply to the state of their version
/// change nothing.
bool applyVersionOrders(v1::ServedVersionList& list, const v1::VersionOrders& orders);

/// @return the versions of the service; null: no version of it was ever announced.
const v1::ServiceVersions* findServiceVersions(const v1::ServedVersionList& list,
                                               const std::string& service);

/// @return the state of the version; unknown: it is not in the list.
v1::VersionState stateOf(const v1::ServedVersionList& list, const std::string& service,
                         const std::string& version);

/// @return whether resumable streams may begin at runners of the version.
inline bool isServing(const v1::ServedVersionList& list, const std::string& service,
                      const std::string& version) {
  return stateOf(list, service, version) == v1::VERSION_SERVING;
}

/// @return the version at which all streams of the service began that may still be resumed; empty:
/// there may be several, or none is known.
std::optional<std::string> soleServedVersion(const v1::ServedVersionList& list,
                                             const std::string& service);

/// @return the number of the service's versions in this state.
uint64_t countVersions(const v1::ServiceVersions& service, v1::VersionState state);

/// @return one line for each service, for logs: its name, and its versions with their states.
std::vector<std::string> describeServedVersions(const v1::ServedVersionList& list);

/// @return the name of the step in logs.
const char* nameOf(v1::VersionStep step);

} // namespace workshatch::relay
