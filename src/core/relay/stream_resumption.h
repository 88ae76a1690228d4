/// @file
/// Decides at which version a stream may go on that its caller resumes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "core/relay/stream_origin.h"

namespace workshatch::relay {

/// What is known about a stream that its caller resumes.
struct ResumptionEvidence {
  /// Service to which the request goes.
  std::string service;
  /// Record of where the stream began; empty: no relay has one.
  std::optional<StreamOrigin> record;
  /// By this relay's list: several versions serve now; they did while the stream may have begun;
  /// and the version of all runners if there is only one.
  bool mixed_now = false;
  bool mixed_recently = false;
  std::optional<std::string> sole_version;
  /// The leader confirmed this relay's lease so recently that its list cannot be older.
  bool list_is_fresh = false;
  /// Whether other relays answered, and whether versions were mixed by the list of one of them.
  bool others_answered = false;
  bool mixed_by_others = false;
  /// One of those that have no record would have it if it had been made at any time at which the
  /// stream may have begun.
  bool others_complete = false;
};

/// The version at which the stream may go on.
struct ResumptionVersion {
  /// False: nobody knows what began the stream, and it must not go on.
  bool known = false;
  /// Empty: the service has no runners, so that there is nothing to choose from.
  std::optional<std::string> version;
};

/// A stream without a record began while its service had one version only, or its record is lost.
/// It goes on at the only version if nothing speaks for the second.
ResumptionVersion decideResumption(const ResumptionEvidence& evidence);

} // namespace workshatch::relay
