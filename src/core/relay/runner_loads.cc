#include "core/relay/runner_loads.h"

#include <algorithm>

namespace workshatch::relay {

void setCounts(v1::RunnerLoads& loads, const std::vector<uint32_t>& counts) {
  loads.clear_positions();
  loads.clear_in_progress();
  const auto busy =
      counts.size() - static_cast<size_t>(std::count(counts.begin(), counts.end(), uint32_t{0}));
  // A runner takes two numbers in the sparse form: its position and its count.
  const bool sparse = 2 * busy < counts.size();
  uint32_t next = 0;
  for (uint32_t position = 0; position < counts.size(); ++position) {
    if (sparse && counts[position] == 0) {
      continue;
    }
    if (sparse) {
      loads.add_positions(position - next);
      next = position + 1;
    }
    loads.add_in_progress(counts[position]);
  }
}

std::optional<std::vector<uint32_t>> countsOf(const v1::RunnerLoads& loads, size_t runners) {
  const auto encoded = static_cast<size_t>(loads.in_progress_size());
  const bool sparse = loads.positions_size() != 0 || encoded == 0;
  if (!sparse) {
    if (encoded != runners) {
      return std::nullopt;
    }
    return std::vector<uint32_t>(loads.in_progress().begin(), loads.in_progress().end());
  }
  if (static_cast<size_t>(loads.positions_size()) != encoded) {
    return std::nullopt;
  }
  std::vector<uint32_t> counts(runners, 0);
  uint64_t next = 0;
  for (int i = 0; i < loads.positions_size(); ++i) {
    const uint64_t position = next + loads.positions(i);
    if (position >= runners) {
      return std::nullopt;
    }
    counts[position] = loads.in_progress(i);
    next = position + 1;
  }
  return counts;
}

} // namespace workshatch::relay
