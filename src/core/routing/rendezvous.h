/// @file
/// Rendezvous hashing: the order in which a key ranks nodes.
///
/// Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace workshatch::routing {

/// @return the fingerprint of a session or prefix name; never zero, which means "no session".
uint64_t fingerprintOf(std::string_view text);

/// @return the weight of `node` for `key`; the highest weight ranks first.
uint64_t rendezvousWeight(uint64_t key, std::string_view node);

/// Orders `nodes` by the weight of their names for `key`, highest first; each weight is computed
/// once.
/// @param name_of gives a node's name
template <typename Node, typename NameOf>
std::vector<Node> rank(uint64_t key, std::vector<Node> nodes, NameOf name_of) {
  struct Weighted {
    uint64_t weight = 0;
    size_t index = 0;
  };
  std::vector<Weighted> order;
  order.reserve(nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    order.push_back(Weighted{.weight = rendezvousWeight(key, name_of(nodes[i])), .index = i});
  }
  std::sort(order.begin(), order.end(),
            [](const Weighted& left, const Weighted& right) { return left.weight > right.weight; });
  std::vector<Node> ranked;
  ranked.reserve(nodes.size());
  for (const Weighted& entry : order) {
    ranked.push_back(std::move(nodes[entry.index]));
  }
  return ranked;
}

} // namespace workshatch::routing
