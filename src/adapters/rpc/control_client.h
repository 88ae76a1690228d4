/// @file
/// Client for the calls of a router to the control leader, with coroutines.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "adapters/address_overrides.h"
#include "adapters/rpc/calls_in_flight.h"
#include "core/result.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::rpc {

/// Finds the leader among the control replicas and follows leader changes. Safe for concurrent use.
/// Calls may be made from any worker; each call resumes on the worker that made it. The client must
/// be destroyed before the event loops of the workers, to which replies are posted.
class ControlClient {
public:
  ControlClient(std::vector<std::string> addresses, std::string key, AddressOverrides overrides);

  template <typename T> using awaitable = boost::asio::awaitable<T>;

  /// Makes one attempt. Fails if there is no reply, or if the replica is not the leader. The next
  /// call then goes to the leader named in the reply, or else to the next replica.
  awaitable<Result<v1::RenewReply>> renew(v1::RenewRequest request, int64_t timeout_ms);
  awaitable<Result<v1::DepartReply>> depart(v1::DepartRequest request, int64_t timeout_ms);

  /// Retries until there is a reply or `timeout_ms` has passed. Ledger calls are idempotent.
  awaitable<Result<v1::LedgerReply>> begin(v1::LedgerBeginRequest request, int64_t timeout_ms);
  awaitable<Result<v1::LedgerReply>> finish(v1::LedgerFinishRequest request, int64_t timeout_ms);
  awaitable<Result<v1::LedgerReply>> abort(v1::LedgerAbortRequest request, int64_t timeout_ms);

private:
  struct Target {
    size_t index = 0;
    v1::Control::Stub* stub = nullptr;
  };

  Target target();
  /// Selects the replica for the next call, after the replica with index `failed` did not reply or
  /// is not the leader. Does nothing if another call has already done so.
  void selectNextReplica(size_t failed, const std::string& leader_address);

  template <typename Request, typename Reply, typename Method>
  awaitable<Result<Reply>> callOnce(Request request, int64_t timeout_ms, Method method);
  template <typename Request, typename Method>
  awaitable<Result<v1::LedgerReply>> callUntilAnswered(Request request, int64_t timeout_ms,
                                                       Method method);

  const std::vector<std::string> addresses_;
  const std::string key_;
  std::vector<std::unique_ptr<v1::Control::Stub>> stubs_;
  std::mutex mutex_;
  /// Index of the replica for the next call. Guarded by mutex_.
  size_t current_ = 0;
  /// Declared last and thus destroyed first, since callbacks use the channels of the stubs.
  CallsInFlight calls_;
};

} // namespace workshatch::rpc
