/// @file
/// HTTP/1.1 client on Boost.Beast with streamed answers and kept connections.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "adapters/http/http_types.h"

namespace workshatch::http {

/// How far a call came before it failed.
enum class CallPhase {
  /// No byte was written: the other side has not seen the request.
  NotSent,
  /// At least one byte may have been written.
  Sent,
};

struct CallError {
  CallPhase phase = CallPhase::NotSent;
  bool timed_out = false;
  std::string message;
  /// Nobody listened at the address.
  bool refused = false;
};

struct CallOptions {
  /// Never uses a kept connection.
  bool fresh_connection = false;
  std::chrono::milliseconds connect_timeout{1000};
  /// Bound on the time to the answer's header and on each later read.
  std::chrono::milliseconds read_timeout{30'000};
};

class Client;

/// An answer whose body is read in parts. Lives on the worker that made the call.
class ClientResponse {
public:
  ClientResponse(Client& client, std::string address);

  Status status() const { return parser_.get().result(); }
  std::optional<std::string> header(std::string_view name) const {
    return fieldOf(parser_.get(), name);
  }

  /// One part of the body; empty at its end.
  awaitable<std::variant<std::string, CallError>> read();
  /// The rest of the body, at most `limit` bytes.
  awaitable<std::variant<std::string, CallError>> readAll(size_t limit);

  void setReadTimeout(std::chrono::milliseconds timeout) { read_timeout_ = timeout; }

  /// Closes the connection; a read in progress fails.
  void cancel();

private:
  friend class Client;
  Client& client_;
  std::string address_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
  std::chrono::milliseconds read_timeout_{0};
  bool cancelled_ = false;
};

/// @return for how many milliseconds the server wants no further calls: it turned this one away
/// (429, 503) and told a time. Nothing: it did not, or its time can't be read.
std::optional<uint32_t> requestedBackoffMs(const ClientResponse& response);

using CallResult = std::variant<std::unique_ptr<ClientResponse>, CallError>;

/// Stops a call from outside. Lives on the worker that makes the call.
class CallCancel {
public:
  void cancel();
  bool cancelled() const { return cancelled_; }

private:
  friend class Client;
  friend class ClientResponse;
  boost::beast::tcp_stream* stream_ = nullptr;
  bool cancelled_ = false;
};

/// Calls from one worker; not safe for concurrent use.
class Client {
public:
  explicit Client(boost::asio::io_context& context) : context_(context) {}

  /// Sends a request and reads the answer's header.
  awaitable<CallResult> call(const std::string& address, Request request, CallOptions options,
                             CallCancel* cancel = nullptr);

private:
  friend class ClientResponse;
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;

  awaitable<std::variant<Stream, CallError>>
  connect(const std::string& address, const CallOptions& options, CallCancel* cancel);
  awaitable<CallResult> exchange(Stream stream, const std::string& address, Request& request,
                                 const CallOptions& options, CallCancel* cancel);
  Stream takeIdle(const std::string& address);
  void addIdle(const std::string& address, Stream stream);

  boost::asio::io_context& context_;
  std::map<std::string, std::vector<Stream>> idle_;
};

} // namespace workshatch::http
