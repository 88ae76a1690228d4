/// @file
/// Limit on the unparsed part of an HTTP message, for the server and all clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace workshatch::http {

/// Bytes of a message that are held until they can be parsed: a whole head, a chunk's header or
/// the trailers. Above it the message is invalid. Beast's own limit for heads does not apply to
/// trailers, and it throws on the event loop at a field whose size does not fit into 16 bits.
inline constexpr size_t kMaxUnparsedBytes = std::numeric_limits<uint16_t>::max();

} // namespace workshatch::http
