/// @file
/// Random orders of losses and replacements of control machines, within the losses that the group
/// must bear. A seed reproduces an order.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "ports/seeded_random.h"
#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

namespace {

/// Time after the last return within which a change must be acknowledged.
constexpr int64_t kRecoveryMs = 4000;
constexpr uint64_t kSteps = 6;

/// What happens to a machine.
enum class Loss {
  /// The process is killed and started again with its disk.
  Crash,
  /// The machine returns with an empty disk.
  LostDisk,
  /// The process is stopped as planned and started again.
  PlannedStop,
  /// A machine at a new address is started; once it has caught up, the old one is stopped for good.
  PlannedReplacement,
  /// The machine is gone for good; another one is started at a new address.
  Replacement,
};
constexpr uint64_t kLosses = 5;

/// A group on a number of control machines, which bears the loss of `losses` of them at a time.
class LossyGroup {
public:
  LossyGroup(uint64_t seed, size_t losses, size_t machines)
      : random_(seed), losses_(losses), group_(2 * losses + 1, 200, seed) {
    std::set<std::string> seeds;
    for (size_t i = 0; i < machines; ++i) {
      machines_.push_back(newAddress());
      if (i < 2 * losses + 1) {
        seeds.insert(machines_.back());
      }
    }
    group_.setSeeds(std::move(seeds));
    for (const std::string& machine : machines_) {
      group_.start(machine, ++last_id_, group_.seeds().contains(machine));
    }
    REQUIRE(group_.store(++version_));
  }

  /// Strikes up to as many machines at once as the group must bear, in a state in which all others
  /// have caught up. Checks that the group serves meanwhile and after the return.
  void step() {
    awaitCaughtUp();
    const size_t count = 1 + random_.below(losses_);
    std::vector<std::string> struck = machines_;
    while (struck.size() > count) {
      struck.erase(struck.begin() + static_cast<ptrdiff_t>(random_.below(struck.size())));
    }
    std::vector<Loss> losses;
    for (const std::string& machine : struck) {
      losses.push_back(static_cast<Loss>(random_.below(kLosses)));
      strike(machine, losses.back());
    }
    REQUIRE(group_.store(++version_));
    for (size_t i = 0; i < struck.size(); ++i) {
      bringBack(struck[i], losses[i]);
    }
    const int64_t returned_ms = group_.clock().monotonicMs();
    REQUIRE(group_.store(++version_));
    CHECK(group_.clock().monotonicMs() - returned_ms <= kRecoveryMs);
    CHECK(group_.read() == "v" + std::to_string(version_));
  }

private:
  std::string newAddress() { return "m" + std::to_string(++last_address_); }

  /// Waits until all machines have all changes, and the group has as many voters as it wants, none
  /// of which is the former identity of a lost disk.
  void awaitCaughtUp() {
    REQUIRE(group_.runUntil([&] {
      const auto voters =
          std::count_if(machines_.begin(), machines_.end(),
                        [&](const std::string& machine) { return group_.at(machine).votes(); });
      GroupReplica* leader = group_.leader();
      return leader != nullptr && leader->voterCount() == group_.voters() &&
             static_cast<size_t>(voters) == group_.voters() &&
             std::all_of(machines_.begin(), machines_.end(),
                         [&](const std::string& machine) { return hasCaughtUp(machine); });
    }));
  }

  bool hasCaughtUp(const std::string& machine) {
    return group_.members().contains(machine) && group_.at(machine).stored().version() == version_;
  }

  /// Starts a machine at a new address, and makes it a seed if the old one is.
  /// @return its address
  std::string replace(const std::string& old) {
    const std::string address = newAddress();
    std::replace(machines_.begin(), machines_.end(), old, address);
    std::set<std::string> seeds = group_.seeds();
    if (seeds.erase(old) != 0) {
      seeds.insert(address);
    }
    group_.setSeeds(std::move(seeds));
    group_.start(address, ++last_id_, false);
    return address;
  }

  void replaceAsPlanned(const std::string& old) {
    const std::string successor = replace(old);
    REQUIRE(group_.runUntil([&] { return hasCaughtUp(successor); }));
    group_.stopAsPlanned(old);
    group_.kill(old);
  }

  void strike(const std::string& machine, Loss loss) {
    switch (loss) {
    case Loss::PlannedStop:
      group_.stopAsPlanned(machine);
      group_.kill(machine);
      break;
    case Loss::PlannedReplacement:
      replaceAsPlanned(machine);
      break;
    case Loss::LostDisk:
      group_.kill(machine);
      group_.wipe(machine);
      break;
    case Loss::Crash:
    case Loss::Replacement:
      group_.kill(machine);
      break;
    }
  }

  void bringBack(const std::string& machine, Loss loss) {
    switch (loss) {
    case Loss::Crash:
    case Loss::PlannedStop:
    case Loss::LostDisk:
      group_.start(machine, ++last_id_, false);
      break;
    case Loss::Replacement:
      replace(machine);
      break;
    case Loss::PlannedReplacement:
      break;
    }
  }

  SeededRandom random_;
  const size_t losses_;
  Group group_;
  std::vector<std::string> machines_;
  uint64_t last_address_ = 0;
  uint64_t last_id_ = 1000;
  uint64_t version_ = 0;
};

void playOrders(uint64_t seeds, size_t losses, size_t machines) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    LossyGroup group(seed, losses, machines);
    for (uint64_t i = 0; i < kSteps; ++i) {
      CAPTURE(i);
      group.step();
    }
  }
}

} // namespace

TEST_CASE("Losses and replacements of one machine at a time leave a group of three") {
  playOrders(2, 1, 6);
}

TEST_CASE("Losses and replacements of two machines at a time leave a group of five") {
  playOrders(2, 2, 8);
}

} // namespace workshatch::test
