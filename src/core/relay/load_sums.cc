#include "core/relay/load_sums.h"

namespace workshatch::relay {

namespace {

constexpr uint32_t kRelaysToSuspect = 2;

} // namespace

LoadSums::LoadSums(uint64_t list_version, int runners) {
  sums_.set_list_version(list_version);
  sums_.mutable_in_progress()->Resize(runners, 0);
}

void LoadSums::add(const v1::RunnerLoads& report) {
  const bool fits = report.list_version() == sums_.list_version() &&
                    report.in_progress_size() == sums_.in_progress_size();
  if (!fits) {
    return;
  }
  for (int i = 0; i < report.in_progress_size(); ++i) {
    sums_.set_in_progress(i, sums_.in_progress(i) + report.in_progress(i));
  }
  for (const uint32_t position : report.suspects()) {
    ++suspicions_[position];
  }
}

v1::RunnerLoads LoadSums::sums() const {
  v1::RunnerLoads sums = sums_;
  for (const auto& [position, relays] : suspicions_) {
    if (relays >= kRelaysToSuspect) {
      sums.add_suspects(position);
    }
  }
  return sums;
}

} // namespace workshatch::relay
