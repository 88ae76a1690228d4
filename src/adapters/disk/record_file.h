/// @file
/// Framing of the records in log and snapshot files: magic number, length, CRC-32C, payload.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace workshatch::disk {

/// @return the CRC-32C of `bytes`.
uint32_t checksumOf(std::string_view bytes);

/// Appends one framed record to `out`.
void appendRecord(std::string& out, std::string_view payload);

/// The records read from a file.
struct RecordScan {
  std::vector<std::string> payloads;
  /// Bytes up to the end of the last complete record; the rest is a torn tail.
  uint64_t valid_size = 0;
};

/// Reads all records of `content`. An incomplete or damaged record at the end is a torn tail, left
/// by a crash during a write, and is skipped. A damaged record that is followed by a valid one is
/// an error.
/// @param name name of the file, for the error message.
Result<RecordScan> scanRecords(const std::string& content, const std::string& name);

} // namespace workshatch::disk
