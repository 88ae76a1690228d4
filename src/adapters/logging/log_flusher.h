/// @file
/// Writes buffered log lines out every few milliseconds.
#pragma once

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/logging/line_log.h"

namespace workshatch {

/// Lives on its event loop; ends with it or when destroyed.
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
