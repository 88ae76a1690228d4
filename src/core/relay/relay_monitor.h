/// @file
/// Which relays the leader takes to be silent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace workshatch::relay {

/// Finds relays whose machine has lost power or is cut off, while their links stay open.
///
/// Load pattern: hundreds of relays that renew once in a second or more, so that a silence of a few
/// renewals lasts for seconds, in which callers are told to go there and other relays ask them for
/// places. But relays ask one another many times a second. One that gets no answer in time says so,
/// and the leader asks the silent one to renew at once: a relay that was only busy does, and one
/// that is gone is known to be after some hundred milliseconds, however many relays there are.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RelayMonitor {
public:
  /// Notes a renewal.
  void recordRenewal(const std::string& relay, int64_t now_ms) {
    watched_[relay] = Watched{now_ms, 0};
  }
  void forget(const std::string& relay) { watched_.erase(relay); }
  void clear() { watched_.clear(); }

  /// Notes that another relay got no answer from this one.
  /// @return whether it shall be asked to renew at once.
  bool reportUnanswered(const std::string& relay, int64_t now_ms);

  /// Takes out and returns the relays that renewed nothing for some periods, or not when they were
  /// asked to.
  /// @param period_ms how often relays renew
  std::vector<std::string> takeSilent(int64_t period_ms, int64_t now_ms);

private:
  struct Watched {
    int64_t renewed_ms = 0;
    /// When it was asked to renew, since the last renewal; zero: it was not.
    int64_t asked_ms = 0;
  };

  std::map<std::string, Watched> watched_;
};

} // namespace workshatch::relay
