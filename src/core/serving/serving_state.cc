#include "core/serving/serving_state.h"

#include <algorithm>
#include <limits>

namespace workshatch::serving {

ServingState::ServingState() {
  snapshot_.configuration = std::make_shared<const v1::Configuration>();
  snapshot_.view = std::make_shared<const v1::View>();
}

bool ServingState::applyRenewal(const v1::RenewReply& reply, int64_t sent_ms) {
  if (reply.not_leader() || reply.revision() < snapshot_.revision ||
      reply.view_number() < snapshot_.view->number()) {
    return false;
  }
  const bool configuration_complete =
      reply.has_configuration() || reply.revision() == snapshot_.revision;
  const bool view_complete = reply.has_view() || reply.view_number() == snapshot_.view->number();
  if (!configuration_complete || !view_complete) {
    return false;
  }
  if (reply.has_configuration()) {
    snapshot_.configuration = std::make_shared<const v1::Configuration>(reply.configuration());
    snapshot_.revision = reply.revision();
  }
  if (reply.has_view()) {
    snapshot_.view = std::make_shared<const v1::View>(reply.view());
  }
  snapshot_.settled_view = std::max(snapshot_.settled_view, reply.settled_view());
  if (snapshot_.settled_view >= snapshot_.view->number()) {
    snapshot_.settled = snapshot_.view;
  }
  if (reply.lease_ms() != 0) {
    snapshot_.lease_until_ms = std::max(snapshot_.lease_until_ms, sent_ms + reply.lease_ms());
  }
  answered_sent_ms_ = std::max(answered_sent_ms_.value_or(sent_ms), sent_ms);
  return true;
}

uint32_t ServingState::answerAgeMs(int64_t now_ms) const {
  constexpr int64_t kNever = std::numeric_limits<uint32_t>::max();
  const int64_t age_ms = answered_sent_ms_ ? now_ms - *answered_sent_ms_ : kNever;
  return static_cast<uint32_t>(std::clamp<int64_t>(age_ms, 1, kNever));
}

bool ServingState::mayServe(int64_t now_ms) const {
  return snapshot_.revision != 0 && now_ms < snapshot_.lease_until_ms;
}

} // namespace workshatch::serving
