#include "adapters/disk/record_file.h"

#include <cstring>

#include <boost/crc.hpp>

namespace workshatch::disk {

namespace {

constexpr uint32_t kMagic = 0x57534C31;
constexpr size_t kHeaderSize = 12;
constexpr size_t kLengthOffset = 4;
constexpr size_t kChecksumOffset = 8;
constexpr uint32_t kCrc32cPolynomial = 0x1EDC6F41;
constexpr uint32_t kAllOnes = 0xFFFFFFFF;

using Crc32c = boost::crc_optimal<32, kCrc32cPolynomial, kAllOnes, kAllOnes, true, true>;

uint32_t readNumber(const std::string& content, size_t offset) {
  uint32_t number = 0;
  std::memcpy(&number, content.data() + offset, sizeof(number));
  return number;
}

void appendNumber(std::string& out, uint32_t number) {
  char bytes[sizeof(number)];
  std::memcpy(bytes, &number, sizeof(number));
  out.append(bytes, sizeof(number));
}

/// @return whether a complete record with a correct checksum starts at `offset`.
bool hasValidRecordAt(const std::string& content, size_t offset) {
  if (content.size() - offset < kHeaderSize || readNumber(content, offset) != kMagic) {
    return false;
  }
  const uint32_t length = readNumber(content, offset + kLengthOffset);
  if (content.size() - offset - kHeaderSize < length) {
    return false;
  }
  const std::string_view payload(content.data() + offset + kHeaderSize, length);
  return checksumOf(payload) == readNumber(content, offset + kChecksumOffset);
}

/// @return whether a valid record starts at any position after `offset`.
bool hasRecordAfter(const std::string& content, size_t offset) {
  for (size_t position = offset + 1; position + kHeaderSize <= content.size(); ++position) {
    if (hasValidRecordAt(content, position)) {
      return true;
    }
  }
  return false;
}

} // namespace

uint32_t checksumOf(std::string_view bytes) {
  Crc32c crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void appendRecord(std::string& out, std::string_view payload) {
  appendNumber(out, kMagic);
  appendNumber(out, static_cast<uint32_t>(payload.size()));
  appendNumber(out, checksumOf(payload));
  out.append(payload);
}

Result<RecordScan> scanRecords(const std::string& content, const std::string& name) {
  RecordScan scan;
  size_t offset = 0;
  while (offset < content.size()) {
    if (!hasValidRecordAt(content, offset)) {
      if (hasRecordAfter(content, offset)) {
        return Error{"damaged record in " + name + " at offset " + std::to_string(offset) +
                     ": this replica does not start; replace it from the others"};
      }
      break;
    }
    const uint32_t length = readNumber(content, offset + kLengthOffset);
    scan.payloads.emplace_back(content, offset + kHeaderSize, length);
    offset += kHeaderSize + length;
  }
  scan.valid_size = offset;
  return scan;
}

} // namespace workshatch::disk
