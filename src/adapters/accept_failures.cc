#include "adapters/accept_failures.h"

#include <utility>

#include <boost/asio/error.hpp>

#include "adapters/logging/line_log.h"

namespace workshatch {

namespace {

constexpr std::chrono::milliseconds kPause{20};

} // namespace

std::chrono::milliseconds AcceptFailures::record(boost::system::error_code failure) {
  if (failure == boost::asio::error::connection_aborted) {
    // The client has gone; the next connection may be waiting.
    return std::chrono::milliseconds(0);
  }
  if (!std::exchange(failing_, true)) {
    line_log::write("accept_failed", {{"listener", listener_}, {"error", failure.message()}});
    line_log::flush();
  }
  return kPause;
}

} // namespace workshatch
