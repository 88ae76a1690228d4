/// @file
/// Whether a connection has ended in order, as all operations on it together know.
#pragma once

#include <boost/system/error_code.hpp>

namespace workshatch::http {

/// The error with which the system has failed a connection, such as a reset.
///
/// The system tells that error to one call on the socket only, whichever comes first: a read, a
/// write, a look at the input or a question for the error. Reads after it find the end of the
/// input, as if the other end had ended its side in order, and a response that only the end of its
/// connection ends would count as complete. So each call on the socket records its error here at
/// once, and a read that finds the end asks whether it is one in order.
///
/// Guarantee: if all calls do so, an end counts as one in order only if the other end had ended its
/// side before the connection failed, whichever call was told of the failure.
///
/// Does no I/O. Not safe for concurrent use.
class ConnectionFailure {
public:
  /// Records the error of a call on the socket. An error that is none of the connection, as that
  /// nothing has arrived yet or that the call was cancelled, changes nothing.
  void record(boost::system::error_code error);

  /// Judges a read that has found the end of the input. The first end in order is final: what the
  /// system tells afterwards belongs to what this end sends.
  /// @param end result of the read, which may be no error
  /// @return the same if the end is one in order; otherwise the error that has failed the
  /// connection
  boost::system::error_code judgeEnd(boost::system::error_code end);

  /// @return the first error that was recorded; none while the connection has not failed.
  boost::system::error_code error() const { return first_; }
  /// @return whether the other end has reset the connection, before or after the end of its side.
  bool isReset() const;

private:
  boost::system::error_code first_;
  bool ended_in_order_ = false;
};

} // namespace workshatch::http
