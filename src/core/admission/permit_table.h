/// @file
/// Admission control by the owner of an engine: permits, the load cap, and fairness between
/// tenants.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission/fair_queue.h"
#include "core/admission/load_cap.h"
#include "core/admission/moved_sessions.h"
#include "core/admission/permit_key.h"
#include "workshatch/v1/configuration.pb.h"
#include "workshatch/v1/control.pb.h"
#include "workshatch/v1/peer.pb.h"

namespace workshatch::admission {

/// State of an engine as its owner knows it, apart from the load.
struct EngineStatus {
  std::string engine;
  std::string service;
  /// The engine is about to go away and accepts no new requests.
  bool leaving = false;
  /// The platform's current list contains the engine.
  bool live = true;
  /// This router currently decides on admission to the engine.
  bool owned = false;
};

/// Permits that one router has granted for the engines it owns.
///
/// Guarantees: while this router is the only owner of an engine, admission never raises the load of
/// the engine's permits above `loadCap`, computed from the pool loads known here; a repeated
/// request for the same permit is granted once; no request stays queued longer than it asked for.
/// Times are milliseconds of a monotonic clock. Not safe for concurrent use.
class PermitTable {
public:
  /// Applies the tenants, pools and session limits of a configuration.
  void configure(const v1::Configuration& configuration);

  /// Replaces the list of engines. Permits of engines that are no longer listed are kept until they
  /// are released.
  void setEngines(const std::vector<EngineStatus>& engines);

  /// Updates the pool loads from the totals that the control leader reported. The totals include
  /// this router's own load.
  void setPoolLoads(const std::vector<v1::PoolLoad>& totals);

  /// Sets the routers that have stopped renewing their lease and may be dead. Their permits still
  /// occupy the engines, but are left out of the pool loads: the callers behind them retry through
  /// other routers and are counted there.
  void setSilentRouters(const std::vector<v1::RouterKey>& routers);

  /// Grants, queues, redirects or refuses a request for a permit.
  v1::PermitReply request(const v1::PermitRequest& request, int64_t now_ms);

  /// Ends a permit, or removes its request from the queue.
  void release(const v1::PermitId& permit, const std::string& engine);

  /// Records a permit that an earlier owner of the engine granted.
  void adoptPermit(const v1::HeldPermit& held);

  /// Removes the permits of routers that are no longer in the view.
  void reclaimPermitsNotInView(const v1::View& view);

  /// Records the engine that has a session's cache; a message without an engine removes the record.
  void recordSessionMove(const v1::SessionMoved& moved, int64_t now_ms);

  /// @return replies to queued requests that became due: grants, and refusals of requests whose
  /// deadline has passed or whose engine is no longer available.
  std::vector<v1::PermitReply> takeDueReplies(int64_t now_ms);

  /// @return load of the owned engines, by pool, for the next report to the control leader. The
  /// reported values are kept, because the next totals contain them.
  std::vector<v1::PoolLoad> reportLoads();
  uint64_t loadOf(const std::string& engine) const;
  size_t permitCount() const;
  size_t waitingCount() const;

private:
  struct Engine {
    EngineStatus status;
    uint64_t load = 0;
    /// Load without the permits of silent routers.
    uint64_t counted_load = 0;
    /// Load at the time of the last pool totals.
    uint64_t load_at_last_totals = 0;
    /// Cost of each permit.
    std::map<PermitKey, uint64_t> permits;
    FairQueue queue;

    /// @return whether the engine's load is part of the pool's load.
    bool countsTowardPool() const { return status.owned && !status.leaving; }
  };
  struct Pool {
    PoolPolicy policy;
    /// Number of engines that are live and not leaving.
    uint32_t engines = 0;
    /// Load of the owned engines that are not leaving, without the permits of silent routers.
    uint64_t own_load = 0;
    /// `own_load` at the last report. The next totals contain it.
    uint64_t reported_load = 0;
    /// Load of all other owners in the last three totals, newest first.
    std::array<uint64_t, 3> other_owner_loads{};
  };

  /// Estimates the current load of the other owners from totals that are some hundred milliseconds
  /// old. An estimate that is too low only makes callers wait.
  static uint64_t estimateOtherOwnersLoad(const Pool& pool);
  bool isSilent(const PermitKey& permit) const;
  void addLoad(Engine& engine, const PermitKey& permit, uint64_t cost);
  /// Recomputes the own load of each pool from the loads of its engines.
  void recomputeOwnLoads();
  bool hasCapacity(const Engine& engine, uint64_t cost) const;
  void grant(Engine& engine, const v1::PermitRequest& request);
  v1::PermitReply refuseOrQueue(Engine& engine, const v1::PermitRequest& request, int64_t now_ms);
  void grantQueued(Engine& engine, std::vector<v1::PermitReply>& replies);
  uint32_t weightOf(const std::string& tenant) const;
  void removePermit(Engine& engine, std::map<PermitKey, uint64_t>::iterator permit);

  std::unordered_map<std::string, Engine> engines_;
  std::map<std::string, Pool> pools_;
  std::map<std::string, uint32_t> tenant_weights_;
  /// Name and incarnation of each silent router.
  std::set<std::pair<std::string, uint64_t>> silent_routers_;
  MovedSessions moved_;
};

} // namespace workshatch::admission
