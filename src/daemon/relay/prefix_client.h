/// @file
/// Sources of the parts of prompts, asked of the relay that counts who keeps them.
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

/// Asks for sources, and answers other relays from the directory of the parts that this relay
/// counts. Lives on the relay's event loop; not safe for concurrent use.
class PrefixClient {
public:
  /// Figures since the start.
  struct Counts {
    /// Questions of this relay, by what the answer was.
    uint64_t source_named = 0;
    uint64_t no_source = 0;
    /// The relay that was asked could not say yet.
    uint64_t unknown = 0;
    uint64_t unanswered = 0;
  };

  /// A question that was asked; the answer is taken when it is needed.
  class Lookup {
  public:
    /// @return the source; empty: nobody answered in time.
    boost::asio::awaitable<std::optional<relay::PrefixSource>> answer();

  private:
    friend class PrefixClient;

    explicit Lookup(PrefixClient& client) : client_(client) {}

    PrefixClient& client_;
    /// Set where this relay counts the part itself.
    std::optional<relay::PrefixSource> own_;
    std::unique_ptr<PeerCall> call_;
  };

  /// @param usable whether a runner can be copied from
  PrefixClient(std::shared_ptr<RelayPeers> peers, const Clock& clock,
               relay::PrefixDirectory::Usable usable);

  /// Tells that a prompt goes to its runner, and asks for a source. The client must outlive the
  /// question.
  Lookup lookUpSource(const relay::PromptTarget& prompt);

  /// Tells that a prompt of an earlier question did not reach its runner.
  void reportNotSent(const relay::PromptTarget& prompt);

  /// Drops what was not used for long. Runs often.
  void tick();

  const Counts& counts() const { return counts_; }
  /// Parts that are counted here.
  size_t trackedPrefixes() const { return directory_.prefixCount(); }

private:
  void answerLookup(const v1::PartQuestion& question, const std::string& from);
  relay::PrefixSource count(const relay::PrefixSource& source);

  const std::shared_ptr<RelayPeers> peers_;
  const Clock& clock_;
  const relay::PrefixDirectory::Usable usable_;
  relay::PrefixDirectory directory_;
  uint64_t sequence_ = 0;
  int64_t stale_due_ms_ = 0;
  Counts counts_;
};

} // namespace workshatch::daemon
