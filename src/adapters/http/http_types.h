/// @file
/// Types and helper functions shared by the HTTP server and client.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/// @return the value of a header field, or nothing if it is missing or empty.
template <typename Fields>
std::optional<std::string> fieldOf(const Fields& fields, std::string_view name) {
  const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
  if (found == fields.end() || found->value().empty()) {
    return std::nullopt;
  }
  return std::string(viewOf(found->value()));
}

/// @return the values of all header fields of this name that are not empty.
template <typename Fields>
std::vector<std::string> fieldsOf(const Fields& fields, std::string_view name) {
  const auto [begin, end] = fields.equal_range(boost::beast::string_view(name.data(), name.size()));
  std::vector<std::string> values;
  for (auto field = begin; field != end; ++field) {
    if (!field->value().empty()) {
      values.emplace_back(viewOf(field->value()));
    }
  }
  return values;
}

/// Sets a header field unless its name or value is invalid. All values from outside become header
/// fields through this function, which prevents header injection: a value with a line break could
/// end the field or begin another message.
/// @return whether the field was set.
template <typename Fields>
bool setHeader(Fields& fields, std::string_view name, std::string_view value) {
  if (!isHeaderName(name) || !isHeaderValue(value)) {
    return false;
  }
  fields.set(boost::beast::string_view(name.data(), name.size()),
             boost::beast::string_view(value.data(), value.size()));
  return true;
}

/// Parses "ip:port", with IPv6 addresses in brackets.
/// @return nothing if the text is not an IP literal with a port.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// @return a response with a body and a `Content-Length`.
Response makeResponse(Status status, std::string_view content_type, std::string body);

/// @return the percent-decoded value of a query parameter of a request target, or nothing.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// @return the request target without its query.
std::string_view pathOf(std::string_view target);

} // namespace workshatch::http
