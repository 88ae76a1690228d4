/// @file
/// Chooses the relays that hold the record of a stream's origin.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/relay/stream_origin.h"

namespace workshatch::relay {

/// A relay that can hold records.
struct RecordHolder {
  /// Datagram address.
  std::string address;
  std::string zone;
};

/// Chooses the holders of a stream's record by rendezvous hashing, in turn from each zone, so that
/// the loss of a zone leaves some of them. Relays whose lists differ by a few entries choose mostly
/// the same ones.
/// @param count number of holders; fewer are returned if there are not so many relays
/// @return their addresses, the same for any order of `relays`.
std::vector<std::string> chooseRecordHolders(const StreamId& stream,
                                             const std::vector<RecordHolder>& relays, size_t count);

} // namespace workshatch::relay
