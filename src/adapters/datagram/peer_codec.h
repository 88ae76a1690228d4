/// @file
/// Encoding of the authenticated datagrams between routers: an HMAC-SHA-256 (32 bytes) followed by
/// a serialized protobuf message. The content is not encrypted.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "workshatch/v1/peer.pb.h"

namespace workshatch::datagram {

/// Size limit of an outgoing datagram. With IP and UDP headers it fits an MTU of 1500 bytes, so
/// that it is not fragmented.
constexpr size_t kMaxDatagramBytes = 1400;

/// @return the serialized datagram, preceded by its message authentication code.
std::string encodeDatagram(const v1::PeerDatagram& datagram, const std::string& key);

/// Verifies and parses a received datagram.
/// @return nothing if the authentication code is wrong or the body cannot be parsed.
std::optional<v1::PeerDatagram> decodeDatagram(std::string_view bytes, const std::string& key);

} // namespace workshatch::datagram
