#include "core/limits/memory_shares.h"

#include <algorithm>

namespace workshatch::limits {

namespace {

constexpr size_t kMebibyte = size_t{1024} * 1024;

/// Upper limits, which apply alone if no limit of the process is known.
constexpr size_t kMaxRequestBytes = 128 * kMebibyte;
constexpr size_t kMaxAnswerBytes = 32 * kMebibyte;
constexpr size_t kMaxReadAheadBytes = 16 * kMebibyte;
constexpr size_t kMaxOperatorBytes = 128 * kMebibyte;

/// Fractions of the memory of the process. Those of a relay are the first three.
constexpr double kRequestFraction = 0.4;
constexpr double kAnswerFraction = 0.15;
constexpr double kReadAheadFraction = 0.1;
constexpr double kOperatorFraction = 0.5;
static_assert(kRequestFraction + kAnswerFraction + kReadAheadFraction <= 1 - kUnsharedFraction);
static_assert(kOperatorFraction <= 1 - kUnsharedFraction);

/// Part of the share of requests that only small ones may use.
constexpr size_t kSmallRequestsDivisor = 4;

size_t shareOf(uint64_t memory_bytes, double fraction, size_t max_bytes) {
  if (memory_bytes == 0) {
    return max_bytes;
  }
  return std::min(max_bytes, static_cast<size_t>(static_cast<double>(memory_bytes) * fraction));
}

} // namespace

MemoryShares sharesOf(uint64_t memory_bytes) {
  MemoryShares shares;
  shares.request_bytes = shareOf(memory_bytes, kRequestFraction, kMaxRequestBytes);
  shares.small_request_bytes = shares.request_bytes / kSmallRequestsDivisor;
  shares.answer_bytes = shareOf(memory_bytes, kAnswerFraction, kMaxAnswerBytes);
  shares.read_ahead_bytes = shareOf(memory_bytes, kReadAheadFraction, kMaxReadAheadBytes);
  shares.operator_bytes = shareOf(memory_bytes, kOperatorFraction, kMaxOperatorBytes);
  return shares;
}

} // namespace workshatch::limits
