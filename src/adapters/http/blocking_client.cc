#include "adapters/http/blocking_client.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/http/read_limits.h"
#include "adapters/http/response_framing.h"
#include "adapters/http/response_parser.h"

namespace workshatch::http {

namespace beast = boost::beast;

namespace {

constexpr std::chrono::seconds kTimeout{30};

/// Runs one asynchronous operation until it completes. Synchronous operations would ignore the
/// timeout of the stream.
template <typename Start> beast::error_code runStep(boost::asio::io_context& context, Start start) {
  beast::error_code result;
  start([&result](beast::error_code failure, auto&&...) { result = failure; });
  context.restart();
  context.run();
  return result;
}

/// Reads the final response. Interim responses are discarded; a response whose end is not certain
/// is an error.
Result<Response> readResponse(boost::asio::io_context& context, beast::tcp_stream& stream) {
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  std::optional<ResponseParser<beast::http::string_body>> parser;
  do {
    parser.emplace();
    const beast::error_code failure = runStep(
        context, [&](auto done) { beast::http::async_read_header(stream, buffer, *parser, done); });
    if (failure) {
      return Error{failure.message()};
    }
    if (auto framing_error = framingErrorOf(parser->get().base())) {
      return Error{*std::move(framing_error)};
    }
  } while (isInterim(parser->get().base()));
  const beast::error_code failure =
      runStep(context, [&](auto done) { beast::http::async_read(stream, buffer, *parser, done); });
  if (failure) {
    return Error{failure.message()};
  }
  return parser->release();
}

} // namespace

Result<Response> blockingCall(const std::string& address, Verb method, const std::string& target,
                              const std::string& body, const std::vector<RequestHeader>& headers) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    return Error{"not an address \"ip:port\": " + address};
  }
  boost::asio::io_context context(1);
  beast::tcp_stream stream(context);
  stream.expires_after(kTimeout);
  beast::error_code failure =
      runStep(context, [&](auto done) { stream.async_connect(*endpoint, done); });
  Request request(method, target, 11);
  request.set(Field::host, address);
  for (const RequestHeader& header : headers) {
    request.set(header.name, header.value);
  }
  request.body() = body;
  request.prepare_payload();
  if (!failure) {
    failure = runStep(context, [&](auto done) { beast::http::async_write(stream, request, done); });
  }
  if (failure) {
    return Error{address + ": " + failure.message()};
  }
  Result<Response> response = readResponse(context, stream);
  if (isError(response)) {
    return Error{address + ": " + errorOf(response).message};
  }
  return response;
}

Result<std::string> blockingGet(const std::string& address, const std::string& target) {
  const auto result = blockingCall(address, Verb::get, target, "", {});
  if (isError(result)) {
    return errorOf(result);
  }
  const auto& response = std::get<Response>(result);
  if (response.result() != Status::ok) {
    return Error{address + " answered " + std::to_string(response.result_int()) + ": " +
                 response.body()};
  }
  return response.body();
}

} // namespace workshatch::http
