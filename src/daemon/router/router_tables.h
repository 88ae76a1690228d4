/// @file
/// Tables that the worker threads of a router share, each guarded by its own mutex.
///
/// Lock order: refresh_mutex_, serving_mutex_, fleet_mutex_, permit_table_mutex_,
/// held_permits_mutex_. A thread that has locked one of them may lock only later ones.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "core/admission/permit_table.h"
#include "core/routing/fleet_table.h"
#include "core/routing/ownership_cache.h"
#include "core/serving/serving_state.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// A permit that this router has requested or holds for a request in progress.
struct PermitRecord {
  v1::HeldPermit held_permit;
  /// Zone of the engine; the owner of the engine depends on it.
  std::string zone;
  /// Whether the owner has granted the permit.
  bool granted = false;
};

/// Serving state, fleet, permit table and held permits of a router. Safe for concurrent use.
class RouterTables {
public:
  RouterTables(std::string name, const Clock& clock, routing::HoldDownOptions hold_down);

  serving::ServingSnapshot snapshot() const;
  bool mayServe() const;

  /// Applies the reply to a lease renewal to all tables.
  /// @param sent_ms when the renewal was sent
  /// @return false if the reply does not fit the state in force and was ignored.
  bool applyRenewal(const v1::RenewReply& reply, int64_t sent_ms);
  /// @return age of the last answer to a lease renewal (`ServingState::answerAgeMs`).
  uint32_t renewalAnswerAgeMs() const;
  uint64_t reportedView() const;
  void setReportedView(uint64_t view);

  void setListed(std::vector<routing::ListedRunner> listed);
  void recordRunnerFailure(const std::string& runner);
  void recordRunnerSuccess(const std::string& runner);
  /// Records the backoff that the runner's response asks for, if any. The runner gets no requests
  /// during that time.
  void recordBackoffRequest(const std::string& runner, const http::ClientResponse& response);
  void setRunnerLeaving(const std::string& runner, bool leaving);
  std::vector<routing::EngineInfo> engines(const std::string& service) const;
  std::optional<routing::EngineInfo> findEngine(const std::string& engine) const;

  /// Engines that this router owned when ownership was last recomputed.
  std::vector<routing::EngineInfo> ownedEngines() const;

  /// Calls `use` on the permit table while its mutex is locked.
  template <typename Use> auto withPermitTable(Use use) {
    const std::lock_guard lock(permit_table_mutex_);
    return use(permit_table_);
  }

  void addHeldPermit(const PermitRecord& permit);
  void markGranted(const v1::PermitId& permit);
  /// @return the removed permit, or none if it was not held.
  std::optional<PermitRecord> removeHeldPermit(const v1::PermitId& permit);
  bool holdsPermit(const v1::PermitId& permit) const;
  std::vector<PermitRecord> heldPermits() const;

  /// Recomputes which engines exist and which of them this router owns. Must be called after each
  /// change of the engines or of the view.
  void refreshOwnership();

private:
  const std::string name_;
  const Clock& clock_;

  mutable std::mutex serving_mutex_;
  serving::ServingState serving_;
  mutable std::mutex fleet_mutex_;
  routing::FleetTable fleet_;
  mutable std::mutex permit_table_mutex_;
  admission::PermitTable permit_table_;
  mutable std::mutex held_permits_mutex_;
  std::map<admission::PermitKey, PermitRecord> held_permits_;

  /// Serializes refreshOwnership().
  std::mutex refresh_mutex_;
  /// The last view that every router had in force. Guarded by refresh_mutex_.
  std::shared_ptr<const v1::View> last_settled_view_;
  /// Ownership under the view in force, and under `last_settled_view_`. Guarded by refresh_mutex_.
  routing::OwnershipCache current_ownership_;
  routing::OwnershipCache settled_ownership_;
  /// Guarded by fleet_mutex_.
  std::vector<routing::EngineInfo> owned_engines_;
};

} // namespace workshatch::daemon
