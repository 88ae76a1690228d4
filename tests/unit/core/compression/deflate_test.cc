/// @file
/// Tests of compressed data whose stated size is wrong.
#include <limits>
#include <string>
#include <variant>

#include <doctest/doctest.h>

#include "core/compression/deflate.h"

namespace workshatch::test {

// The exception of such an allocation ended the process that had received the frame.
TEST_CASE("a stated size that compressed data cannot have is an error without an allocation") {
  const std::string packed = compression::deflate("text");
  CHECK(isError(compression::inflate(packed, std::numeric_limits<size_t>::max())));
  CHECK(isError(compression::inflate("", size_t{1} << 40U)));
  CHECK(isError(compression::inflate(packed, 5)));
}

TEST_CASE("data of the highest compression is restored") {
  const std::string zeros(4'000'000, '\0');
  const auto restored = compression::inflate(compression::deflate(zeros), zeros.size());
  REQUIRE_FALSE(isError(restored));
  CHECK(std::get<std::string>(restored) == zeros);
}

} // namespace workshatch::test
