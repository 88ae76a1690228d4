#include "core/backoff.h"

#include <charconv>

namespace workshatch {

std::optional<uint32_t> parseMilliseconds(std::string_view text, double unit_ms) {
  constexpr double kMaxMs = 86'400'000;
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parse_end, failure] = std::from_chars(text.data(), end, value);
  const bool valid = failure == std::errc() && parse_end == end && value >= 0;
  return valid ? std::optional(static_cast<uint32_t>(std::min(value * unit_ms, kMaxMs)))
               : std::nullopt;
}

std::optional<uint32_t> parseRetryAfterMs(std::string_view value) {
  constexpr double kMillisecondsPerSecond = 1000;
  return parseMilliseconds(value, kMillisecondsPerSecond);
}

} // namespace workshatch
