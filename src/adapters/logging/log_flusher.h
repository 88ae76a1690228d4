/// @file
/// Periodic flush of the log lines buffered by line_log.
#pragma once

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/logging/line_log.h"

namespace workshatch {

/// Flushes the log every 50 ms on its event loop, from `start` until it is destroyed or the loop
/// ends.
class LogFlusher {
public:
  explicit LogFlusher(boost::asio::io_context& context) : timer_(context) {}

  void start() {
    line_log::flush();
    timer_.expires_after(kPeriod);
    timer_.async_wait([this](boost::system::error_code failure) {
      if (!failure) {
        start();
      }
    });
  }

private:
  static constexpr std::chrono::milliseconds kPeriod{50};

  boost::asio::steady_timer timer_;
};

} // namespace workshatch
