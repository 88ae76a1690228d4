/// @file
/// Requests that came to a relay before its first lease and wait for it.
#pragma once

#include <chrono>
#include <cstddef>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace workshatch::daemon {

/// Lives on the relay's event loop.
///
/// Guarantee: at most `kMaxWaiting` wait; each is woken by the lease or by its own limit.
class LeaseWait {
public:
  explicit LeaseWait(boost::asio::io_context& context) : context_(context) {}

  /// Returns when the lease has come or `longest` is over; at once when too many wait already.
  boost::asio::awaitable<void> wait(std::chrono::milliseconds longest);
  /// The lease has come.
  void wakeAll();

private:
  /// Bounds memory: twice the requests of a whole site of ten relays (250 a second) in the 600 ms
  /// for which a first lease is waited for.
  static constexpr size_t kMaxWaiting = 300;

  boost::asio::io_context& context_;
  /// Timers of those that wait; each lives in its coroutine.
  std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace workshatch::daemon
