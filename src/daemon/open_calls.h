/// @file
/// Tracks the calls that a replica has accepted and ensures that each is answered or refused once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace workshatch::daemon {

/// Outcome of a call that the replica refuses because it is stopping or its disk rejects writes.
/// The caller should try another replica.
struct Unavailable {
  bool operator==(const Unavailable&) const = default;
};

template <typename Reply> using CallOutcome = std::variant<Reply, Unavailable>;
template <typename Reply> using CallCallback = std::function<void(CallOutcome<Reply>)>;
template <typename Reply> using ReplyCallback = std::function<void(Reply)>;

/// Numbers of calls since the start of the process. `accepted` is the sum of `answered`, `refused`
/// and the calls that are still open.
struct CallCounts {
  uint64_t accepted = 0;
  uint64_t answered = 0;
  /// Calls whose outcome was Unavailable.
  uint64_t refused = 0;
};

/// Gives every call exactly one outcome, no matter whether its reply depends on an inbox, on a disk
/// write or on other replicas. An unanswered call would block its caller until the caller's own
/// deadline, and would block the shutdown of a server that waits for its calls.
///
/// Safe for concurrent use. Callbacks run without a lock, on the thread that answers or refuses.
class OpenCalls {
public:
  /// Registers a call. After `refuseAll` or `end` the call is refused at once, on the calling
  /// thread.
  /// @return the function that answers the call. Only its first use has an effect, and none once
  /// the call has been refused. It may outlive this object.
  template <typename Reply> ReplyCallback<Reply> accept(CallCallback<Reply> done) {
    const auto shared = std::make_shared<CallCallback<Reply>>(std::move(done));
    const std::optional<uint64_t> id = state_->open([shared] { (*shared)(Unavailable{}); });
    if (!id) {
      (*shared)(Unavailable{});
      return [](const Reply&) {};
    }
    return [state = state_, id = *id, shared](Reply reply) {
      if (state->answer(id)) {
        (*shared)(std::move(reply));
      }
    };
  }

  /// Refuses all open calls, and all new ones until `resumeAccepting`.
  void refuseAll() { state_->refuseAll(Phase::Refusing); }
  /// Accepts calls again after `refuseAll`. Has no effect after `end`.
  void resumeAccepting() { state_->resumeAccepting(); }
  /// Refuses all open calls and all new ones permanently.
  void end() { state_->refuseAll(Phase::Ended); }

  CallCounts counts() const { return state_->counts(); }

private:
  using Refusal = std::function<void()>;
  enum class Phase { Accepting, Refusing, Ended };

  /// State that is shared with the functions that answer calls.
  class State {
  public:
    /// @return the id of the call; nullopt while calls are refused.
    std::optional<uint64_t> open(Refusal refusal);
    /// Closes a call. @return whether it was still open, so that the answer is to be delivered.
    bool answer(uint64_t id);
    void refuseAll(Phase phase);
    void resumeAccepting();
    CallCounts counts() const;

  private:
    mutable std::mutex mutex_;
    // The members below are guarded by mutex_.
    Phase phase_ = Phase::Accepting;
    uint64_t next_id_ = 1;
    std::unordered_map<uint64_t, Refusal> open_;
    CallCounts counts_;
  };

  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

} // namespace workshatch::daemon
