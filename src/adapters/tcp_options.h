/// @file
/// TCP socket options that Boost.Asio does not provide.
#pragma once

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace workshatch::tcp_options {

/// Disables Nagle's algorithm, enables keep-alive probes, and sets the time after which a
/// connection fails if its peer does not acknowledge sent data or probes.
/// @param peer_timeout time without an acknowledgement
void configure(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

} // namespace workshatch::tcp_options
