/// @file
/// Log lines that show a relay's search for the leader: since when it has lasted, which addresses
/// were tried and what became of the last try at each.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace workshatch::daemon {

/// Writes one line after a second of search, then one every five seconds, and one at its end if it
/// wrote any. Times are monotonic, in ms. Used on one event loop; not safe for concurrent use.
class LeaderSearchReport {
public:
  using LineSink = std::function<void(std::string_view event, const nlohmann::json& fields)>;

  explicit LeaderSearchReport(LineSink write_line) : write_line_(std::move(write_line)) {}

  /// Begins the search, unless it has begun, and writes a line if one is due.
  void searching(int64_t now_ms);
  /// Records how a try ended: `unreachable` or the reason for which its link was closed.
  void tried(const std::string& address, const char* outcome);
  /// Ends the search: the replica at the address has confirmed that it is the leader.
  void found(const std::string& address, int64_t now_ms);
  /// @return time since the search began; zero while the leader is known.
  int64_t searchingForMs(int64_t now_ms) const { return searching_ ? now_ms - since_ms_ : 0; }

private:
  const LineSink write_line_;
  bool searching_ = false;
  bool written_ = false;
  int64_t since_ms_ = 0;
  int64_t due_ms_ = 0;
  /// Outcome of the last try in this search, by address.
  std::map<std::string, std::string> outcomes_;
};

} // namespace workshatch::daemon
