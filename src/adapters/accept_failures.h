/// @file
/// Failures to accept connections, which last for as long as the process has no descriptors or
/// memory left.
#pragma once

#include <chrono>
#include <string_view>

#include <boost/system/error_code.hpp>

namespace workshatch {

/// Logs the first failure of a series ("accept_failed"), and states when to try again. Not safe for
/// concurrent use.
class AcceptFailures {
public:
  /// @param listener literal that names the listener in the log
  explicit AcceptFailures(std::string_view listener) : listener_(listener) {}

  /// Records a failure. @return the pause before the next attempt: without it the attempts would
  /// take the processor from the requests whose end frees descriptors.
  std::chrono::milliseconds record(boost::system::error_code failure);
  /// A connection was accepted.
  void end() { failing_ = false; }

private:
  const std::string_view listener_;
  bool failing_ = false;
};

} // namespace workshatch
