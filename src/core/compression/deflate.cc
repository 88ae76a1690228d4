#include "core/compression/deflate.h"

#include <zlib.h>

namespace workshatch::compression {

namespace {

/// A fast level: the routes of a configuration are similar, so a higher level would save little.
constexpr int kCompressionLevel = 2;

/// No zlib stream expands more than this.
constexpr size_t kMaxExpansion = 1032;

const Bytef* bytesOf(std::string_view text) { return reinterpret_cast<const Bytef*>(text.data()); }

Bytef* bytesOf(std::string& text) { return reinterpret_cast<Bytef*>(text.data()); }

} // namespace

std::string deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  // With a buffer of `compressBound` bytes, compress2 fails only when memory is exhausted.
  if (compress2(bytesOf(out), &size, bytesOf(bytes), bytes.size(), kCompressionLevel) != Z_OK) {
    return {};
  }
  out.resize(size);
  out.shrink_to_fit();
  return out;
}

Result<std::string> inflate(std::string_view bytes, size_t uncompressed_size) {
  // The size comes from another process: it must not decide how much memory is allocated.
  if (uncompressed_size / kMaxExpansion > bytes.size()) {
    return Error{"data cannot expand to the expected size"};
  }
  std::string out(uncompressed_size, '\0');
  uLongf size = uncompressed_size;
  const int outcome = uncompress(bytesOf(out), &size, bytesOf(bytes), bytes.size());
  if (outcome != Z_OK || size != uncompressed_size) {
    return Error{"data is not a complete zlib stream of the expected size"};
  }
  return out;
}

v1::Compressed compressMessage(const google::protobuf::MessageLite& message) {
  const std::string bytes = message.SerializeAsString();
  v1::Compressed packed;
  packed.set_data(deflate(bytes));
  packed.set_message_bytes(bytes.size());
  return packed;
}

bool decompressMessage(const v1::Compressed& packed, google::protobuf::MessageLite& message) {
  const Result<std::string> bytes = inflate(packed.data(), packed.message_bytes());
  return !isError(bytes) && message.ParseFromString(std::get<std::string>(bytes));
}

} // namespace workshatch::compression
