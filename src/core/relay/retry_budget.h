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
};

/// One relay's part of the budget: its own requests give it the ratio, and of the slack it takes an
/// equal share. Only a part of both is spent, since windows of relays and judges differ.
/// Not safe for concurrent use.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  /// How many relays share the slack; at least 1 counts.
  void setRelays(size_t relays) { relays_ = relays == 0 ? 1 : relays; }

  /// Notes the first attempt of a request.
  void noteRequest(const std::string& service, int64_t now_ms);

  /// Takes one repeat from the budget. @return false when it is spent.
  bool takeRepeat(const std::string& service, int64_t now_ms);

  /// Repeats of the present window.
  size_t repeats(const std::string& service) const;

private:
  struct Spending {
    std::deque<int64_t> requests;
    std::deque<int64_t> repeats;
  };

  void forgetOld(Spending& spending, int64_t now_ms) const;

  const RetryBudgetOptions options_;
  size_t relays_ = 1;
  std::map<std::string, Spending> services_;
};

} // namespace workshatch::relay
