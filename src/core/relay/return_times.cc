#include "core/relay/return_times.h"

#include <algorithm>

#include "core/relay/time_window.h"

namespace workshatch::relay {

namespace {

/// What ended and what was refused count over this time: a few times as long as a request of an
/// engine lasts.
constexpr int64_t kWindowMs = 2000;
/// Tries refused, as a part of those that ended or were refused, from which callers come in turn.
/// With three times the traffic on half of the engines 0.55 are; with four times of one kind 0.3.
constexpr double kMostRefused = 0.45;
/// Refusals from which the part says something.
constexpr size_t kLeastRefused = 4;
/// A caller comes back soon while at least this part of its objective is left.
constexpr double kSoonWhileLeft = 0.5;
/// Parts of the time until it is late after which a caller comes back: room is left for the answer.
constexpr double kSoonestPart = 0.15;
constexpr double kLatestPart = 0.45;
/// Fineness of the lots that spread callers.
constexpr uint64_t kLots = 1024;
/// Nobody comes back in turn sooner: what the other relays do is known no faster than this.
constexpr int64_t kSoonestMs = 250;
/// Part of the places that become free which those who come back in turn may count on; new callers
/// take the rest.
constexpr double kPartForReturns = 0.5;
/// A caller that waits for longer than a third of its time gives up; some of it is on the way.
constexpr double kMostOfTimeLeft = 0.3;

} // namespace

void ReturnTimes::noteEnded(const std::string& service, int64_t now_ms) {
  std::deque<int64_t>& ended = services_[service].ended;
  ended.push_back(now_ms);
  dropUntil(ended, now_ms - kWindowMs - 1);
}

bool ReturnTimes::mostAreRefused(const Service& service) {
  const auto refused = static_cast<double>(service.refused.size());
  const double tries = refused + static_cast<double>(service.ended.size());
  return service.refused.size() >= kLeastRefused && refused > kMostRefused * tries;
}

uint32_t ReturnTimes::soonMs(const RefusedRequest& refused) {
  const double lot = static_cast<double>(refused.draw % kLots) / kLots;
  const double part = kSoonestPart + (kLatestPart - kSoonestPart) * lot;
  const auto wanted_ms = static_cast<int64_t>(part * static_cast<double>(refused.until_late_ms));
  const auto latest_ms =
      static_cast<int64_t>(kMostOfTimeLeft * static_cast<double>(refused.left_ms));
  return static_cast<uint32_t>(std::max<int64_t>(std::min(wanted_ms, latest_ms), 1));
}

uint32_t ReturnTimes::inTurnMs(Service& service, const RefusedRequest& refused, int64_t now_ms) {
  const double returns = std::max(kPartForReturns * static_cast<double>(service.ended.size()), 1.0);
  const auto gap_ms = static_cast<int64_t>(static_cast<double>(kWindowMs) / returns);
  const auto latest_ms =
      static_cast<int64_t>(kMostOfTimeLeft * static_cast<double>(refused.left_ms));
  const int64_t wanted_ms = std::max(service.last_return_ms + gap_ms, now_ms + kSoonestMs);
  if (wanted_ms - now_ms <= latest_ms) {
    // A caller that has to come sooner than its turn does not delay the others.
    service.last_return_ms = wanted_ms;
  }
  return static_cast<uint32_t>(std::max<int64_t>(std::min(wanted_ms - now_ms, latest_ms), 1));
}

uint32_t ReturnTimes::nextAfterMs(const RefusedRequest& refused, int64_t now_ms) {
  Service& service = services_[refused.service];
  service.refused.push_back(now_ms);
  dropUntil(service.refused, now_ms - kWindowMs - 1);
  dropUntil(service.ended, now_ms - kWindowMs - 1);
  const bool can_be_in_time =
      static_cast<double>(refused.until_late_ms) >=
      kSoonWhileLeft * static_cast<double>(std::max<int64_t>(refused.objective_ms, 1));
  if (can_be_in_time && !mostAreRefused(service)) {
    return soonMs(refused);
  }
  return inTurnMs(service, refused, now_ms);
}

} // namespace workshatch::relay
