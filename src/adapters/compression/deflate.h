/// @file
/// Compression by zlib, for what is sent to many processes at once.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/result.h"

namespace workshatch::compression {

/// @return `bytes` in the zlib format (RFC 1950).
std::string deflate(std::string_view bytes);

/// @param bytes_out the exact size of the result, as the sender told it
/// @return the bytes, or an error when the input is no whole zlib stream of that size.
Result<std::string> inflate(std::string_view bytes, size_t bytes_out);

} // namespace workshatch::compression
