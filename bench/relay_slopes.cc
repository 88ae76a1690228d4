/// @file
/// Measures the cost of setting and updating a relay's list of runners and of choosing a runner, by
/// the number of runners.
#include <cstdint>
#include <string>
#include <vector>

#include "core/relay/runner_list_history.h"
#include "core/relay/runner_table.h"
#include "slopes.h"

namespace workshatch::bench {

namespace {

constexpr double kTargetRunners = 10'000;
constexpr size_t kChangedRunners = 20;

v1::RunnerList makeRunnerList(size_t count, uint64_t version) {
  v1::RunnerList list;
  list.set_version(version);
  for (size_t i = 0; i < count; ++i) {
    v1::RunnerEntry& entry = *list.add_runners();
    // All ids have the same length, so that the list is sorted by id.
    entry.set_id("i-" + std::to_string(10'000'000 + i));
    entry.set_service("model");
    entry.set_address("10." + std::to_string(i % 5) + ".7.1:" + std::to_string(1024 + i));
    entry.set_zone("zone-" + std::to_string(i % 5));
    entry.set_slots(32);
  }
  return list;
}

/// @return an update that repeats `kChangedRunners` entries, evenly spread over `list`.
v1::RunnerListUpdate makeUpdate(const v1::RunnerList& list) {
  v1::RunnerListUpdate update;
  update.set_version(list.version());
  update.set_base_version(list.version());
  const size_t stride = static_cast<size_t>(list.runners_size()) / kChangedRunners;
  for (size_t i = 0; i < kChangedRunners; ++i) {
    *update.add_changed() = list.runners(static_cast<int>(i * stride));
  }
  return update;
}

} // namespace

void printRelaySlopes() {
  std::vector<Point> full_lists;
  std::vector<Point> updates;
  std::vector<Point> choices;
  for (const uint32_t count : {100U, 1000U, 10'000U}) {
    const v1::RunnerList list = makeRunnerList(count, 1);
    relay::RunnerTable table(relay::RunnerTableOptions{});
    full_lists.push_back({double(count), medianMicros(3, [&] { table.setList(list, 0); })});
    const v1::RunnerListUpdate update = makeUpdate(list);
    updates.push_back(
        {double(count), medianMicros(3, [&] { (void)table.applyUpdate(update, 0); })});
    relay::RunnerRequest request{
        .service = "model", .now_ms = 10, .engine = true, .uses_slot_owners = true};
    choices.push_back({double(count), medianMicros(20, [&] {
                         ++request.cache_key;
                         (void)table.choose(request);
                       })});
  }
  printSlope("whole list of runners at a relay, by runners", "us", full_lists, kTargetRunners);
  printSlope("update of 20 entries at a relay, by runners", "us", updates, kTargetRunners);
  printSlope("choice of a runner for a prompt, by runners", "us", choices, kTargetRunners);
}

} // namespace workshatch::bench
