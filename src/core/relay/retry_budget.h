/// @file
/// The budget of retries, which all relays share without exchanging messages about it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace workshatch::relay {

/// Limits on the retries of a service that all relays together may make in any window.
struct RetryBudgetOptions {
  /// Retries allowed for each first attempt.
  double ratio = 0.2;
  int64_t window_ms = 10'000;
  /// Retries allowed beyond the ratio in each window, over all relays.
  double slack = 64;
  /// Random number from 0 to below 1, drawn by each process: rounds a share of less than one retry
  /// up or down.
  double draw = 0.5;
};

/// One relay's share of the budget. Its own requests earn it retries by the ratio. It has an equal
/// share of the slack, kept in a token bucket: at most half of the share is saved up, and the other
/// half accrues during a window.
///
/// In a large fleet a share is less than one retry, and so are the retries that a relay's few
/// requests earn: a bucket of less than one token would never allow any, however few retries the
/// whole fleet makes. There both parts are added up over the window, and the process's draw rounds
/// their sum, so that all relays together spend the sum of their shares.
///
/// Guarantee: while each relay knows how many relays there are, all relays together stay within the
/// ratio and the slack in every sliding window, also when processes restart and join: a bucket
/// starts empty, so a process that replaces another spends only what accrues in its own lifetime. A
/// relay that does not know the number of relays yet spends none of the slack, nor does one whose
/// last confirmation by the leader is older than a window: from then on the others may have taken
/// its share over. Its bucket starts empty again when it is confirmed.
///
/// Limit: a relay can't tell whether it alone is out of touch or there is no leader. While no
/// leader confirms any relay for longer than a window, retries come from the ratio alone.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  /// Sets the number of relays that share the slack. After a decrease, the higher number applies
  /// for another window, because the relays that left may have spent their shares in the present
  /// one.
  void setRelays(size_t relays, int64_t now_ms);

  /// Records that the leader counts this relay among the relays that share the slack.
  /// @param sent_ms when the renewal was sent that the leader has confirmed
  void recordConfirmed(int64_t sent_ms);

  /// Records the first attempt of a request.
  void recordRequest(const std::string& service, int64_t now_ms);

  /// Takes one retry from the budget.
  /// @return false if the budget is spent.
  bool takeRetry(const std::string& service, int64_t now_ms);

  /// Gives back a retry that was taken and not made.
  void returnRetry(const std::string& service);

  /// @return the number of relays that share the slack; 0: it is not known yet.
  size_t relays() const { return relays_; }

private:
  struct Spending {
    /// Times of first attempts within one window, and of the retries that are charged to them;
    /// where the draw is used, of all retries.
    std::deque<int64_t> requests;
    std::deque<int64_t> retries;
    /// Tokens of the slack, and when the bucket was last refilled.
    double tokens = 0;
    int64_t refilled_ms = 0;
  };

  void dropExpired(Spending& spending, int64_t now_ms) const;
  void refill(Spending& spending, int64_t now_ms) const;
  void adoptFewerRelays(int64_t now_ms);
  double bucketCapacity() const;
  bool sharesSlack(int64_t now_ms) const;
  bool takeByDraw(Spending& spending, int64_t now_ms) const;

  const RetryBudgetOptions options_;
  size_t relays_ = 0;
  /// The highest number reported since the reported numbers fell below `relays_`, and the time
  /// since which they have been lower; 0 if the last reported number was not lower.
  size_t fewer_relays_ = 0;
  int64_t fewer_since_ms_ = 0;
  /// The slack accrues from this time on; before, the number of relays was not known, or this relay
  /// was not counted among them.
  int64_t known_since_ms_ = 0;
  /// As in `recordConfirmed`; nullopt: there was no confirmation.
  std::optional<int64_t> confirmed_ms_;
  std::map<std::string, Spending> services_;
};

} // namespace workshatch::relay
