/// @file
/// How long an idle HTTP/1.1 connection may be kept for reuse.
#pragma once

#include <cstdint>

#include <boost/beast/http/message.hpp>

namespace workshatch::http {

/// @return the time in milliseconds for which the connection of a response may be kept while it is
/// idle: 70% of the timeout in the server's Keep-Alive header, at most 20 s. The margin prevents a
/// request from being sent on a connection that the server is just closing. Without the header 3 s,
/// below the shortest default of common servers (5 s). A header without a timeout gives zero.
int64_t keepAliveMsOf(const boost::beast::http::response_header<>& head);

} // namespace workshatch::http
