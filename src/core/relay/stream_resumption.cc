#include "core/relay/stream_resumption.h"

namespace workshatch::relay {

ResumptionVersion decideResumption(const ResumptionEvidence& evidence) {
  if (evidence.record) {
    return ResumptionVersion{.known = evidence.record->service == evidence.service,
                             .version = evidence.record->version};
  }
  if (evidence.mixed_now) {
    return ResumptionVersion{};
  }
  const bool list_may_be_old = !evidence.others_answered && !evidence.list_is_fresh;
  const bool record_may_be_lost =
      evidence.mixed_recently || evidence.mixed_by_others || list_may_be_old;
  return ResumptionVersion{.known = !record_may_be_lost || evidence.others_complete,
                           .version = evidence.sole_version};
}

} // namespace workshatch::relay
