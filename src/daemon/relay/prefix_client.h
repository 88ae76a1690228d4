/// @file
/// Looks up, in a directory that is distributed over the relays, from which runner a prompt's
/// prefix can be copied.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/relay/prefix_directory.h"
#include "daemon/relay/relay_peers.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Looks up prefix sources at the relay that owns the prefix, and answers the lookups of other
/// relays from this relay's own part of the directory. Lives on the relay's event loop; not safe
/// for concurrent use.
class PrefixClient {
public:
  /// Totals since the start of the process.
  struct Counts {
    /// Lookups of this relay by result.
    uint64_t source_named = 0;
    uint64_t no_source = 0;
    /// The owner has not tracked the prefix for long enough to know.
    uint64_t unknown = 0;
    uint64_t unanswered = 0;
  };

  /// A lookup in progress, whose answer can be awaited later. The client must outlive it.
  class Lookup {
  public:
    /// Waits for the answer. @return the source; nullopt if the owner did not answer in time.
    boost::asio::awaitable<std::optional<relay::PrefixSource>> answer();

  private:
    friend class PrefixClient;

    explicit Lookup(PrefixClient& client) : client_(client) {}

    PrefixClient& client_;
    /// The answer, if this relay owns the prefix itself.
    std::optional<relay::PrefixSource> local_answer_;
    std::unique_ptr<PeerCall> call_;
  };

  /// @return whether the runner `target` can copy prefixes from the runner `source`.
  using CopyFilter = std::function<bool(uint64_t source, uint64_t target)>;

  PrefixClient(std::shared_ptr<RelayPeers> peers, const Clock& clock, CopyFilter can_copy);

  /// Reports to the owner that a prompt is about to be sent to its runner, and requests a source
  /// for its prefix.
  Lookup lookUpSource(const relay::PromptTarget& prompt);

  /// Reports that the prompt of an earlier lookup did not reach its runner.
  void reportNotSent(const relay::PromptTarget& prompt);

  /// Removes entries that were not used for a long time. To be called often; it limits its own
  /// rate.
  void tick();

  const Counts& counts() const { return counts_; }
  /// Number of prefixes in this relay's part of the directory.
  size_t trackedPrefixes() const { return directory_.prefixCount(); }

private:
  void answerLookup(const v1::PartQuestion& question, const std::string& from);
  relay::PrefixSource findSource(const relay::PromptTarget& prompt);
  relay::PrefixSource count(const relay::PrefixSource& source);

  const std::shared_ptr<RelayPeers> peers_;
  const Clock& clock_;
  const CopyFilter can_copy_;
  relay::PrefixDirectory directory_;
  uint64_t sequence_ = 0;
  int64_t next_expiry_ms_ = 0;
  Counts counts_;
};

} // namespace workshatch::daemon
