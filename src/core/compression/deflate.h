/// @file
/// zlib compression for data that is sent to many processes.
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

/// @param uncompressed_size exact size of the result, as stated by the sender
/// @return the uncompressed data, or an error when `bytes` is not a complete zlib stream of that
/// size.
Result<std::string> inflate(std::string_view bytes, size_t uncompressed_size);

/// @return the serialized message, compressed.
v1::Compressed compressMessage(const google::protobuf::MessageLite& message);

/// Decompresses and parses `packed` into `message`.
/// @return whether this succeeded; `message` is unspecified otherwise.
bool decompressMessage(const v1::Compressed& packed, google::protobuf::MessageLite& message);

} // namespace workshatch::compression
