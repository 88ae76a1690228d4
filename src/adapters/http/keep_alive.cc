#include "adapters/http/keep_alive.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "adapters/http/http_types.h"

namespace workshatch::http {

namespace {

/// Keep-alive time if the server sends no Keep-Alive header.
constexpr int64_t kDefaultKeepAliveMs = 3000;
/// Upper limit of the keep-alive time. It limits how long descriptors stay in use after a burst of
/// requests.
constexpr int64_t kMaxKeepAliveMs = 20'000;
/// Fraction of the server's timeout for which a connection is kept, in percent.
constexpr int64_t kKeptPercent = 70;
constexpr int64_t kMillisecondsPerSecond = 1000;
constexpr int64_t kPercent = 100;

} // namespace

int64_t keepAliveMsOf(const boost::beast::http::response_header<>& head) {
  const auto found = head.find(Field::keep_alive);
  if (found == head.end()) {
    return kDefaultKeepAliveMs;
  }
  const std::string_view text = viewOf(found->value());
  constexpr std::string_view kName = "timeout=";
  const size_t at = text.find(kName);
  int64_t seconds = 0;
  if (at != std::string_view::npos) {
    const char* begin = text.data() + at + kName.size();
    std::from_chars(begin, text.data() + text.size(), seconds);
  }
  // Limited before the multiplication, because a server may state any number.
  const int64_t timeout_ms = std::min(seconds, kMaxKeepAliveMs) * kMillisecondsPerSecond;
  return std::min(timeout_ms * kKeptPercent / kPercent, kMaxKeepAliveMs);
}

} // namespace workshatch::http
