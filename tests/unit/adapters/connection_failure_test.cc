/// @file
/// Tests of which end of a connection counts as one in order. The tests are named after the
/// failures that they guard against.
#include <boost/asio/error.hpp>
#include <doctest/doctest.h>

#include "adapters/http/connection_failure.h"

namespace workshatch::test {

namespace asio = boost::asio;
using boost::system::error_code;
using http::ConnectionFailure;

namespace {

const error_code kEnd = asio::error::eof;

} // namespace

TEST_CASE("An end counts as one in order after a call was told that the connection has failed") {
  for (const error_code error :
       {error_code(asio::error::connection_reset), error_code(asio::error::timed_out),
        error_code(asio::error::host_unreachable), error_code(asio::error::network_down)}) {
    CAPTURE(error.message());
    ConnectionFailure failure;
    failure.record(error);
    failure.record(asio::error::broken_pipe);
    CHECK(failure.judgeEnd(kEnd) == error);
    CHECK(failure.judgeEnd({}) == error);
    CHECK(failure.isReset() == (error == asio::error::connection_reset));
  }
}

TEST_CASE("An end in order counts as a failure for what the system tells after it") {
  ConnectionFailure failure;
  CHECK(failure.judgeEnd({}) == error_code());
  failure.record(asio::error::connection_reset);
  CHECK(failure.judgeEnd(kEnd) == kEnd);
  CHECK(failure.isReset());
}

TEST_CASE("An end counts as a failure since the reset that came after it was told first") {
  ConnectionFailure failure;
  failure.record(asio::error::broken_pipe);
  failure.record(asio::error::connection_reset);
  CHECK(failure.judgeEnd(kEnd) == kEnd);
  CHECK(failure.isReset());
}

TEST_CASE("An error that is none of the connection makes its end a failure") {
  ConnectionFailure failure;
  for (const error_code error :
       {error_code(), error_code(asio::error::operation_aborted),
        error_code(asio::error::would_block), error_code(asio::error::bad_descriptor), kEnd}) {
    CAPTURE(error.message());
    failure.record(error);
    CHECK_FALSE(failure.isReset());
  }
  CHECK(failure.judgeEnd(kEnd) == kEnd);
}

} // namespace workshatch::test
