/// @file
/// Whether runners of several software versions serve in one service, now or until recently.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace workshatch::relay {

/// Counts the listed runners of one service by version. Each change of the list is applied at a
/// cost that does not depend on the number of runners. Times are milliseconds of the monotonic
/// clock. Not safe for concurrent use.
class VersionMix {
public:
  void add(const std::string& version, int64_t now_ms);
  void remove(const std::string& version, int64_t now_ms);
  /// Removes all runners.
  void clear(int64_t now_ms);

  /// @return whether runners of several versions are listed.
  bool isMixed() const { return runners_.size() > 1; }
  /// @return whether this was so within the last `window_ms`.
  bool wasMixedWithin(int64_t window_ms, int64_t now_ms) const {
    return isMixed() || (mixed_until_ms_ && now_ms - *mixed_until_ms_ < window_ms);
  }
  /// @return the version of all listed runners; empty if there are several versions or no runners.
  std::optional<std::string> soleVersion() const;

private:
  /// Numbers of runners by version; none is zero.
  std::map<std::string, size_t> runners_;
  /// When several versions were last listed, if this is over.
  std::optional<int64_t> mixed_until_ms_;
};

} // namespace workshatch::relay
