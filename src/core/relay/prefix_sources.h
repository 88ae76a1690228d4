/// @file
/// Chooses the runner from which an engine copies cached prompt prefixes, by what this relay knows
/// alone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/relay/runner.h"

namespace workshatch::relay {

/// Input of the choice of a source. The pointers must be valid during the call only.
struct SourceQuery {
  /// Fingerprint of the prompt's longest shared prefix.
  uint64_t prefix = 0;
  /// Fingerprint of the next shorter shared prefix; zero: none.
  uint64_t parent = 0;
  /// The runner that gets the prompt.
  const Runner* chosen = nullptr;
  /// All runners of the service.
  const std::vector<std::shared_ptr<Runner>>* runners = nullptr;
  /// @return whether a runner is avoided, so that nothing is copied from it.
  std::function<bool(const Runner&)> avoided;
  int64_t now_ms = 0;
};

/// Remembers to which runners this relay recently sent prefixes. For prefixes that only other
/// relays sent, the ranking of runners tells where they are. Times are milliseconds of the
/// monotonic clock. Not safe for concurrent use.
class PrefixSources {
public:
  /// Records that a prompt with this prefix and parent prefix goes to the runner.
  void recordSent(uint64_t prefix, uint64_t parent, const std::shared_ptr<Runner>& runner,
                  int64_t now_ms);

  /// @return a runner that likely has a longer prefix of the prompt cached than the chosen one;
  /// null: none.
  std::shared_ptr<Runner> sourceFor(const SourceQuery& query) const;

private:
  struct Sent {
    std::weak_ptr<Runner> runner;
    int64_t at_ms = 0;
  };

  void record(uint64_t prefix, const std::shared_ptr<Runner>& runner, int64_t now_ms);
  std::shared_ptr<Runner> lastSentTo(uint64_t prefix, const SourceQuery& query) const;

  std::unordered_map<uint64_t, Sent> last_sent_;
};

} // namespace workshatch::relay
