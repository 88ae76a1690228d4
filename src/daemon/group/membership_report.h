/// @file
/// Log lines and metrics that show how a replica stands in its group: how long it has been outside
/// one and whom it asked, how long its group has had no leader, and, at the leader, which voters
/// are silent and how many more the group can lose.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace workshatch::daemon {

/// Place of a replica in the latest membership that it knows.
enum class Standing { Outside, Learner, Voter };

/// @return the name of the standing in log lines.
const char* nameOf(Standing standing);

/// A voter without a recent reply, as its leader sees it.
struct SilentVoter {
  std::string address;
  /// Time since it was last heard, in ms.
  int64_t silent_ms = 0;
};

/// What a leader knows of the other members.
struct LeaderView {
  size_t voters = 0;
  /// Voters that have replied recently, with the leader.
  size_t answering = 0;
  /// Learners that could become voters at once.
  size_t learners_caught_up = 0;
  std::vector<SilentVoter> silent;

  /// @return how many further voters can be lost before no majority answers; negative if none does.
  int64_t lossesLeft() const {
    return static_cast<int64_t>(answering) - static_cast<int64_t>((voters / 2) + 1);
  }
};

/// State of a replica at one moment.
struct MembershipView {
  Standing standing = Standing::Outside;
  /// Addresses of the members, with this replica.
  std::vector<std::string> members;
  /// Time since a leader was last known; zero while one is.
  int64_t leaderless_ms = 0;
  bool leads = false;
  /// Valid while `leads`.
  LeaderView leader;
};

/// Writes bounded log lines: on change at most every second, otherwise every five seconds while
/// there is trouble. Used on the replica's event loop; not safe for concurrent use.
class MembershipReport {
public:
  using LineSink = std::function<void(std::string_view event, const nlohmann::json& fields)>;

  /// @return whether a link to the address is open.
  using LinkCheck = std::function<bool(const std::string& address)>;

  MembershipReport(LineSink write_line, LinkCheck is_linked)
      : write_line_(std::move(write_line)), is_linked_(std::move(is_linked)) {}

  /// Records that an address was asked for the group.
  void asked(const std::string& address);
  /// Counts a frame from another process, by the name of its body.
  void frameReceived(const std::string& kind);
  /// @param now_ms monotonic time in ms
  void update(int64_t now_ms, const MembershipView& view);
  /// Appends the gauges of the last update in the Prometheus text format.
  void expose(std::string& out) const;

private:
  /// When the line of a state was last written, and of which state.
  struct Pace {
    bool written = false;
    int64_t written_ms = 0;
    std::string state;

    bool isDue(int64_t now_ms, const std::string& new_state, bool trouble) const;
    void record(int64_t now_ms, std::string new_state);
  };

  void reportOutside(int64_t now_ms);
  void reportLeaderless(int64_t now_ms);
  void reportHealth(int64_t now_ms, const LeaderView& leader);

  bool isOutside() const { return updated_ && view_.standing == Standing::Outside; }
  /// @return the addresses to which a link is open. One without a link accepts no connections, or
  /// is out of reach.
  template <typename Addresses> std::vector<std::string> linkedOf(const Addresses& addresses) const;

  const LineSink write_line_;
  const LinkCheck is_linked_;
  MembershipView view_;
  bool updated_ = false;
  /// Monotonic time since when the replica has been outside; valid while it is.
  int64_t outside_since_ms_ = 0;
  int64_t updated_ms_ = 0;
  /// While outside: what happened since the last line, which is due at `outside_due_ms_`.
  std::set<std::string> asked_;
  std::map<std::string, uint64_t> received_;
  int64_t outside_due_ms_ = 0;
  int64_t leaderless_due_ms_ = 0;
  Pace health_pace_;
};

} // namespace workshatch::daemon
