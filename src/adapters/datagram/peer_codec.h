/// @file
/// Authenticated datagrams between routers: protobuf body and HMAC-SHA-256.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "workshatch/v1/peer.pb.h"

namespace workshatch::datagram {

/// Largest datagram sent, so that it fits one MTU of 1500 bytes with IP and UDP headers.
constexpr size_t kMaxDatagramBytes = 1400;

/// @return code and body as one datagram.
std::string encodeDatagram(const v1::PeerDatagram& datagram, const std::string& key);

/// @return the datagram, or nothing when its code is wrong or it is not readable.
std::optional<v1::PeerDatagram> decodeDatagram(std::string_view bytes, const std::string& key);

} // namespace workshatch::datagram
