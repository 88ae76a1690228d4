/// @file
/// The relay addresses that callers receive, how long they may cache them, and the count of silent
/// relays.
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/relay_addresses.h"
#include "core/relay/silent_relays.h"

namespace workshatch::test {

namespace {

void add(v1::RelayList& list, const std::string& address, const std::string& zone) {
  v1::RelayEntry* entry = list.add_relays();
  entry->set_address(address);
  entry->set_zone(zone);
}

const relay::ZoneRegions kZones({{"a", "east"}, {"b", "west"}, {"c", "west"}});

} // namespace

TEST_CASE("Callers stay in their zone while two relays there are ready") {
  v1::RelayList list;
  add(list, "a1", "a");
  add(list, "a2", "a");
  add(list, "b1", "b");
  const relay::AddressQuery of_a{.zone = "a", .own_address = "a1"};
  CHECK(relay::selectAddresses(list, kZones, of_a) == std::vector<std::string>{"a1", "a2"});
  const relay::AddressQuery of_b{.zone = "b", .own_address = "a1"};
  CHECK(relay::selectAddresses(list, kZones, of_b).size() == 3);
}

TEST_CASE("Callers of a zone with too few relays stay in their region where it has enough") {
  v1::RelayList list;
  add(list, "a1", "a");
  add(list, "a2", "a");
  add(list, "b1", "b");
  add(list, "c1", "c");
  const relay::AddressQuery of_b{.zone = "b", .own_address = "a1"};
  CHECK(relay::selectAddresses(list, kZones, of_b) == std::vector<std::string>{"b1", "c1"});
  // The settings do not contain this zone, so the region that the caller names counts.
  const relay::AddressQuery elsewhere{.zone = "d", .region = "west", .own_address = "a1"};
  CHECK(relay::selectAddresses(list, kZones, elsewhere) == std::vector<std::string>{"b1", "c1"});
  const relay::AddressQuery nowhere{.zone = "d", .own_address = "a1"};
  CHECK(relay::selectAddresses(list, kZones, nowhere).size() == 4);
}

TEST_CASE("A relay without a recent confirmation sends callers to the others, if there are any") {
  v1::RelayList list;
  add(list, "a1", "a");
  add(list, "a2", "a");
  add(list, "b1", "b");
  const relay::AddressQuery query{.zone = "a", .own_address = "a1", .confirmed_recently = false};
  CHECK(relay::selectAddresses(list, kZones, query) == std::vector<std::string>{"a2", "b1"});
  CHECK(relay::selectAddresses(v1::RelayList(), kZones, query) == std::vector<std::string>{"a1"});
}

TEST_CASE("Of many relays a limited number is returned, and the draw selects which") {
  v1::RelayList list;
  for (int i = 0; i < 300; ++i) {
    add(list, "r" + std::to_string(i), "a");
  }
  relay::AddressQuery query{.zone = "a", .own_address = "r0", .draw = 1};
  const std::vector<std::string> first = relay::selectAddresses(list, kZones, query);
  CHECK(std::set<std::string>(first.begin(), first.end()).size() == 64);
  query.draw = 2;
  CHECK(relay::selectAddresses(list, kZones, query) != first);
}

TEST_CASE("Callers may cache addresses for longer while relays are silent") {
  const relay::AddressLifetimes lifetimes{.ordinary_s = 1, .degraded_s = 5};
  v1::RelayList list;
  add(list, "a1", "a");
  CHECK(relay::addressesLifetimeS(list, lifetimes) == 1);
  list.set_silent(1);
  CHECK(relay::addressesLifetimeS(list, lifetimes) == 5);
}

TEST_CASE("A silent relay is counted until it renews, for half a minute at most") {
  relay::SilentRelays silent;
  silent.recordSilent("a", 1'000);
  silent.recordSilent("b", 2'000);
  CHECK(silent.count(2'000) == 2);
  silent.recordRenewal("a");
  CHECK(silent.count(3'000) == 1);
  CHECK(silent.count(32'000) == 1);
  CHECK(silent.count(32'001) == 0);
  silent.recordSilent("a", 40'000);
  silent.clear();
  CHECK(silent.count(40'000) == 0);
}

TEST_CASE("Callers are sent to relays that have no path to the services of their host") {
  constexpr uint64_t kService = 7;
  constexpr uint64_t kOther = 8;
  v1::RelayList list;
  for (const char* address : {"a1", "a2", "a3", "b1", "b2"}) {
    add(list, address, std::string(1, address[0]));
  }
  list.mutable_relays(0)->add_lost_services(kService);
  const auto selected = [&](uint64_t service) {
    return relay::selectAddresses(
        list, kZones, relay::AddressQuery{.zone = "a", .own_address = "a1", .services = {service}});
  };
  CHECK(selected(kService) == std::vector<std::string>{"a2", "a3"});
  CHECK(selected(kOther) == std::vector<std::string>{"a1", "a2", "a3"});
  // Too few relays of the zone remain, and then none at all.
  list.mutable_relays(1)->add_lost_services(kService);
  CHECK(selected(kService) == std::vector<std::string>{"a3", "b1", "b2"});
  for (v1::RelayEntry& relay : *list.mutable_relays()) {
    relay.add_lost_services(kService);
  }
  CHECK(selected(kService) == std::vector<std::string>{"a1", "a2", "a3"});
}

} // namespace workshatch::test
