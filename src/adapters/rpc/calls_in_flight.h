/// @file
/// Tracks the asynchronous gRPC calls in progress of a client, so that it can be destroyed safely.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <grpcpp/client_context.h>

namespace workshatch::rpc {

/// State of a call, which must exist until its callback has run.
struct CallInFlight {
  CallInFlight() = default;
  virtual ~CallInFlight() = default;
  CallInFlight(const CallInFlight&) = delete;
  CallInFlight& operator=(const CallInFlight&) = delete;

  grpc::ClientContext context;
};

/// State of a unary call.
template <typename Request, typename Reply> struct UnaryCall : CallInFlight {
  Request request;
  Reply reply;
};

/// Owns the calls in progress of one client. Safe for concurrent use.
///
/// Guarantees: After `shutdown` no callback runs, so objects used by callbacks may be destroyed. No
/// call is destroyed on a gRPC thread, since gRPC 1.51 aborts the process if the last call of a
/// channel is destroyed there.
class CallsInFlight {
public:
  CallsInFlight() = default;
  ~CallsInFlight() { shutdown(); }
  CallsInFlight(const CallsInFlight&) = delete;
  CallsInFlight& operator=(const CallsInFlight&) = delete;

  /// Registers a call before it is started. Its callback must call `markFinished`.
  /// @return false after `shutdown`; the call must not be started then.
  bool begin(const std::shared_ptr<CallInFlight>& call);

  /// Called by the callback of a call as its last action. The callback must not own the call.
  void markFinished(const CallInFlight& call);

  /// Cancels all calls and waits until their callbacks have run. This does not depend on a response
  /// of the server. Must not be called from a callback.
  void shutdown();

private:
  using Calls = std::vector<std::shared_ptr<CallInFlight>>;

  std::mutex mutex_;
  std::condition_variable all_finished_;
  // The members below are guarded by mutex_.
  bool shut_down_ = false;
  std::map<const CallInFlight*, std::shared_ptr<CallInFlight>> calls_;
  /// Finished calls, destroyed by the next `begin` or `shutdown`.
  Calls finished_;
};

} // namespace workshatch::rpc
