/// @file
/// Tests of the validation of header names and values.
#include <boost/beast/http/fields.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_types.h"
#include "core/header_text.h"

namespace workshatch::test {

TEST_CASE("A value with control characters is no header value") {
  CHECK(isHeaderValue("plain text, 42"));
  CHECK(isHeaderValue(""));
  CHECK(isHeaderValue("tab\tand \xc3\xa4"));
  CHECK_FALSE(isHeaderValue("a\r\nX-Tenant: other"));
  CHECK_FALSE(isHeaderValue("a\nb"));
  CHECK_FALSE(isHeaderValue(std::string_view("a\0b", 3)));
  CHECK_FALSE(isHeaderValue("a\x7f"));
}

TEST_CASE("A header name must be a token") {
  CHECK(isHeaderName("X-Request-Id"));
  CHECK_FALSE(isHeaderName(""));
  CHECK_FALSE(isHeaderName("X Y"));
  CHECK_FALSE(isHeaderName("X:"));
}

TEST_CASE("setHeader omits a value that could smuggle a request") {
  boost::beast::http::fields fields;
  CHECK(http::setHeader(fields, "X-Good", "value"));
  CHECK_FALSE(http::setHeader(fields, "X-Bad", "a\r\n\r\nGET / HTTP/1.1"));
  CHECK(fields.count("X-Good") == 1);
  CHECK(fields.count("X-Bad") == 0);
}

} // namespace workshatch::test
