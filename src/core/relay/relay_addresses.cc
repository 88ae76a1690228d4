#include "core/relay/relay_addresses.h"

#include <algorithm>
#include <random>

namespace workshatch::relay {

namespace {

/// Callers of a zone stay in it while so many relays there are ready.
constexpr size_t kRelaysOfZone = 2;
/// Callers take no more of an answer.
constexpr size_t kMostAddresses = 64;

} // namespace

std::vector<std::string> addressesFor(const v1::RelayList& relays,
                                      const AddressQuestion& question) {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const v1::RelayEntry& relay : relays.relays()) {
    if (relay.address() == question.own_address && !question.in_touch) {
      continue;
    }
    all.push_back(relay.address());
    if (relay.zone() == question.zone) {
      near.push_back(relay.address());
    }
  }
  std::vector<std::string> chosen = near.size() >= kRelaysOfZone ? near : all;
  if (chosen.empty()) {
    chosen.push_back(question.own_address);
  }
  if (chosen.size() > kMostAddresses) {
    std::shuffle(chosen.begin(), chosen.end(), std::minstd_rand(question.draw));
    chosen.resize(kMostAddresses);
  }
  return chosen;
}

} // namespace workshatch::relay
