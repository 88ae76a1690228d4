/// @file
/// Calls of a gRPC client that are under way, and their end.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <grpcpp/client_context.h>

namespace workshatch::rpc {

/// What a call uses until its callback has run.
struct CallInFlight {
  CallInFlight() = default;
  virtual ~CallInFlight() = default;
  CallInFlight(const CallInFlight&) = delete;
  CallInFlight& operator=(const CallInFlight&) = delete;

  grpc::ClientContext context;
};

template <typename Request, typename Reply> struct UnaryCall : CallInFlight {
  Request request;
  Reply reply;
};

/// Keeps the calls of one client. After `shutdown`, no callback runs any more, so that what
/// callbacks use may be destroyed; and no call is destroyed by a thread of gRPC's, on which the end
/// of a channel's last call aborts the process (gRPC 1.51). Safe for concurrent use.
class CallsInFlight {
public:
  CallsInFlight() = default;
  ~CallsInFlight() { shutdown(); }
  CallsInFlight(const CallsInFlight&) = delete;
  CallsInFlight& operator=(const CallsInFlight&) = delete;

  /// @return whether the call may be made; not after `shutdown`. Its callback then calls
  /// `markFinished`.
  bool begin(const std::shared_ptr<CallInFlight>& call);

  /// The last thing that a callback does. The callback does not own the call.
  void markFinished(const CallInFlight& call);

  /// Cancels the calls under way and waits until the callback of each has run, which takes no
  /// answer of the other side. Not called from a callback.
  void shutdown();

private:
  using Calls = std::vector<std::shared_ptr<CallInFlight>>;

  std::mutex mutex_;
  std::condition_variable all_finished_;
  // All below is guarded by mutex_.
  bool shut_down_ = false;
  std::map<const CallInFlight*, std::shared_ptr<CallInFlight>> calls_;
  /// Calls that are over; destroyed by the thread that begins the next one, or ends.
  Calls finished_;
};

} // namespace workshatch::rpc
