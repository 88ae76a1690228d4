/// @file
/// A peer that sends bytes without end.
#pragma once

#include <cstddef>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace workshatch::test {

/// More than a process holds of one message, and the kernel of one connection.
inline constexpr size_t kEndlessBytes = size_t{128} * 1024 * 1024;

/// Writes until the other end closes the connection, up to a limit. @return the bytes written.
inline size_t writeWithoutEnd(boost::asio::ip::tcp::socket& socket) {
  const std::string piece(size_t{64} * 1024, 'x');
  boost::system::error_code failure;
  size_t written = 0;
  while (!failure && written < kEndlessBytes) {
    written += boost::asio::write(socket, boost::asio::buffer(piece), failure);
  }
  return written;
}

} // namespace workshatch::test
