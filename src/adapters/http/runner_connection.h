/// @file
/// Connections to back ends on which every byte is accounted for: what was sent, and whether the
/// next answer on the connection can only be the one that is due.
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

/// One connection. Lives on one event loop.
class RunnerConnection : public std::enable_shared_from_this<RunnerConnection> {
public:
  explicit RunnerConnection(boost::asio::io_context& context) : socket_(context), timer_(context) {}

  /// @return nothing on success.
  awaitable<std::optional<CallError>> connect(const boost::asio::ip::tcp::endpoint& endpoint,
                                              std::chrono::milliseconds timeout);

  /// Sends a request and reads the answer's header; both at the same time, since a runner may
  /// answer before it has read the whole body.
  /// @param request head and body as sent
  /// @param silence longest wait for the answer's first byte; zero: as long as it takes
  awaitable<std::optional<CallError>> exchange(std::string request,
                                               std::chrono::milliseconds timeout);

  /// Of the answer, after `exchange`.
  const boost::beast::http::response_header<>& head() const { return parser_->get().base(); }

  /// One part of the body; empty at its end.
  awaitable<std::variant<std::string, CallError>> read(std::chrono::milliseconds timeout);

  /// Ends the connection; what is in progress on it fails.
  void close();

  /// @return whether the answer ended whole, the request was sent whole, and nothing else came, so
  /// that the next request may follow.
  bool reusable() const;

  /// @return whether nothing is to be read, as on a connection that waits for a request.
  bool hasNoPendingInput();

private:
  void startReadTimer(std::chrono::milliseconds timeout);
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

/// Connections that wait for their next request, by address. Lives on one event loop.
class RunnerConnectionPool {
public:
  explicit RunnerConnectionPool(const Clock& clock) : clock_(clock) {}

  /// @return a connection that may be used, or null.
  std::shared_ptr<RunnerConnection> acquire(const std::string& address);
  /// Keeps a reusable connection for as long as the runner's answer allows.
  void release(const std::string& address, std::shared_ptr<RunnerConnection> connection);
  /// Closes connections that have waited too long.
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
