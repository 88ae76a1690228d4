/// @file
/// Admission by the owner of an engine: permits, the load cap, fairness between tenants.
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

/// What the owner knows of an engine besides its load.
struct EngineStatus {
  std::string engine;
  std::string service;
  /// Takes no new work.
  bool leaving = false;
  /// Reported by the platform and not held down after failures.
  bool live = true;
  /// This router admits work to the engine now.
  bool owned = false;
};

/// The engines that one router owns and the permits it gave out.
///
/// Guarantees: while this router is an engine's only owner, the load of its permits never passes
/// `loadCap` of the pool as known here; a permit asked for twice is given once; nobody waits longer
/// than asked for. Times are milliseconds of a monotonic clock. Not safe for concurrent use.
class PermitTable {
public:
  /// Takes over tenants, pools and session policy of a configuration.
  void configure(const v1::Configuration& configuration);

  /// Replaces the list of engines. Permits of engines that went away are kept until released.
  void setEngines(const std::vector<EngineStatus>& engines);

  /// Takes the pools' sums as control reported them, own loads included.
  void setPoolLoads(const std::vector<v1::PoolLoad>& totals);

  /// Routers that may be dead. Their permits go on holding the places of an engine, but count in no
  /// sum: the callers behind them come back elsewhere and are counted there.
  void setSilentRouters(const std::vector<v1::RouterKey>& routers);

  v1::PermitReply request(const v1::PermitRequest& request, int64_t now_ms);

  /// Ends a permit or a wait for one.
  void release(const v1::PermitId& permit, const std::string& engine);

  /// Takes over a permit that an earlier owner gave.
  void adoptPermit(const v1::HeldPermit& held);

  /// Reclaims the permits of routers that are not in the view any more.
  void reclaimPermitsNotInView(const v1::View& view);

  void recordSessionMove(const v1::SessionMoved& moved, int64_t now_ms);

  /// Answers that became due: permits for waiters, refusals at their deadline.
  std::vector<v1::PermitReply> takeDueReplies(int64_t now_ms);

  /// Load of the owned engines, by pool, for the next report to control.
  std::vector<v1::PoolLoad> reportLoads();
  uint64_t loadOf(const std::string& engine) const;
  size_t permitCount() const;
  size_t waitingCount() const;

private:
  struct Engine {
    EngineStatus status;
    uint64_t load = 0;
    /// Load of the permits whose routers are not silent.
    uint64_t counted_load = 0;
    /// Load when the last sums came.
    uint64_t load_at_last_totals = 0;
    std::map<PermitKey, uint64_t> permits;
    FairQueue queue;

    /// Whether its load counts in the pool's sum.
    bool countsTowardPool() const { return status.owned && !status.leaving; }
  };
  struct Pool {
    PoolPolicy policy;
    uint32_t engines = 0;
    /// Load of the engines owned here that are in use, without that of silent routers.
    uint64_t own_load = 0;
    /// `own_load` as it was last reported, which the next sums contain.
    uint64_t reported_load = 0;
    /// Load of all other owners in the last sums, newest first.
    std::array<uint64_t, 3> other_owner_loads{};
  };

  /// Load of the other owners now, estimated from sums that are some hundred milliseconds old. An
  /// estimate that is too low only makes callers wait.
  static uint64_t estimateOtherOwnersLoad(const Pool& pool);
  bool isSilent(const PermitKey& permit) const;
  void addLoad(Engine& engine, const PermitKey& permit, uint64_t cost);
  /// Makes the pools' own loads anew from those of the engines.
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
  /// Names and incarnations.
  std::set<std::pair<std::string, uint64_t>> silent_routers_;
  MovedSessions moved_;
};

} // namespace workshatch::admission
