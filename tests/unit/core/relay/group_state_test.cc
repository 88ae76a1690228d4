/// @file
/// The replicated state of the group: configuration, evacuations, quarantine, rollouts, and their
/// snapshots.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/group_state.h"

namespace workshatch::test {

namespace {

using Change = relay::GroupState::Change;

std::string orderFor(const std::string& zone, bool begin) {
  v1::GroupCommand command;
  command.mutable_evacuation()->set_zone(zone);
  command.mutable_evacuation()->set_begin(begin);
  command.mutable_evacuation()->set_ordered_ms(77);
  return command.SerializeAsString();
}

std::string quarantineOrder(uint64_t content, bool begin) {
  v1::GroupCommand command;
  v1::QuarantineOrder& order = *command.mutable_quarantine();
  order.mutable_request()->mutable_request()->set_caller(1);
  order.mutable_request()->mutable_request()->set_content(content);
  order.mutable_request()->set_since_ms(50);
  order.set_begin(begin);
  return command.SerializeAsString();
}

std::string rolloutOrder(const std::string& service, const std::string& version) {
  v1::GroupCommand command;
  command.mutable_rollout()->set_service(service);
  command.mutable_rollout()->set_target_version(version);
  command.mutable_rollout()->set_duration_ms(1000);
  return command.SerializeAsString();
}

std::string verdict(const std::string& service, uint64_t id, v1::RolloutPhase phase) {
  v1::GroupCommand command;
  command.mutable_rollout_verdict()->set_service(service);
  command.mutable_rollout_verdict()->set_id(id);
  command.mutable_rollout_verdict()->set_phase(phase);
  return command.SerializeAsString();
}

} // namespace

TEST_CASE("A service has one rollout at a time, and its phases follow the defined order") {
  relay::GroupState state;
  CHECK(state.apply(rolloutOrder("s", "v2"), 3) == Change::Rollouts);
  CHECK(state.apply(rolloutOrder("s", "v3"), 4) == Change::None);
  CHECK(state.apply(rolloutOrder("a", "v9"), 5) == Change::Rollouts);
  REQUIRE(state.rollouts().rollouts_size() == 2);
  CHECK(state.rollouts().rollouts(0).service() == "a");
  CHECK(relay::findRollout(state.rollouts(), "s")->target_version() == "v2");
  CHECK(relay::findRollout(state.rollouts(), "s")->phase() == v1::ROLLOUT_CANARY);
  CHECK(relay::findRollout(state.rollouts(), "nowhere") == nullptr);
  // A rollout can't succeed before it was promoted; a verdict on another rollout changes nothing.
  CHECK(state.apply(verdict("s", 3, v1::ROLLOUT_SUCCEEDED), 6) == Change::None);
  CHECK(state.apply(verdict("s", 2, v1::ROLLOUT_PROMOTING), 7) == Change::None);
  CHECK(state.apply(verdict("s", 3, v1::ROLLOUT_PROMOTING), 8) == Change::Rollouts);
  CHECK(state.apply(verdict("s", 3, v1::ROLLOUT_SUCCEEDED), 9) == Change::Rollouts);
  CHECK(state.apply(verdict("s", 3, v1::ROLLOUT_ROLLED_BACK), 10) == Change::None);
  CHECK(state.rollouts().version() == 9);
  relay::GroupState restored;
  CHECK(restored.restore(state.save()));
  CHECK(relay::findRollout(restored.rollouts(), "s")->phase() == v1::ROLLOUT_SUCCEEDED);
  CHECK(restored.apply(rolloutOrder("s", "v3"), 11) == Change::Rollouts);
  CHECK(relay::findRollout(restored.rollouts(), "s")->id() == 11);
}

TEST_CASE(
    "A request is quarantined from the order that begins the quarantine to the one that ends it") {
  relay::GroupState state;
  CHECK(state.apply(quarantineOrder(7, true), 3) == Change::Quarantine);
  CHECK(state.apply(quarantineOrder(7, true), 4) == Change::None);
  CHECK(state.apply(quarantineOrder(8, true), 5) == Change::Quarantine);
  CHECK(state.quarantine().version() == 5);
  relay::GroupState restored;
  CHECK(restored.restore(state.save()));
  CHECK(restored.quarantine().requests_size() == 2);
  CHECK(restored.apply(quarantineOrder(7, false), 6) == Change::Quarantine);
  REQUIRE(restored.quarantine().requests_size() == 1);
  CHECK(restored.quarantine().requests(0).request().content() == 8);
}

TEST_CASE("A full quarantine drops its oldest request") {
  relay::GroupState state;
  const size_t max_quarantined = relay::GroupState::kMaxQuarantined;
  for (uint64_t content = 0; content <= max_quarantined; ++content) {
    CHECK(state.apply(quarantineOrder(content, true), content + 1) == Change::Quarantine);
  }
  CHECK(static_cast<size_t>(state.quarantine().requests_size()) == max_quarantined);
  CHECK(state.quarantine().requests(0).request().content() == 1);
}

TEST_CASE("A zone is evacuated from the order that begins it to the one that ends it") {
  relay::GroupState state;
  CHECK(state.apply(orderFor("south", true), 3) == Change::Evacuations);
  CHECK(state.apply(orderFor("north", true), 4) == Change::Evacuations);
  CHECK(relay::evacuatedZoneNames(state.evacuations()) ==
        std::vector<std::string>{"north", "south"});
  CHECK(state.evacuations().zones(0).since_ms() == 77);
  CHECK(state.apply(orderFor("south", false), 5) == Change::Evacuations);
  CHECK(relay::evacuatedZoneNames(state.evacuations()) == std::vector<std::string>{"north"});
  CHECK(state.evacuations().version() == 5);
}

TEST_CASE("An order that is already in force changes neither the state nor its version") {
  relay::GroupState state;
  CHECK(state.apply(orderFor("north", false), 2) == Change::None);
  CHECK(state.apply(orderFor("north", true), 3) == Change::Evacuations);
  CHECK(state.apply(orderFor("north", true), 4) == Change::None);
  CHECK(state.evacuations().version() == 3);
}

TEST_CASE("A snapshot holds the configuration and the evacuations") {
  relay::GroupState state;
  v1::GroupCommand store;
  store.mutable_store()->set_version(9);
  CHECK(state.apply(store.SerializeAsString(), 2) == Change::Configuration);
  CHECK(state.apply(orderFor("north", true), 3) == Change::Evacuations);
  relay::GroupState restored;
  CHECK(restored.restore(state.save()));
  CHECK(restored.configuration().version() == 9);
  CHECK(restored.evacuations().version() == 3);
  CHECK(relay::evacuatedZoneNames(restored.evacuations()) == std::vector<std::string>{"north"});
}

TEST_CASE("A snapshot of a program version without evacuations is restored") {
  v1::StoredConfiguration stored;
  stored.set_version(12);
  stored.set_compressed_document("twelve");
  relay::GroupState restored;
  CHECK(restored.restore(stored.SerializeAsString()));
  CHECK(restored.configuration().version() == 12);
  CHECK(restored.configuration().compressed_document() == "twelve");
  CHECK(restored.evacuations().zones().empty());
  CHECK(restored.restore(""));
  CHECK(restored.configuration().version() == 0);
  CHECK_FALSE(restored.restore("no snapshot"));
}

} // namespace workshatch::test
