/// @file
/// Types shared by the HTTP server and client.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/header_text.h"

namespace workshatch::http {

template <typename T> using awaitable = boost::asio::awaitable<T>;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Verb = boost::beast::http::verb;
using Field = boost::beast::http::field;

inline std::string_view viewOf(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// @return the field's value, or nothing when it is missing or empty.
template <typename Fields>
std::optional<std::string> fieldOf(const Fields& fields, std::string_view name) {
  const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
  if (found == fields.end() || found->value().empty()) {
    return std::nullopt;
  }
  return std::string(viewOf(found->value()));
}

/// Sets a header. The one place where values of outside origin become headers: a value that could
/// end its header or begin another message is left out.
/// @return whether the header was set.
template <typename Fields>
bool setHeader(Fields& fields, std::string_view name, std::string_view value) {
  if (!isHeaderName(name) || !isHeaderValue(value)) {
    return false;
  }
  fields.set(boost::beast::string_view(name.data(), name.size()),
             boost::beast::string_view(value.data(), value.size()));
  return true;
}

/// Parses "ip:port", IPv6 in brackets.
/// @return nothing when the text is not an IP literal with a port.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// @return a response with a body; `Content-Length` is set.
Response makeResponse(Status status, std::string_view content_type, std::string body);

/// @return the value of a query parameter of a request target, percent-decoded, or nothing.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// @return the target without its query.
std::string_view pathOf(std::string_view target);

} // namespace workshatch::http
