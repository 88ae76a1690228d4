/// @file
/// Stores at which version streams began, at several relays, and looks it up there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/relay/record_holders.h"
#include "core/relay/stream_origin.h"
#include "core/relay/stream_records.h"
#include "daemon/relay/relay_peers.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// What the relays that may hold the record of a stream answered.
struct StreamLookup {
  /// Where the stream began; empty: none of the relays has a record.
  std::optional<relay::StreamOrigin> origin;
  /// Number of relays that answered, without this one.
  size_t answers = 0;
};

/// Replicates the origins of streams among relays. Lives on the relay's event loop; not safe for
/// concurrent use.
///
/// A record is held by `kHolders` relays in different zones, besides the relay that serves the
/// stream. Holders lose their records when their process ends, so records are stored again while
/// their stream lasts.
///
/// Guarantee: a failure of this protocol delays a stream by two time limits for an answer at most.
class StreamOriginClient : public std::enable_shared_from_this<StreamOriginClient> {
public:
  static constexpr size_t kHolders = 5;

  /// Totals since the start of the process.
  struct Counts {
    /// Records that were stored at first, those of them that too few relays acknowledged, and
    /// repetitions.
    uint64_t recorded = 0;
    uint64_t unacknowledged = 0;
    uint64_t repeated = 0;
    /// Lookups by result.
    uint64_t found = 0;
    uint64_t unknown = 0;
    uint64_t unanswered = 0;
  };

  StreamOriginClient(boost::asio::io_context& context, std::shared_ptr<RelayPeers> peers,
                     const Clock& clock);

  /// Replaces the list of relays, this one included.
  void setRelays(std::vector<relay::RecordHolder> relays) { relays_ = std::move(relays); }

  /// Stores the record of a stream that begins. Returns when enough relays have acknowledged it for
  /// it to outlive this relay and one more, or after the time limit.
  boost::asio::awaitable<void> record(relay::StreamId stream, relay::StreamOrigin origin,
                                      int64_t lifetime_ms);
  /// Stores the record of a stream in progress again, without waiting.
  void repeat(const relay::StreamId& stream, const relay::StreamOrigin& origin,
              int64_t lifetime_ms);

  boost::asio::awaitable<StreamLookup> lookUp(relay::StreamId stream);

  /// Removes expired records. To be called often; it limits its own rate.
  void tick();

  const Counts& counts() const { return counts_; }
  /// Number of records that this relay holds.
  size_t recordsHeld() const { return records_.size(); }

private:
  /// A question to several relays, whose answers are awaited together.
  struct Round {
    Round(boost::asio::io_context& context, std::set<std::string> asked)
        : timer(context), waiting(std::move(asked)) {}

    boost::asio::steady_timer timer;
    /// Relays that have not answered.
    std::set<std::string> waiting;
    /// Number of answers after which no more are awaited.
    size_t needed = 0;
    StreamLookup result;
  };

  std::set<std::string> holdersOf(const relay::StreamId& stream) const;
  v1::Frame storeFrame(const relay::StreamId& stream, const relay::StreamOrigin& origin,
                       int64_t lifetime_ms);
  boost::asio::awaitable<void> ask(std::shared_ptr<Round> round, uint64_t sequence,
                                   v1::Frame frame);
  std::shared_ptr<Round> answeredRound(uint64_t sequence, const std::string& from) const;
  void storeForPeer(const v1::StreamRecordStore& store, const std::string& from);
  void answerLookup(const v1::StreamRecordQuery& query, const std::string& from);
  void acceptLookupAnswer(const v1::StreamRecordAnswer& answer, const std::string& from);
  void acceptAcknowledgement(uint64_t sequence, const std::string& from);

  boost::asio::io_context& context_;
  const std::shared_ptr<RelayPeers> peers_;
  const Clock& clock_;
  std::vector<relay::RecordHolder> relays_;
  relay::StreamRecords records_;
  /// By sequence number.
  std::map<uint64_t, std::shared_ptr<Round>> rounds_;
  uint64_t sequence_ = 0;
  int64_t next_expiry_ms_ = 0;
  Counts counts_;
};

} // namespace workshatch::daemon
