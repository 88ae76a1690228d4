/// @file
/// Requests permits from the owners of engines on this or other routers, and handles the datagrams
/// that routers exchange about permits.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/datagram/peer_socket.h"
#include "adapters/metrics/router_stats.h"
#include "daemon/router/router_tables.h"

namespace workshatch::daemon {

/// Input of a permit request.
struct PermitParameters {
  /// Id of the caller's request.
  std::string request_id;
  routing::EngineInfo engine;
  std::string tenant;
  uint64_t cost = 1;
  uint64_t session = 0;
  int32_t priority = 0;
  /// How long the request may wait in the owner's queue; zero if it must not wait.
  uint32_t wait_ms = 0;
  /// Whether the owner must not redirect the session to another engine.
  bool no_redirect = false;
};

/// An owner's reply to a permit request. The verdict is unspecified if the owner did not reply.
struct PermitResult {
  v1::PermitId permit;
  v1::PermitVerdict verdict = v1::PERMIT_VERDICT_UNSPECIFIED;
  std::string redirect_engine;
  uint32_t retry_after_ms = 0;
  std::string owner;
};

/// Requests permits from owners, and answers other routers' requests for permits. Safe for
/// concurrent use.
///
/// Guarantees: a permit granted to this router is either returned to the caller or released. A
/// release is sent repeatedly until the owner has acknowledged it or left the view.
class PermitClient {
public:
  PermitClient(std::string name, uint64_t incarnation, RouterTables& tables,
               datagram::PeerSocket& socket, const Clock& clock, metrics::RouterStats& stats,
               uint32_t timeout_ms);

  boost::asio::awaitable<PermitResult> acquire(PermitParameters parameters);
  void release(const v1::PermitId& permit);
  /// Reports to the owner of the session's first-choice engine on which engine the session runs.
  void recordSessionMove(const routing::EngineInfo& first_choice, uint64_t session,
                         const std::string& engine);

  /// Handles a datagram from another router. Called on the socket's worker thread.
  void receive(const v1::PeerDatagram& datagram);

  /// Sends due replies to queued requests, repeats unacknowledged releases, and reports held
  /// permits after a change of view. Called periodically on one worker thread.
  void tick();

private:
  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor& worker_executor)
        : executor(worker_executor), timer(worker_executor) {}
    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    /// `answered` and `reply` are accessed only on `executor`.
    bool answered = false;
    v1::PermitReply reply;
  };
  struct PendingRelease {
    v1::PermitId permit;
    std::string engine;
    std::string zone;
  };

  /// Permits held here that one datagram reports to the new owner of their engines.
  struct HeldReport {
    std::string address;
    std::vector<v1::HeldPermit> permits;
  };

  v1::PermitRequest requestFor(const PermitParameters& parameters);
  boost::asio::awaitable<void> awaitReply(std::shared_ptr<PendingRequest> pending,
                                          std::chrono::milliseconds timeout);
  boost::asio::awaitable<v1::PermitReply>
  requestPermit(const v1::PermitRequest& request, const std::string& owner_address, bool local);
  void deliverReply(const v1::PermitReply& reply);
  void sendReply(const std::string& router, const v1::PermitReply& reply);
  void sendRelease(const PendingRelease& release);
  void receiveRequest(const v1::PeerDatagram& datagram);
  void receiveHeldPermits(const v1::PeerDatagram& datagram);
  void sendDueReplies();
  void reportHeldPermits();
  void prepareReports(const v1::View& view);
  std::string addressOf(const std::string& router) const;

  const std::string name_;
  const uint64_t incarnation_;
  RouterTables& tables_;
  datagram::PeerSocket& socket_;
  const Clock& clock_;
  metrics::RouterStats& stats_;
  const uint32_t timeout_ms_;
  std::atomic<uint64_t> sequence_{0};

  std::mutex mutex_;
  /// By permit sequence. Guarded by mutex_.
  std::map<uint64_t, std::shared_ptr<PendingRequest>> pending_requests_;
  /// Releases not acknowledged yet. Guarded by mutex_.
  std::map<uint64_t, PendingRelease> pending_releases_;
  /// Reports for the view `report_view_` that are not acknowledged yet, by sequence number. Guarded
  /// by mutex_.
  std::map<uint64_t, HeldReport> pending_reports_;
  uint64_t report_view_ = 0;
};

} // namespace workshatch::daemon
