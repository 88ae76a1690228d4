/// @file
/// What the head of a response says about where the response ends.
#pragma once

#include <optional>
#include <string>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace workshatch::http {

/// @return whether the response is an interim one, which has no body and which the head of another
/// response follows.
bool isInterim(const boost::beast::http::response_header<>& head);

/// @return whether the head states a body that a response with its status never has (RFC 9110,
/// 8.6; RFC 9112, 6.1), so that bytes after the head may be that body or the next response.
bool statesForbiddenBody(const boost::beast::http::response_header<>& head);

/// @return why the response can't be relayed as complete wherever its body ends, or, if it is an
/// interim one, why it is not certain where the next one begins; nullopt if there is no such
/// reason: the connection changes to another protocol, the body has a transfer coding that is not
/// supported, or an interim response states a body.
std::optional<std::string> framingErrorOf(const boost::beast::http::response_header<>& head);

} // namespace workshatch::http
