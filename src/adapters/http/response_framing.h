/// @file
/// What the head of a response says about where the response ends.
#pragma once

#include <optional>
#include <string>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace workshatch::http {

/// @return whether the response is an interim one, which has no body and which the head of the
/// final response follows.
bool isInterim(const boost::beast::http::response_header<>& head);

/// @return why the response can't be relayed as complete wherever its body ends; nullopt if it can:
/// the connection changes to another protocol, or the body has a transfer coding that is not
/// supported.
std::optional<std::string> framingErrorOf(const boost::beast::http::response_header<>& head);

} // namespace workshatch::http
