#include "adapters/bind_wait.h"

#include <thread>

#include <boost/asio/error.hpp>

#include "adapters/logging/line_log.h"

namespace workshatch {

boost::system::error_code bindWhenFree(const std::string& address,
                                       const std::function<boost::system::error_code()>& bind) {
  boost::system::error_code failure = bind();
  if (failure != boost::asio::error::address_in_use) {
    return failure;
  }
  line_log::write("address_in_use", {{"address", address}, {"wait_ms", kMaxHeldWait.count()}});
  line_log::flush();
  const auto until = std::chrono::steady_clock::now() + kMaxHeldWait;
  while (failure == boost::asio::error::address_in_use &&
         std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kHeldPoll);
    failure = bind();
  }
  return failure;
}

} // namespace workshatch
