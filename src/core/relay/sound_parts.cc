#include "core/relay/sound_parts.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

/// Minimum time between the answers for which a part that stays suspected is reported.
constexpr int64_t kReportPeriodMs = 300;

} // namespace

bool SoundParts::record(const std::vector<uint64_t>& parts, int64_t began_ms) {
  for (const uint64_t part : parts) {
    if (began_ms_.size() >= kMaxParts && !began_ms_.contains(part)) {
      dropOldest();
    }
    int64_t& last_ms = began_ms_[part];
    last_ms = std::max(last_ms, began_ms);
  }
  return hasUnreported();
}

bool SoundParts::setSuspects(const v1::SuspectedParts& suspects, int64_t now_ms) {
  std::map<uint64_t, Suspect> present;
  for (const v1::SuspectedPart& entry : suspects.parts()) {
    const auto known = suspects_.find(entry.part());
    present[entry.part()] =
        Suspect{.first_crash_ms = now_ms - static_cast<int64_t>(entry.age_ms()),
                .reported_ms = known == suspects_.end() ? 0 : known->second.reported_ms};
  }
  suspects_ = std::move(present);
  return hasUnreported();
}

void SoundParts::fill(v1::LeaseRenewal& renewal, bool first_on_link, int64_t now_ms) {
  for (auto& [part, suspect] : suspects_) {
    if (!isUnreported(part, suspect) && !(first_on_link && isSound(part, suspect))) {
      continue;
    }
    suspect.reported_ms = began_ms_.at(part);
    v1::SoundPart* sound = renewal.add_sound_parts();
    sound->set_part(part);
    sound->set_age_ms(static_cast<uint32_t>(std::max<int64_t>(now_ms - began_ms_.at(part), 0)));
  }
}

bool SoundParts::isSound(uint64_t part, const Suspect& suspect) const {
  const auto found = began_ms_.find(part);
  return found != began_ms_.end() && found->second > suspect.first_crash_ms;
}

bool SoundParts::isUnreported(uint64_t part, const Suspect& suspect) const {
  return isSound(part, suspect) && began_ms_.at(part) > suspect.reported_ms + kReportPeriodMs;
}

bool SoundParts::hasUnreported() const {
  return std::any_of(suspects_.begin(), suspects_.end(),
                     [&](const auto& entry) { return isUnreported(entry.first, entry.second); });
}

void SoundParts::dropOldest() {
  const auto oldest =
      std::min_element(began_ms_.begin(), began_ms_.end(), [](const auto& left, const auto& right) {
        return left.second < right.second;
      });
  began_ms_.erase(oldest);
}

} // namespace workshatch::relay
