#include "core/backoff.h"

#include <charconv>

namespace workshatch {

std::optional<uint32_t> parseMilliseconds(std::string_view text, double unit_ms) {
  constexpr double kMostMs = 86'400'000;
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [read_to, failure] = std::from_chars(text.data(), end, value);
  const bool sound = failure == std::errc() && read_to == end && value >= 0;
  return sound ? std::optional(static_cast<uint32_t>(std::min(value * unit_ms, kMostMs)))
               : std::nullopt;
}

std::optional<uint32_t> parseRetryAfterMs(std::string_view value) {
  constexpr double kMillisecondsPerSecond = 1000;
  return parseMilliseconds(value, kMillisecondsPerSecond);
}

} // namespace workshatch
