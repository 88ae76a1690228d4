/// @file
/// HTTP/1.1 client on Boost.Beast with streamed responses and persistent connections.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include "adapters/http/http_types.h"
#include "adapters/http/idle_stream_pool.h"
#include "adapters/http/read_limits.h"
#include "adapters/http/response_parser.h"
#include "ports/clock.h"

namespace workshatch::http {

/// How far a call got before it failed. Decides whether the request may have been executed.
enum class CallPhase {
  /// No byte was written: the server has not received the request.
  NotSent,
  /// At least one byte may have been written.
  Sent,
};

/// What is known about a connection whose last operation failed.
enum class ConnectionState {
  /// It is open: a time limit has passed, or what arrived is no response.
  Open,
  /// The other end closed or reset it.
  ClosedByPeer,
  /// The other end does not acknowledge what is sent, or there is no way to it.
  PeerUnreachable,
  /// It was closed by this process.
  ClosedHere,
};

/// Why a call failed.
struct CallError {
  CallPhase phase = CallPhase::NotSent;
  bool timed_out = false;
  std::string message;
  /// The connection was refused: no process listens at the address.
  bool refused = false;
  ConnectionState connection = ConnectionState::ClosedHere;
};

struct CallOptions {
  /// Opens a new connection even if an idle one exists.
  bool fresh_connection = false;
  std::chrono::milliseconds connect_timeout{1000};
  /// Limit on the time from sending the request to receiving the response header, and on each read
  /// of the body.
  std::chrono::milliseconds read_timeout{30'000};
};

class Client;

/// A response whose body is read in parts. Used only on the worker that made the call. The client
/// must outlive it, since the connection returns to the client after the last read.
class ClientResponse {
public:
  ClientResponse(Client& client, std::string address);

  /// The status code; also one that has no name in `Status`, for which Beast's `result` is zero.
  Status status() const { return static_cast<Status>(parser_->get().result_int()); }
  std::optional<std::string> header(std::string_view name) const {
    return fieldOf(parser_->get(), name);
  }

  /// @return the next part of the body; empty at the end of the body.
  awaitable<std::variant<std::string, CallError>> read();
  /// @return the rest of the body, or an error if it has more than `limit` bytes: as soon as the
  /// header or a chunk states so.
  awaitable<std::variant<std::string, CallError>> readAll(size_t limit);

  void setReadTimeout(std::chrono::milliseconds timeout) { read_timeout_ = timeout; }

  /// Closes the connection. A read in progress fails.
  void cancel();

private:
  friend class Client;

  /// Reads the header of the final response. Interim responses are discarded; a response whose end
  /// is not certain is an error.
  awaitable<std::optional<CallError>> readHead();

  Client& client_;
  std::string address_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<ResponseParser<boost::beast::http::buffer_body>> parser_;
  std::chrono::milliseconds read_timeout_{0};
  bool cancelled_ = false;
};

/// @return the time in milliseconds for which the server asks the client to send no requests: the
/// Retry-After header of a response with status 429 or 503. Nothing for other responses, or if the
/// header is missing or cannot be parsed.
std::optional<uint32_t> requestedBackoffMs(const ClientResponse& response);

using CallResult = std::variant<std::unique_ptr<ClientResponse>, CallError>;

/// Cancels a call in progress. Used only on the worker that makes the call; must outlive the call.
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

/// Makes calls on one worker and keeps idle connections for reuse, for as long as the server
/// allows. Not safe for concurrent use.
class Client {
public:
  /// @param clock measures for how long connections are idle; must outlive the client
  Client(boost::asio::io_context& context, const Clock& clock) : context_(context), idle_(clock) {}

  /// Sends a request and reads the header of the response. Retries once on a new connection if an
  /// idle connection fails other than by a timeout or `cancel`; the retry may then execute the
  /// request a second time.
  /// @param cancel cancels the call from outside; may be null.
  awaitable<CallResult> call(const std::string& address, Request request, CallOptions options,
                             CallCancel* cancel = nullptr);

  /// Closes idle connections whose keep-alive time has passed. A client that is not called any more
  /// closes them only here, so its owner calls this periodically.
  void closeExpiredConnections() { idle_.closeExpired(); }

private:
  friend class ClientResponse;
  using Stream = IdleStreamPool::Stream;

  awaitable<std::variant<Stream, CallError>>
  connect(const std::string& address, const CallOptions& options, CallCancel* cancel);
  awaitable<CallResult> exchange(Stream stream, const std::string& address, Request& request,
                                 const CallOptions& options, CallCancel* cancel);

  boost::asio::io_context& context_;
  IdleStreamPool idle_;
};

} // namespace workshatch::http
