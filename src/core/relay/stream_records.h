/// @file
/// The records of stream origins that one relay holds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/relay/stream_origin.h"

namespace workshatch::relay {

/// Records at which service and version streams began, for streams of any relay.
///
/// Load pattern: while a service has runners of several versions, each of its resumable streams is
/// recorded at a few relays when it begins and every few seconds while it lasts, and looked up
/// when its caller resumes it. A record expires after the time for which it was stored.
///
/// Guarantee: a record is never dropped before it expires. At `kMaxRecords` new ones are refused.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class StreamRecords {
public:
  static constexpr size_t kMaxRecords = 65'536;

  /// Stores a record, or replaces that of the same stream.
  /// @return false if there is no room.
  bool store(const StreamId& stream, const StreamOrigin& origin, int64_t expires_ms);

  /// @return where the stream began, valid until the next call; null: there is no record.
  const StreamOrigin* find(const StreamId& stream, int64_t now_ms) const;

  void dropExpired(int64_t now_ms);

  size_t size() const { return records_.size(); }

private:
  struct Record {
    /// An element of `origins_`, shared by all streams of one service and version.
    const StreamOrigin* origin = nullptr;
    int64_t expires_ms = 0;
  };

  std::unordered_map<StreamId, Record> records_;
  /// By service and version. Few, and kept for the life of the process.
  std::map<std::pair<std::string, std::string>, StreamOrigin> origins_;
};

} // namespace workshatch::relay
