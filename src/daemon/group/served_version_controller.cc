#include "daemon/group/served_version_controller.h"

#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/served_versions.h"
#include "core/relay/stream_lifetime.h"
#include "daemon/configuration_transfer.h"
#include "daemon/group/leader_calls.h"

namespace workshatch::daemon {

namespace {

/// Minimum period of checks that renewals cause, whose cost grows with the number of relays.
constexpr int64_t kCheckPeriodMs = 20;

} // namespace

ServedVersionController::ServedVersionController(GroupReplica& replica, const Clock& clock,
                                                 const ConfigurationCodec& codec,
                                                 ServedVersionOptions options)
    : replica_(replica), clock_(clock), codec_(codec), options_(options),
      admission_(options.lease_ms), acknowledgements_(options.lease_ms) {}

void ServedVersionController::beginTerm() {
  admission_.beginTerm();
  acknowledgements_.clear();
  orders_in_progress_ = false;
}

void ServedVersionController::recordRenewal(const std::string& relay, uint64_t list_version) {
  acknowledgements_.record(relay, list_version);
  const int64_t now_ms = clock_.monotonicMs();
  if (now_ms >= next_check_ms_ &&
      relay::VersionAdmission::awaitsRelays(replica_.servedVersions())) {
    next_check_ms_ = now_ms + kCheckPeriodMs;
    proposeOrders();
  }
}

void ServedVersionController::removeRelay(const std::string& relay) {
  acknowledgements_.remove(relay, clock_.monotonicMs());
}

void ServedVersionController::recordList(const v1::RunnerList& runners) {
  admission_.recordList(runners, replica_.rollouts(), replica_.servedVersions(),
                        clock_.monotonicMs());
  proposeOrders();
}

void ServedVersionController::proposeOrders() {
  if (!options_.enabled || orders_in_progress_ || !replica_.leads()) {
    return;
  }
  const auto orders =
      admission_.dueOrders(replica_.servedVersions(), conditions(), clock_.monotonicMs());
  if (!orders.empty()) {
    propose(orders);
  }
}

relay::AdmissionConditions ServedVersionController::conditions() {
  const v1::ServedVersionList& served = replica_.servedVersions();
  relay::AdmissionConditions conditions;
  if (relay::VersionAdmission::awaitsRelays(served)) {
    // Until then, relays that have not renewed here may hold leases that an earlier leader
    // confirmed.
    const bool earlier_leases_over = replica_.leadingForMs() >= options_.lease_ms;
    conditions.all_relays_know =
        earlier_leases_over && acknowledgements_.allHave(served.version(), clock_.monotonicMs());
  }
  if (relay::VersionAdmission::hasStoppedVersions(served)) {
    conditions.stream_lifetime_ms = streamLifetimeMs();
  }
  return conditions;
}

/// @return the longest lifetime of a stream; empty if the configuration is not readable. It never
/// becomes shorter, since streams may be in progress that began under an earlier configuration.
std::optional<int64_t> ServedVersionController::streamLifetimeMs() {
  const uint64_t version = replica_.stored().version();
  if (version != 0 && version != lifetime_of_configuration_) {
    const auto configuration = decodeConfiguration();
    if (isError(configuration)) {
      line_log::write("configuration_unreadable",
                      {{"version", version}, {"error", errorOf(configuration).message}});
      return std::nullopt;
    }
    const int64_t lifetime_ms =
        relay::longestStreamLifetimeMs(std::get<relay::Configuration>(configuration));
    stream_lifetime_ms_ = std::max(stream_lifetime_ms_, lifetime_ms);
    lifetime_of_configuration_ = version;
  }
  // Without a configuration no stream can have begun.
  return std::max(stream_lifetime_ms_, relay::kResumeWithinMs);
}

Result<relay::Configuration> ServedVersionController::decodeConfiguration() const {
  const auto document = unpackConfiguration(replica_.stored());
  if (isError(document)) {
    return errorOf(document);
  }
  return codec_.decode(std::get<std::string>(document));
}

void ServedVersionController::propose(const std::vector<v1::VersionOrder>& orders) {
  v1::GroupCommand command;
  for (const v1::VersionOrder& order : orders) {
    line_log::write("version_ordered", {{"service", order.service()},
                                        {"version", order.version()},
                                        {"step", relay::nameOf(order.step())}});
    *command.mutable_version_orders()->add_orders() = order;
  }
  orders_in_progress_ = true;
  const uint64_t term = replica_.term();
  replica_.order(
      command, [this, term, alive = std::weak_ptr<char>(alive_)](const CallOutcome<StoreOutcome>&) {
        // Orders that were not stored become due again.
        if (!alive.expired() && term == replica_.term()) {
          orders_in_progress_ = false;
        }
      });
}

} // namespace workshatch::daemon
