#include "core/relay/load_totals.h"

#include "core/relay/runner_loads.h"

namespace workshatch::relay {

namespace {

constexpr uint32_t kMinSuspectingRelays = 2;

} // namespace

void LoadTotals::add(const v1::RunnerLoads& report) {
  if (report.list_version() != list_version_) {
    return;
  }
  const auto counts = countsOf(report, counts_.size());
  if (!counts) {
    return;
  }
  for (size_t i = 0; i < counts_.size(); ++i) {
    counts_[i] += (*counts)[i];
  }
  for (const uint32_t position : report.suspects()) {
    ++suspicions_[position];
  }
}

void LoadTotals::addFromOlderList(const v1::RunnerLoads& report,
                                  const std::vector<std::optional<uint32_t>>& positions) {
  const auto counts = countsOf(report, positions.size());
  if (!counts) {
    return;
  }
  for (size_t i = 0; i < positions.size(); ++i) {
    if (positions[i]) {
      counts_[*positions[i]] += (*counts)[i];
    }
  }
  for (const uint32_t position : report.suspects()) {
    if (position < positions.size() && positions[position]) {
      ++suspicions_[*positions[position]];
    }
  }
}

v1::RunnerLoads LoadTotals::totals() const {
  v1::RunnerLoads totals;
  totals.set_list_version(list_version_);
  setCounts(totals, counts_);
  for (const auto& [position, relays] : suspicions_) {
    if (relays >= kMinSuspectingRelays) {
      totals.add_suspects(position);
    }
  }
  return totals;
}

} // namespace workshatch::relay
