/// @file
/// A time for which another process asked to be left alone.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

namespace workshatch {

/// Times are milliseconds of the monotonic clock.
class Backoff {
public:
  /// Takes a time that was asked for. A shorter one does not end a longer one.
  void extend(uint32_t asked_ms, int64_t now_ms) {
    until_ms_ = std::max(until_ms_, now_ms + static_cast<int64_t>(asked_ms));
  }

  bool isActive(int64_t now_ms) const { return until_ms_ > now_ms; }
  /// @return milliseconds left; zero: it is over, or none was asked for.
  int64_t remainingMs(int64_t now_ms) const { return std::max<int64_t>(until_ms_ - now_ms, 0); }

private:
  /// Zero: none was asked for.
  int64_t until_ms_ = 0;
};

/// @return the milliseconds that a text tells, a day at most; nothing: it tells no time.
/// @param unit_ms milliseconds of the unit that the text counts in
std::optional<uint32_t> parseMilliseconds(std::string_view text, double unit_ms);

/// @return the milliseconds that a Retry-After header tells in seconds, fractions too; nothing: it
/// tells none. Dates are not read: the clocks of two machines differ by more than the times asked
/// for.
std::optional<uint32_t> parseRetryAfterMs(std::string_view value);

} // namespace workshatch
