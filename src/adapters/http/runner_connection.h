/// @file
/// HTTP/1.1 connections to runners, and a pool of idle ones. A connection is reused only if the
/// previous request was sent and answered completely and nothing else arrived, so that a response
/// is never matched to the wrong request.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "adapters/http/http_client.h"
#include "adapters/http/http_types.h"
#include "ports/clock.h"

namespace workshatch::http {

/// One connection. Used only on its event loop.
class RunnerConnection : public std::enable_shared_from_this<RunnerConnection> {
public:
  explicit RunnerConnection(boost::asio::io_context& context) : socket_(context), timer_(context) {}

  /// Opens the connection. @return an error, or nothing on success.
  awaitable<std::optional<CallError>> connect(const boost::asio::ip::tcp::endpoint& endpoint,
                                              std::chrono::milliseconds timeout);

  /// Sends a request and concurrently reads the header of the response, since a runner may respond
  /// before it has read the whole body.
  /// @param request serialized head and body
  /// @param timeout longest wait for the header of the response; zero means no limit
  /// @return an error, or nothing on success.
  awaitable<std::optional<CallError>> exchange(std::string request,
                                               std::chrono::milliseconds timeout);

  /// Header of the response; valid after a successful `exchange`.
  const boost::beast::http::response_header<>& head() const { return parser_->get().base(); }

  /// @param timeout longest wait for the next bytes; zero means no limit
  /// @return the next part of the body; empty at the end of the body.
  awaitable<std::variant<std::string, CallError>> read(std::chrono::milliseconds timeout);

  /// Sets how soon the connection fails if the runner is silent: sooner while it is idle.
  void setIdle(bool idle);

  /// Closes the connection. Operations in progress fail.
  void close();

  /// @return whether the response was received completely, and only the end of the connection says
  /// so: a process that crashes may end it in the same way.
  bool endedByClose() const { return parser_ && parser_->is_done() && parser_->need_eof(); }

  /// @return whether another request may be sent: the last request was sent completely, its
  /// response was received completely and allows it, and no further bytes arrived.
  bool reusable() const;

  /// @return whether the connection is open and has no unread input, as expected of an idle
  /// connection.
  bool hasNoPendingInput();

private:
  /// Closes the connection after the given time unless the timer is restarted; zero stops the
  /// timer.
  void startTimer(std::chrono::milliseconds timeout);
  CallError makeError(CallPhase phase, boost::system::error_code error) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string request_;
  bool request_sent_ = false;
  bool closed_ = false;
  bool timed_out_ = false;
  uint64_t timeout_generation_ = 0;
};

/// Pool of idle connections, by address. Used only on one event loop.
class RunnerConnectionPool {
public:
  explicit RunnerConnectionPool(const Clock& clock) : clock_(clock) {}

  /// Removes a usable connection from the pool. @return null if there is none.
  std::shared_ptr<RunnerConnection> acquire(const std::string& address);
  /// Adds a reusable connection to the pool, for as long as the Keep-Alive header of the runner's
  /// last response allows.
  void release(const std::string& address, std::shared_ptr<RunnerConnection> connection);
  /// Closes the idle connections to an address.
  void closeIdle(const std::string& address) { idle_.erase(address); }
  /// Closes connections whose keep-alive time has expired.
  void dropExpired();

private:
  struct Idle {
    std::shared_ptr<RunnerConnection> connection;
    int64_t expires_ms = 0;
  };

  const Clock& clock_;
  std::map<std::string, std::vector<Idle>> idle_;
};

} // namespace workshatch::http
