/// @file
/// Tests of the shares of the memory of a process.
#include "core/limits/memory_shares.h"

#include <array>

#include <doctest/doctest.h>

namespace workshatch::test {

namespace {

constexpr uint64_t kMebibyte = uint64_t{1024} * 1024;

size_t relayBytes(const limits::MemoryShares& shares) {
  return shares.request_bytes + shares.answer_bytes + shares.read_ahead_bytes;
}

} // namespace

TEST_CASE("What others send takes more than the memory of the process") {
  constexpr std::array<uint64_t, 5> kMegabytes = {64, 160, 260, 400, 4096};
  for (const uint64_t megabytes : kMegabytes) {
    CAPTURE(megabytes);
    const auto memory_bytes = static_cast<double>(megabytes * kMebibyte);
    const limits::MemoryShares shares = limits::sharesOf(megabytes * kMebibyte);
    const double limit = (1 - limits::kUnsharedFraction) * memory_bytes;
    CHECK(static_cast<double>(relayBytes(shares)) <= limit);
    CHECK(static_cast<double>(shares.operator_bytes) <= limit);
    CHECK(shares.small_request_bytes >= shares.request_bytes / 4);
  }
}

TEST_CASE("A process without a known limit holds as much as others send") {
  const limits::MemoryShares shares = limits::sharesOf(0);
  CHECK(relayBytes(shares) == 176 * kMebibyte);
  CHECK(shares.operator_bytes == 128 * kMebibyte);
  CHECK(relayBytes(limits::sharesOf(100'000 * kMebibyte)) == relayBytes(shares));
}

} // namespace workshatch::test
