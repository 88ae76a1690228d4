/// @file
/// Pool of idle client connections, by address. A connection leaves the pool when it is reused or
/// when its keep-alive time has passed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/beast/core/tcp_stream.hpp>

#include "ports/clock.h"

namespace workshatch::http {

/// Idle connections of one Client. Not safe for concurrent use: used only on the client's worker.
class IdleStreamPool {
public:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;

  /// @param clock must outlive the pool
  explicit IdleStreamPool(const Clock& clock) : clock_(clock) {}

  /// Removes a usable connection from the pool, the most recently used one first, so that
  /// connections that are not needed stay idle until they expire. @return null if there is none.
  Stream acquire(const std::string& address);

  /// Adds a connection whose last response was received completely. Closes it instead if the
  /// address has 64 idle connections or `keep_alive_ms` is not positive.
  /// @param keep_alive_ms time for which the connection is kept while it is idle, in milliseconds
  void release(const std::string& address, Stream stream, int64_t keep_alive_ms);

  /// Closes the connections whose keep-alive time has passed.
  void closeExpired();

private:
  struct Idle {
    Stream stream;
    /// When the keep-alive time has passed, in milliseconds of the monotonic clock.
    int64_t expires_ms = 0;
  };

  const Clock& clock_;
  std::map<std::string, std::vector<Idle>> idle_;
};

} // namespace workshatch::http
