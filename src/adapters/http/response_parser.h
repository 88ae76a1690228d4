/// @file
/// Parser of responses, for all clients.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace workshatch::http {

/// @return whether a status code is in the range of HTTP, 100 to 599 (RFC 9110, 15). Any other says
/// neither what the response means nor whether it has a body.
constexpr bool isValidStatus(int code) {
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  return code >= kFirstStatus && code <= kLastStatus;
}

/// Beast's parser of responses. It also rejects a status code that is not valid, with the error
/// `bad_status`.
template <typename Body> class ResponseParser : public boost::beast::http::response_parser<Body> {
private:
  void on_response_impl(int code, boost::beast::string_view reason, int version,
                        boost::beast::error_code& error) override {
    if (!isValidStatus(code)) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    auto& response = this->get();
    response.result(static_cast<unsigned>(code));
    response.version(static_cast<unsigned>(version));
    response.reason(reason);
  }
};

} // namespace workshatch::http
