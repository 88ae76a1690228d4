/// @file
/// A router's calls to the control leader, as coroutines.
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

/// Finds the leader among the control replicas and follows its changes. Calls may be made from any
/// worker; each goes on where it was made. Safe for concurrent use. Destroyed before the workers'
/// event loops, to which the answers of calls are posted.
class ControlClient {
public:
  ControlClient(std::vector<std::string> addresses, std::string key, AddressOverrides overrides);

  template <typename T> using awaitable = boost::asio::awaitable<T>;

  /// One try. An error when no answer came or the replica asked does not lead; the next call asks
  /// the leader that it named, or the next replica.
  awaitable<Result<v1::RenewReply>> renew(v1::RenewRequest request, int64_t timeout_ms);
  awaitable<Result<v1::DepartReply>> depart(v1::DepartRequest request, int64_t timeout_ms);

  /// Tries until an answer comes or `timeout_ms` is over. Sending a ledger call again is harmless.
  awaitable<Result<v1::LedgerReply>> begin(v1::LedgerBeginRequest request, int64_t timeout_ms);
  awaitable<Result<v1::LedgerReply>> finish(v1::LedgerFinishRequest request, int64_t timeout_ms);
  awaitable<Result<v1::LedgerReply>> abort(v1::LedgerAbortRequest request, int64_t timeout_ms);

private:
  struct Target {
    size_t index = 0;
    v1::Control::Stub* stub = nullptr;
  };

  Target target();
  /// Chooses whom to ask next, when `failed` did not answer as the leader.
  void selectNextReplica(size_t failed, const std::string& leader_address);

  template <typename Request, typename Reply, typename Method>
  awaitable<Result<Reply>> once(Request request, int64_t timeout_ms, Method method);
  template <typename Request, typename Method>
  awaitable<Result<v1::LedgerReply>> callUntilAnswered(Request request, int64_t timeout_ms,
                                                       Method method);

  const std::vector<std::string> addresses_;
  const std::string key_;
  std::vector<std::unique_ptr<v1::Control::Stub>> stubs_;
  std::mutex mutex_;
  /// Index of the replica to ask. Guarded by mutex_.
  size_t current_ = 0;
  /// Ends first: callbacks use the stubs' channels.
  CallsInFlight calls_;
};

} // namespace workshatch::rpc
