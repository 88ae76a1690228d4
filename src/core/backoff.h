/// @file
/// Backoff periods that other processes request, and parsers of their text form.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

namespace workshatch {

/// Period during which another process asked to receive no requests. Times are milliseconds of the
/// monotonic clock.
class Backoff {
public:
  /// Starts or extends the period. A shorter request does not shorten a longer one.
  void extend(uint32_t asked_ms, int64_t now_ms) {
    until_ms_ = std::max(until_ms_, now_ms + static_cast<int64_t>(asked_ms));
  }

  bool isActive(int64_t now_ms) const { return until_ms_ > now_ms; }
  /// @return milliseconds until the end of the period; zero when no period is active.
  int64_t remainingMs(int64_t now_ms) const { return std::max<int64_t>(until_ms_ - now_ms, 0); }

private:
  /// End of the period; zero: none was requested.
  int64_t until_ms_ = 0;
};

/// Parses a duration.
/// @param unit_ms length in milliseconds of the unit that the text counts in
/// @return the duration in milliseconds, at most one day; nothing when `text` is not a number or is
/// negative.
std::optional<uint32_t> parseMilliseconds(std::string_view text, double unit_ms);

/// Parses a Retry-After header value in seconds; fractions are allowed. Dates are not supported,
/// because the clocks of two machines differ by more than the usual delays.
/// @return the delay in milliseconds, or nothing when `value` is not a number of seconds.
std::optional<uint32_t> parseRetryAfterMs(std::string_view value);

} // namespace workshatch
