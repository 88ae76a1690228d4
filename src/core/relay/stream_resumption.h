/// @file
/// Decides at which version a stream may go on that its caller resumes.
#pragma once

#include <optional>
#include <string>

#include "core/relay/stream_origin.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Why a resumed stream may go on at a version, or that it may not.
enum class ResumptionBasis {
  /// Nobody knows what began the stream: it must not go on.
  Unknown,
  /// By the group's list, all streams of the service that may be resumed began at one version.
  SoleVersion,
  /// A relay has a record of where the stream began.
  Record,
};

/// The version at which a stream may go on.
struct ResumptionVersion {
  ResumptionBasis basis = ResumptionBasis::Unknown;
  /// Meaningless if the basis is unknown.
  std::string version;

  bool known() const { return basis != ResumptionBasis::Unknown; }
};

/// Decides without a record of the stream. The group's list is proof only while the relay's lease
/// holds: until then, no other version can have begun to serve (`VersionAdmission`).
/// @param served the newest list of served versions that the relay has
ResumptionVersion decideByServedVersions(const v1::ServedVersionList& served, bool lease_holds,
                                         const std::string& service);

/// Decides by the record that was found; empty: there is none.
/// @param service the service to which the request goes
ResumptionVersion decideByRecord(const std::optional<StreamOrigin>& record,
                                 const std::string& service);

/// @return the name of the basis in logs.
const char* nameOf(ResumptionBasis basis);

} // namespace workshatch::relay
