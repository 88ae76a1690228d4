/// @file
/// From which other runner an engine takes the cached parts of a prompt that it lacks.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/relay/runner.h"

namespace workshatch::relay {

/// What the choice of a source depends on. The pointers are valid during the call only.
struct SourceQuery {
  /// Fingerprint of the prompt's last shared part.
  uint64_t prefix = 0;
  /// Fingerprint of the shared part before it; zero: none.
  uint64_t parent = 0;
  /// The runner that gets the prompt.
  const Runner* chosen = nullptr;
  /// All runners of the service.
  const std::vector<std::shared_ptr<Runner>>* runners = nullptr;
  /// @return whether a runner is not to be asked now.
  std::function<bool(const Runner&)> avoided;
  int64_t now_ms = 0;
};

/// Knows where this relay sent parts of prompts lately; of parts that only other relays sent, the
/// ranking of runners tells where they went. Times are milliseconds of the monotonic clock. Not
/// safe for concurrent use.
class PrefixSources {
public:
  /// Notes that a prompt with these parts goes to the runner.
  void recordSent(uint64_t prefix, uint64_t parent, const std::shared_ptr<Runner>& runner,
                  int64_t now_ms);

  /// @return a runner that likely keeps more of the prompt than the chosen one; null: none.
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
