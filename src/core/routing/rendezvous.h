/// @file
/// Rendezvous hashing: the order in which a key ranks nodes.
///
/// Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace workshatch::routing {

/// @return the hash of a session or prefix name; never zero, which means "no session".
uint64_t fingerprintOf(std::string_view text);

/// @return the weight of `node` for `key`; the highest weight ranks first.
uint64_t rendezvousWeight(uint64_t key, std::string_view node);

/// Moves the nodes with the highest weights for `key` to the front, highest first; the order of the
/// others is unspecified. Each weight is computed once. To sort thousands of nodes of which only a
/// few are used would cost several times as much as selecting these.
/// @param first number of nodes to order
/// @param name_of returns a node's name
template <typename Node, typename NameOf>
std::vector<Node> rankTop(uint64_t key, std::vector<Node> nodes, size_t first, NameOf name_of) {
  struct Weighted {
    uint64_t weight = 0;
    size_t index = 0;
  };
  std::vector<Weighted> order;
  order.reserve(nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    order.push_back(Weighted{.weight = rendezvousWeight(key, name_of(nodes[i])), .index = i});
  }
  const auto heavier = [](const Weighted& left, const Weighted& right) {
    return left.weight > right.weight;
  };
  const auto last = order.begin() + static_cast<ptrdiff_t>(std::min(first, order.size()));
  if (last != order.end()) {
    std::nth_element(order.begin(), last, order.end(), heavier);
  }
  std::sort(order.begin(), last, heavier);
  std::vector<Node> ranked;
  ranked.reserve(nodes.size());
  for (const Weighted& entry : order) {
    ranked.push_back(std::move(nodes[entry.index]));
  }
  return ranked;
}

/// Orders all `nodes` by the weight of their names for `key`, highest first.
/// @param name_of returns a node's name
template <typename Node, typename NameOf>
std::vector<Node> rank(uint64_t key, std::vector<Node> nodes, NameOf name_of) {
  const size_t all = nodes.size();
  return rankTop(key, std::move(nodes), all, name_of);
}

} // namespace workshatch::routing
