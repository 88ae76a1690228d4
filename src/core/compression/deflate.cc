#include "core/compression/deflate.h"

#include <zlib.h>

namespace workshatch::compression {

namespace {

/// Fast: routes of a configuration are alike, so that more effort gains little.
constexpr int kLevel = 2;

const Bytef* bytesOf(std::string_view text) { return reinterpret_cast<const Bytef*>(text.data()); }

Bytef* bytesOf(std::string& text) { return reinterpret_cast<Bytef*>(text.data()); }

} // namespace

std::string deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  // With a buffer of the bound's size this fails only for want of memory.
  if (compress2(bytesOf(out), &size, bytesOf(bytes), bytes.size(), kLevel) != Z_OK) {
    return {};
  }
  out.resize(size);
  out.shrink_to_fit();
  return out;
}

Result<std::string> inflate(std::string_view bytes, size_t bytes_out) {
  std::string out(bytes_out, '\0');
  uLongf size = bytes_out;
  const int outcome = uncompress(bytesOf(out), &size, bytesOf(bytes), bytes.size());
  if (outcome != Z_OK || size != bytes_out) {
    return Error{"not a whole compressed text of the size that was told"};
  }
  return out;
}

v1::Compressed packMessage(const google::protobuf::MessageLite& message) {
  const std::string bytes = message.SerializeAsString();
  v1::Compressed packed;
  packed.set_data(deflate(bytes));
  packed.set_message_bytes(bytes.size());
  return packed;
}

bool unpackMessage(const v1::Compressed& packed, google::protobuf::MessageLite& message) {
  const Result<std::string> bytes = inflate(packed.data(), packed.message_bytes());
  return !isError(bytes) && message.ParseFromString(std::get<std::string>(bytes));
}

} // namespace workshatch::compression
