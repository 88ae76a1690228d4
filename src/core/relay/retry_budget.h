/// @file
/// The budget of repeated attempts, shared by all relays without messages.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace workshatch::relay {

/// What all relays together may spend on a service in any window.
struct RetryBudgetOptions {
  /// Repeats allowed for each first attempt.
  double ratio = 0.2;
  int64_t window_ms = 10'000;
  /// Repeats allowed beyond the ratio, in each window, over all relays.
  double slack = 64;
  /// From 0 to below 1, drawn by each process: rounds a share of less than one repeat up or down.
  double draw = 0.5;
};

/// One relay's part of the budget. Its own requests earn it the ratio. Of the slack it has an equal
/// share as a token bucket: half of the share at most is saved up, the other half comes back over a
/// window.
///
/// In a large fleet a share is less than one repeat, and so is what a relay's few requests earn: a
/// bucket of less than one would never give any, however few repeats the whole fleet makes. There
/// both parts count together over the window, and the process's lot rounds their sum, so that all
/// relays together spend the sum of their shares.
///
/// Guarantee: while each relay knows how many there are, all relays together stay inside the ratio
/// and the slack in every sliding window, also when processes restart and join: a bucket starts
/// empty, so a process that takes over from another spends only what accrues in its own time.
/// A relay that has not been told how many there are spends none of the slack.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  /// Notes how many relays share the slack. After a fall, the higher number counts for another
  /// window, since those that went may have spent their shares in this one.
  void setRelays(size_t relays, int64_t now_ms);

  /// Notes the first attempt of a request.
  void recordRequest(const std::string& service, int64_t now_ms);

  /// Takes one repeat from the budget. @return false when it is spent.
  bool takeRetry(const std::string& service, int64_t now_ms);

private:
  struct Spending {
    /// Times of first attempts and of repeats charged to them, of one window. By lot: of all
    /// repeats.
    std::deque<int64_t> requests;
    std::deque<int64_t> repeats;
    /// Tokens of the slack, and when they were last added up.
    double tokens = 0;
    int64_t filled_at_ms = 0;
  };

  void forgetOld(Spending& spending, int64_t now_ms) const;
  void refill(Spending& spending, int64_t now_ms) const;
  void lowerRelays(int64_t now_ms);
  double mostTokens() const;
  bool takeByDraw(Spending& spending, int64_t now_ms) const;

  const RetryBudgetOptions options_;
  size_t relays_ = 0;
  /// The number told last, when it is lower than `relays_`, and since when.
  size_t fewer_relays_ = 0;
  int64_t fewer_since_ms_ = 0;
  /// Slack accrues from here on; earlier the number of relays was not known.
  int64_t known_since_ms_ = 0;
  std::map<std::string, Spending> services_;
};

} // namespace workshatch::relay
