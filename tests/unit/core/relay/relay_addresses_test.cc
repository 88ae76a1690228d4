/// @file
/// Where callers are sent.
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/relay_addresses.h"

namespace workshatch::test {

namespace {

void add(v1::RelayList& list, const std::string& address, const std::string& zone) {
  v1::RelayEntry* entry = list.add_relays();
  entry->set_address(address);
  entry->set_zone(zone);
}

} // namespace

TEST_CASE("Callers stay in their zone while two relays there are ready") {
  v1::RelayList list;
  add(list, "a1", "a");
  add(list, "a2", "a");
  add(list, "b1", "b");
  const relay::AddressQuestion of_a{.zone = "a", .own_address = "a1"};
  CHECK(relay::addressesFor(list, of_a) == std::vector<std::string>{"a1", "a2"});
  const relay::AddressQuestion of_b{.zone = "b", .own_address = "a1"};
  CHECK(relay::addressesFor(list, of_b).size() == 3);
}

TEST_CASE("A relay that is out of touch sends callers to the others, unless it knows of none") {
  v1::RelayList list;
  add(list, "a1", "a");
  add(list, "a2", "a");
  add(list, "b1", "b");
  const relay::AddressQuestion question{.zone = "a", .own_address = "a1", .in_touch = false};
  CHECK(relay::addressesFor(list, question) == std::vector<std::string>{"a2", "b1"});
  CHECK(relay::addressesFor(v1::RelayList(), question) == std::vector<std::string>{"a1"});
}

TEST_CASE("Of many relays a bounded number is told, another for each draw") {
  v1::RelayList list;
  for (int i = 0; i < 300; ++i) {
    add(list, "r" + std::to_string(i), "a");
  }
  relay::AddressQuestion question{.zone = "a", .own_address = "r0", .draw = 1};
  const std::vector<std::string> first = relay::addressesFor(list, question);
  CHECK(std::set<std::string>(first.begin(), first.end()).size() == 64);
  question.draw = 2;
  CHECK(relay::addressesFor(list, question) != first);
}

} // namespace workshatch::test
