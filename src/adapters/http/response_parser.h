/// @file
/// Parser of responses, for all clients.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "adapters/http/http_types.h"

namespace workshatch::http {

/// @return whether a status code is in the range of HTTP, 100 to 599 (RFC 9110, 15). Any other says
/// neither what the response means nor whether it has a body.
constexpr bool isValidStatus(int code) {
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  return code >= kFirstStatus && code <= kLastStatus;
}

/// @param name of a field, as Beast's parser gives it: a view of the parser's input
/// @param value of the field: a view of the input, behind the colon and blanks, if it has one line;
/// of several lines Beast gives a copy, or a view of a later line
/// @return whether the value has several lines, which a proxy must not forward (RFC 9112, 5.2).
inline bool isFolded(boost::beast::string_view name, boost::beast::string_view value) {
  // The input has the whole line, so the loop ends at its end at the latest.
  const char* first = name.data() + name.size() + 1;
  while (*first == ' ' || *first == '\t') {
    ++first;
  }
  return value.data() != first;
}

/// Beast's parser of responses. It also rejects a status code that is not valid, with the error
/// `bad_status`, and a folded field of a head or a trailer, with `bad_field`.
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

  void on_field_impl(Field field, boost::beast::string_view name, boost::beast::string_view value,
                     boost::beast::error_code& error) override {
    if (isFolded(name, value)) {
      error = boost::beast::http::error::bad_field;
      return;
    }
    this->get().insert(field, name, value);
  }
};

} // namespace workshatch::http
