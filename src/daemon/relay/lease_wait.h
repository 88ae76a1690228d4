/// @file
/// Delays requests that arrive before the relay's first lease until the lease is granted.
#pragma once

#include <chrono>
#include <cstddef>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace workshatch::daemon {

/// Lets coroutines wait for the first lease. Lives on the relay's event loop; not safe for
/// concurrent use.
///
/// Guarantee: at most `kMaxWaiting` coroutines wait; each resumes when the lease is granted or its
/// own timeout expires.
class LeaseWait {
public:
  explicit LeaseWait(boost::asio::io_context& context) : context_(context) {}

  /// Returns after `wakeAll` or after `longest`, whichever is first; immediately if the maximum
  /// number of coroutines are already waiting.
  boost::asio::awaitable<void> wait(std::chrono::milliseconds longest);
  /// Resumes all waiting coroutines; to be called when the lease is granted.
  void wakeAll();

private:
  /// Bounds memory. Twice the number of requests that a site of ten relays receives (250 per
  /// second) during the 600 ms for which requests wait for a first lease.
  static constexpr size_t kMaxWaiting = 300;

  boost::asio::io_context& context_;
  /// Timers of the waiting coroutines; each is owned by its coroutine.
  std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace workshatch::daemon
