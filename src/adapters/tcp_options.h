/// @file
/// TCP socket options that Boost.Asio does not provide.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace workshatch::tcp_options {

/// Peer timeout of a connection with a request in progress. A runner may be silent for a second or
/// so and go on.
inline constexpr std::chrono::milliseconds kRequestPeerTimeout{3000};
/// Peer timeout of an idle connection: a new one costs less than a request on a dead one.
inline constexpr std::chrono::milliseconds kIdlePeerTimeout{1500};

/// Disables Nagle's algorithm, enables keep-alive probes, and sets the time after which a
/// connection fails if its peer does not acknowledge sent data or probes.
/// @param peer_timeout time without an acknowledgement; probes are sent each second
void configure(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

/// @return whether the other end has acknowledged everything that was sent, also the end of
/// sending; nothing if the system does not tell.
std::optional<bool> allAcknowledged(boost::asio::ip::tcp::socket& socket);
/// @return the number of bytes that were sent or wait to be sent, and that the other end has not
/// acknowledged; nothing if the system does not tell.
std::optional<size_t> unacknowledgedBytes(boost::asio::ip::tcp::socket& socket);
/// @return the error with which the connection has failed, such as a reset, if no other call on the
/// socket was told of it; no later call is.
boost::system::error_code takeError(boost::asio::ip::tcp::socket& socket);

/// Changes the time after which a configured connection fails.
void setPeerTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

} // namespace workshatch::tcp_options
