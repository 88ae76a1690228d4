/// @file
/// Compression by zlib, for what is sent to many processes at once.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <google/protobuf/message_lite.h>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::compression {

/// @return `bytes` in the zlib format (RFC 1950).
std::string deflate(std::string_view bytes);

/// @param uncompressed_size the exact size of the result, as the sender told it
/// @return the bytes, or an error when the input is no whole zlib stream of that size.
Result<std::string> inflate(std::string_view bytes, size_t uncompressed_size);

/// @return the message, compressed.
v1::Compressed compressMessage(const google::protobuf::MessageLite& message);

/// @return whether `message` now holds what was packed.
bool decompressMessage(const v1::Compressed& packed, google::protobuf::MessageLite& message);

} // namespace workshatch::compression
