#include "adapters/http/connection_failure.h"

#include <algorithm>
#include <array>

#include <boost/asio/error.hpp>

namespace workshatch::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// @return whether an error says that the connection has failed, and not only that this process
/// could not make a call on it, or not yet.
bool isOfConnection(error_code error) {
  constexpr std::array<asio::error::basic_errors, 7> kOfThisProcess = {
      asio::error::operation_aborted, asio::error::would_block,    asio::error::try_again,
      asio::error::interrupted,       asio::error::bad_descriptor, asio::error::no_memory,
      asio::error::no_buffer_space};
  const bool of_this_process = std::any_of(kOfThisProcess.begin(), kOfThisProcess.end(),
                                           [error](auto own) { return error == own; });
  return error && error.category() == asio::error::get_system_category() && !of_this_process;
}

/// The system tells this error in place of a reset if the other end had ended its side before. All
/// that it had sent has arrived then.
constexpr auto kResetAfterEnd = asio::error::broken_pipe;

} // namespace

void ConnectionFailure::record(error_code error) {
  if (!first_ && isOfConnection(error)) {
    first_ = error;
  }
}

error_code ConnectionFailure::judgeEnd(error_code end) {
  ended_in_order_ = ended_in_order_ || !first_ || first_ == kResetAfterEnd;
  return ended_in_order_ ? end : first_;
}

bool ConnectionFailure::isReset() const {
  return first_ == asio::error::connection_reset || first_ == asio::error::connection_aborted ||
         first_ == kResetAfterEnd;
}

} // namespace workshatch::http
