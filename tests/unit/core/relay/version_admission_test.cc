/// @file
/// Tests of the list of served versions, of the leader's decisions about it, and of the relays'
/// acknowledgements. The tests are named after the failures that they guard against.
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/group_state.h"
#include "core/relay/relay_acknowledgements.h"
#include "core/relay/served_versions.h"
#include "core/relay/stream_lifetime.h"
#include "core/relay/version_admission.h"

namespace workshatch::test {

namespace {

constexpr int64_t kLeaseMs = 4000;
constexpr int64_t kLifetimeMs = 25'000;
constexpr int64_t kHourMs = 3'600'000;

v1::VersionOrder orderOf(v1::VersionStep step, const std::string& version,
                         const std::string& service = "s") {
  v1::VersionOrder order;
  order.set_step(step);
  order.set_service(service);
  order.set_version(version);
  return order;
}

v1::RunnerList listOf(const std::vector<std::string>& versions) {
  v1::RunnerList list;
  for (const std::string& version : versions) {
    v1::RunnerEntry& entry = *list.add_runners();
    entry.set_service("s");
    entry.set_version(version);
  }
  return list;
}

/// A leader whose orders are stored at once.
class Leader {
public:
  /// Handles a reading of the platform's list. @return the versions that serve, in order.
  std::string read(const std::vector<std::string>& versions, int64_t now_ms) {
    admission_->recordList(listOf(versions), state_.rollouts(), served(), now_ms);
    return check(now_ms);
  }
  /// Stores the orders that are due. @return the versions that serve, in order.
  std::string check(int64_t now_ms) {
    // Each stored order may make another one due.
    for (int i = 0; i < 3; ++i) {
      store(admission_->dueOrders(served(), conditions_, now_ms));
    }
    std::string serving;
    for (const v1::ServiceVersions& service : served().services()) {
      for (const v1::ServedVersion& entry : service.versions()) {
        serving += entry.state() == v1::VERSION_SERVING ? entry.version() + " " : "";
      }
    }
    return serving;
  }
  void store(const std::vector<v1::VersionOrder>& orders) {
    v1::GroupCommand command;
    for (const v1::VersionOrder& order : orders) {
      *command.mutable_version_orders()->add_orders() = order;
    }
    apply(command);
  }
  void beginRollout(const std::string& target) {
    v1::GroupCommand command;
    command.mutable_rollout()->set_service("s");
    command.mutable_rollout()->set_target_version(target);
    apply(command);
  }
  /// Another process leads from now on, with the replicated state only.
  void replace() {
    admission_ = std::make_unique<relay::VersionAdmission>(kLeaseMs);
    relay::GroupState restored;
    REQUIRE(restored.restore(state_.save()));
    state_ = std::move(restored);
  }
  void setAllRelaysKnow(bool know) { conditions_.all_relays_know = know; }
  void setLifetime(std::optional<int64_t> lifetime_ms) {
    conditions_.stream_lifetime_ms = lifetime_ms;
  }

  const v1::ServedVersionList& served() const { return state_.servedVersions(); }
  std::optional<std::string> sole() const { return relay::soleServedVersion(served(), "s"); }
  v1::VersionState stateOf(const std::string& version) const {
    return relay::stateOf(served(), "s", version);
  }
  relay::VersionAdmission& admission() { return *admission_; }

private:
  void apply(const v1::GroupCommand& command) {
    state_.apply(command.SerializeAsString(), ++index_);
  }

  std::unique_ptr<relay::VersionAdmission> admission_ =
      std::make_unique<relay::VersionAdmission>(kLeaseMs);
  relay::GroupState state_;
  uint64_t index_ = 0;
  relay::AdmissionConditions conditions_{.all_relays_know = true,
                                         .stream_lifetime_ms = kLifetimeMs};
};

} // namespace

TEST_CASE("The versions with which a service first appears serve at once") {
  Leader leader;
  leader.setAllRelaysKnow(false);
  CHECK(leader.read({"v1", "v2"}, 0) == "v1 v2 ");
  CHECK_FALSE(leader.sole());
  Leader other;
  CHECK(other.read({"v1", "v1"}, 0) == "v1 ");
  CHECK(other.sole() == "v1");
}

// A relay that has not heard of the new version would resume its streams at the former one.
TEST_CASE("No stream begins at a further version before all relays know of it") {
  Leader leader;
  leader.setAllRelaysKnow(false);
  leader.read({"v1"}, 0);
  CHECK(leader.read({"v1", "v2"}, 1000) == "v1 ");
  CHECK_FALSE(leader.sole());
  CHECK(leader.read({"v1", "v2"}, 1500) == "v1 ");
  leader.setAllRelaysKnow(true);
  CHECK(leader.check(1600) == "v1 v2 ");
}

TEST_CASE("A further version serves after a lease although a relay does not answer") {
  Leader leader;
  leader.setAllRelaysKnow(false);
  leader.read({"v1"}, 0);
  leader.read({"v1", "v2"}, 1000);
  CHECK(leader.check(1000 + kLeaseMs - 1) == "v1 ");
  CHECK(leader.check(1000 + kLeaseMs) == "v1 v2 ");
}

TEST_CASE("A new leader waits for a whole lease before an announced version serves") {
  Leader leader;
  leader.setAllRelaysKnow(false);
  leader.read({"v1"}, 0);
  leader.read({"v1", "v2"}, 1000);
  leader.replace();
  CHECK(leader.read({"v1", "v2"}, 10'000) == "v1 ");
  CHECK(leader.check(10'000 + kLeaseMs - 1) == "v1 ");
  CHECK(leader.check(10'000 + kLeaseMs) == "v1 v2 ");
}

TEST_CASE("The target version of a rollout is announced before its runners are listed") {
  Leader leader;
  leader.read({"v1"}, 0);
  leader.beginRollout("v2");
  CHECK(leader.read({"v1"}, 1000) == "v1 v2 ");
}

TEST_CASE("A former version counts until none of its streams can be resumed") {
  Leader leader;
  leader.read({"v1", "v2"}, 0);
  leader.read({"v2"}, 1000);
  CHECK(leader.read({"v2"}, 1000 + kLeaseMs - 1) == "v1 v2 ");
  CHECK(leader.read({"v2"}, 1000 + kLeaseMs) == "v2 ");
  leader.read({"v2"}, 1000 + kLeaseMs + kLifetimeMs - 1);
  CHECK_FALSE(leader.sole());
  leader.read({"v2"}, 1000 + kLeaseMs + kLifetimeMs);
  CHECK(leader.sole() == "v2");
}

// Until then, a relay may begin streams at the former version.
TEST_CASE("A former version counts from when all relays know that it is stopped") {
  Leader leader;
  leader.read({"v1", "v2"}, 0);
  leader.read({"v2"}, 1000);
  leader.setAllRelaysKnow(false);
  const int64_t stopped_ms = 1000 + kLeaseMs;
  leader.read({"v2"}, stopped_ms);
  leader.read({"v2"}, stopped_ms + kLeaseMs);
  leader.read({"v2"}, stopped_ms + kLeaseMs + kLifetimeMs - 1);
  CHECK_FALSE(leader.sole());
  leader.read({"v2"}, stopped_ms + kLeaseMs + kLifetimeMs);
  CHECK(leader.sole() == "v2");
}

TEST_CASE("The time for which a former version counts begins anew under a new leader") {
  Leader leader;
  leader.read({"v1", "v2"}, 0);
  leader.read({"v2"}, 1000);
  leader.read({"v2"}, 1000 + kLeaseMs);
  for (int64_t started_ms = 20'000; started_ms < 100'000; started_ms += 20'000) {
    leader.replace();
    leader.read({"v2"}, started_ms);
    leader.read({"v2"}, started_ms + kLifetimeMs - 1);
    CHECK_FALSE(leader.sole());
  }
  leader.read({"v2"}, 80'000 + kLifetimeMs);
  CHECK(leader.sole() == "v2");
}

TEST_CASE("A former version that is listed again counts anew") {
  Leader leader;
  leader.read({"v1", "v2"}, 0);
  leader.read({"v2"}, 1000);
  leader.read({"v2"}, 1000 + kLeaseMs);
  CHECK(leader.read({"v1", "v2"}, 20'000) == "v1 v2 ");
  leader.read({"v2"}, 21'000);
  leader.read({"v2"}, 1000 + kLeaseMs + kLifetimeMs);
  CHECK_FALSE(leader.sole());
}

TEST_CASE("A version that is not listed for a moment goes on serving") {
  Leader leader;
  leader.read({"v1", "v2"}, 0);
  CHECK(leader.read({"v2"}, 1000) == "v1 v2 ");
  CHECK(leader.read({"v1", "v2"}, 1000 + kLeaseMs) == "v1 v2 ");
  CHECK(leader.read({}, 20'000) == "v1 v2 ");
  // One of them stays, whatever the list says.
  CHECK(leader.read({}, 20'000 + kLeaseMs) == "v2 ");
  CHECK(leader.read({}, 30'000) == "v2 ");
}

// The list was not read while the versions passed from one to the other.
TEST_CASE("A version that replaces another between two readings does not hide it") {
  Leader leader;
  leader.setAllRelaysKnow(false);
  leader.read({"v1"}, 0);
  CHECK(leader.read({"v2"}, 60'000) == "v1 ");
  CHECK_FALSE(leader.sole());
  CHECK(leader.read({"v2"}, 60'000 + kLeaseMs) == "v2 ");
  CHECK(leader.stateOf("v1") == v1::VERSION_STOPPED);
  leader.setAllRelaysKnow(true);
  leader.read({"v2"}, 65'000);
  leader.read({"v2"}, 64'999 + kLifetimeMs);
  CHECK_FALSE(leader.sole());
  leader.read({"v2"}, 65'000 + kLifetimeMs);
  CHECK(leader.sole() == "v2");
}

TEST_CASE("A version is not retired while the lifetime of streams is not known") {
  Leader leader;
  leader.setLifetime(std::nullopt);
  leader.read({"v1", "v2"}, 0);
  leader.read({"v2"}, 1000);
  leader.read({"v2"}, kHourMs);
  leader.read({"v2"}, 2 * kHourMs);
  CHECK(leader.stateOf("v1") == v1::VERSION_STOPPED);
  CHECK_FALSE(leader.sole());
}

TEST_CASE("The last version of a service without runners is kept for an hour") {
  Leader leader;
  leader.read({"v1"}, 0);
  leader.read({}, 1000);
  CHECK(leader.read({}, kHourMs) == "v1 ");
  CHECK(leader.read({}, kHourMs + 1000).empty());
  CHECK(leader.sole() == "v1");
  leader.read({}, kHourMs + 1000 + kLifetimeMs);
  CHECK(leader.served().services().empty());
}

// The outcome of its retirement was not known, and it has runners again.
TEST_CASE("An order whose outcome is not known applies only to the state for which it was made") {
  Leader leader;
  leader.read({"v1", "v2"}, 0);
  leader.read({"v2"}, 1000);
  leader.read({"v2"}, 1000 + kLeaseMs);
  REQUIRE(leader.stateOf("v1") == v1::VERSION_STOPPED);
  const std::vector<v1::VersionOrder> retirement = {orderOf(v1::VERSION_STEP_RETIRE, "v1")};
  CHECK(leader.read({"v1", "v2"}, 10'000) == "v1 v2 ");
  leader.store(retirement);
  CHECK(leader.stateOf("v1") == v1::VERSION_SERVING);
  CHECK_FALSE(leader.sole());
}

TEST_CASE("Orders that do not apply change nothing, and further versions than the limit wait") {
  v1::ServedVersionList list;
  v1::VersionOrders none;
  for (const v1::VersionStep step : {v1::VERSION_STEP_UNKNOWN, v1::VERSION_STEP_SERVE,
                                     v1::VERSION_STEP_STOP, v1::VERSION_STEP_RETIRE}) {
    *none.add_orders() = orderOf(step, "v1");
  }
  CHECK_FALSE(relay::applyVersionOrders(list, none));
  CHECK(list.services().empty());

  v1::VersionOrders many;
  for (int i = 0; i <= relay::kMaxServedVersions; ++i) {
    *many.add_orders() = orderOf(v1::VERSION_STEP_ANNOUNCE, "v" + std::to_string(i));
  }
  CHECK(relay::applyVersionOrders(list, many));
  CHECK(list.services(0).versions_size() == relay::kMaxServedVersions);
  CHECK_FALSE(relay::applyVersionOrders(list, many));
}

TEST_CASE("Services are kept in order, so that each is found") {
  v1::ServedVersionList list;
  v1::VersionOrders orders;
  for (const char* service : {"m", "z", "a", "k", "b"}) {
    *orders.add_orders() = orderOf(v1::VERSION_STEP_ANNOUNCE, "v1", service);
  }
  REQUIRE(relay::applyVersionOrders(list, orders));
  for (const char* service : {"a", "b", "k", "m", "z"}) {
    CHECK(relay::soleServedVersion(list, service) == "v1");
  }
  CHECK(relay::findServiceVersions(list, "c") == nullptr);
  v1::VersionOrders removal;
  *removal.add_orders() = orderOf(v1::VERSION_STEP_STOP, "v1", "k");
  *removal.add_orders() = orderOf(v1::VERSION_STEP_RETIRE, "v1", "k");
  REQUIRE(relay::applyVersionOrders(list, removal));
  CHECK(relay::findServiceVersions(list, "k") == nullptr);
  CHECK(relay::soleServedVersion(list, "m") == "v1");
}

TEST_CASE("A relay that disappeared counts as one that serves by an older list for a lease") {
  relay::RelayAcknowledgements relays(kLeaseMs);
  CHECK(relays.allHave(5, 0));
  relays.record("relay-1", 5);
  relays.record("relay-2", 4);
  CHECK_FALSE(relays.allHave(5, 100));
  relays.record("relay-2", 5);
  CHECK(relays.allHave(5, 200));
  relays.remove("relay-2", 1000);
  CHECK_FALSE(relays.allHave(5, 1000 + kLeaseMs - 1));
  CHECK(relays.allHave(5, 1000 + kLeaseMs));
  relays.remove("relay-1", 6000);
  CHECK_FALSE(relays.allHave(5, 6100));
  // It has restarted.
  relays.record("relay-1", 6);
  CHECK(relays.allHave(5, 6200));
}

TEST_CASE("The lifetime of streams is that of the longest streaming route") {
  relay::Configuration configuration;
  CHECK(relay::longestStreamLifetimeMs(configuration) == relay::kResumeWithinMs);
  configuration.routes.push_back(
      relay::Route{.kind = relay::RouteKind::Streaming, .timeout_ms = 15'000});
  configuration.routes.push_back(
      relay::Route{.kind = relay::RouteKind::Repeatable, .timeout_ms = 60'000});
  CHECK(relay::longestStreamLifetimeMs(configuration) == 15'000 + relay::kResumeWithinMs);
}

} // namespace workshatch::test
