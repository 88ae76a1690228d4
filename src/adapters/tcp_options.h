/// @file
/// Options of TCP connections that the library has no types for.
#pragma once

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace workshatch::tcp_options {

/// Sends small writes at once and fails a connection whose other side has been silent for
/// `peer_timeout`, although something was sent to it or a keep-alive probe was.
void configure(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

} // namespace workshatch::tcp_options
