/// @file
/// The tables that a router's workers share, each behind its own lock.
///
/// Lock order: serving, fleet, owners, held. A thread that holds one may take only later ones.
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

/// A permit that this router holds for a request in progress.
struct PermitRecord {
  v1::HeldPermit held_permit;
  /// Zone of the engine, by which its owner is found.
  std::string zone;
  /// False while the owner has not answered yet.
  bool granted = false;
};

/// Safe for concurrent use.
class RouterTables {
public:
  RouterTables(std::string name, const Clock& clock, routing::HoldDownOptions hold_down);

  serving::ServingSnapshot snapshot() const;
  bool mayServe() const;

  /// Takes over a renewal's answer and what follows from it.
  /// @return false when the answer was ignored.
  bool applyRenewal(const v1::RenewReply& reply, int64_t sent_ms);
  uint64_t reportedView() const;
  void setReportedView(uint64_t view);

  void setListed(std::vector<routing::ListedRunner> listed);
  void recordRunnerFailure(const std::string& runner);
  void recordRunnerSuccess(const std::string& runner);
  /// Takes what an answer of the runner asks for: no requests for a time.
  void recordBackoffRequest(const std::string& runner, const http::ClientResponse& answer);
  void setRunnerLeaving(const std::string& runner, bool leaving);
  std::vector<routing::EngineInfo> engines(const std::string& service) const;
  std::optional<routing::EngineInfo> findEngine(const std::string& engine) const;

  /// Engines that this router owned when ownership was last recomputed.
  std::vector<routing::EngineInfo> ownedEngines() const;

  /// Runs `use` on the owner table under its lock.
  template <typename Use> auto withPermitTable(Use use) {
    const std::lock_guard lock(permit_table_mutex_);
    return use(permit_table_);
  }

  void addHeldPermit(const PermitRecord& permit);
  void markGranted(const v1::PermitId& permit);
  /// @return the permit, if it was held.
  std::optional<PermitRecord> removeHeldPermit(const v1::PermitId& permit);
  bool holdsPermit(const v1::PermitId& permit) const;
  std::vector<PermitRecord> heldPermits() const;

  /// Recomputes which engines exist and which are owned here. Called after each change of either.
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

  /// Serializes refreshOwnership; taken before all others.
  std::mutex refresh_mutex_;
  /// View under which engines were owned last. Guarded by refresh_mutex_.
  std::shared_ptr<const v1::View> last_settled_view_;
  /// Under the view in force, and under `last_settled_view_`. Guarded by refresh_mutex_.
  routing::OwnershipCache current_ownership_;
  routing::OwnershipCache settled_ownership_;
  /// Guarded by fleet_mutex_.
  std::vector<routing::EngineInfo> owned_engines_;
};

} // namespace workshatch::daemon
