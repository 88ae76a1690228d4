#include "core/relay/stream_resumption.h"

#include "core/relay/served_versions.h"

namespace workshatch::relay {

ResumptionVersion decideByServedVersions(const v1::ServedVersionList& served, bool lease_holds,
                                         const std::string& service) {
  const auto version = lease_holds ? soleServedVersion(served, service) : std::nullopt;
  return version ? ResumptionVersion{.basis = ResumptionBasis::SoleVersion, .version = *version}
                 : ResumptionVersion{};
}

ResumptionVersion decideByRecord(const std::optional<StreamOrigin>& record,
                                 const std::string& service) {
  return record && record->service == service
             ? ResumptionVersion{.basis = ResumptionBasis::Record, .version = record->version}
             : ResumptionVersion{};
}

const char* nameOf(ResumptionBasis basis) {
  switch (basis) {
  case ResumptionBasis::SoleVersion:
    return "sole_version";
  case ResumptionBasis::Record:
    return "record";
  case ResumptionBasis::Unknown:
    break;
  }
  return "unknown";
}

} // namespace workshatch::relay
