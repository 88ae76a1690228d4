#include "daemon/relay/lease_wait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace workshatch::daemon {

namespace asio = boost::asio;

asio::awaitable<void> LeaseWait::wait(std::chrono::milliseconds longest) {
  if (waiting_.size() >= kMaxWaiting) {
    co_return;
  }
  asio::steady_timer timer(context_, longest);
  waiting_.insert(&timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  waiting_.erase(&timer);
}

void LeaseWait::wakeAll() {
  for (asio::steady_timer* timer : waiting_) {
    timer->cancel();
  }
}

} // namespace workshatch::daemon
