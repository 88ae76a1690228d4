/// @file
/// Calls that a replica has taken in: each is answered, or refused when the replica can't.
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

/// In place of a reply: the replica ends, or its disk refuses writes. The caller asks another one.
struct Unavailable {
  bool operator==(const Unavailable&) const = default;
};

template <typename Reply> using CallOutcome = std::variant<Reply, Unavailable>;
template <typename Reply> using CallCallback = std::function<void(CallOutcome<Reply>)>;
template <typename Reply> using ReplyCallback = std::function<void(Reply)>;

/// Calls since the start of the process; `accepted` is the sum of the others and of those still
/// open.
struct CallCounts {
  uint64_t accepted = 0;
  uint64_t answered = 0;
  /// Taken in and ended with Unavailable.
  uint64_t refused = 0;
};

/// Gives every call exactly one outcome, wherever its reply is waited for: in an inbox, behind a
/// write to the disk, or at other replicas. A call that nobody answered would keep its caller until
/// the caller's own deadline, and a server that waits for its calls from ending.
///
/// Safe for concurrent use. Callbacks run without a lock, on the thread that answers or refuses.
class OpenCalls {
public:
  /// Takes a call in; after `refuseAll` or `end`, refuses it at once on the calling thread.
  /// @return the way to answer. The first answer counts; one after the refusal does nothing. May
  /// outlive this object.
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

  /// Refuses all calls that are open and all that come, until `resumeAccepting`.
  void refuseAll() { state_->refuseAll(Phase::Refusing); }
  /// Does nothing after `end`.
  void resumeAccepting() { state_->resumeAccepting(); }
  /// Refuses all calls that are open and all that come, for good.
  void end() { state_->refuseAll(Phase::Ended); }

  CallCounts counts() const { return state_->counts(); }

private:
  using Refusal = std::function<void()>;
  enum class Phase { Accepting, Refusing, Ended };

  /// Shared with the ways to answer.
  class State {
  public:
    /// @return the call's number; nothing while calls are refused.
    std::optional<uint64_t> open(Refusal refusal);
    /// @return whether the call was open until now.
    bool answer(uint64_t id);
    void refuseAll(Phase phase);
    void resumeAccepting();
    CallCounts counts() const;

  private:
    mutable std::mutex mutex_;
    // All below is guarded by mutex_.
    Phase phase_ = Phase::Accepting;
    uint64_t next_id_ = 1;
    std::unordered_map<uint64_t, Refusal> open_;
    CallCounts counts_;
  };

  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

} // namespace workshatch::daemon
