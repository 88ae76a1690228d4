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

#include "adapters/http/connection_failure.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_types.h"
#include "adapters/http/read_limits.h"
#include "adapters/http/response_parser.h"
#include "adapters/tcp_options.h"
#include "ports/clock.h"

namespace workshatch::http {

/// One connection. Used only on its event loop, and by one coroutine at a time.
///
/// A time limit that passes while a response is awaited does not end the connection: the same call
/// may be made again to wait on, and bytes that arrive meanwhile are not lost. The owner decides
/// whether to close.
///
/// A body that only the end of the connection ends is complete if the runner has ended its side in
/// order and does not close the connection wholly while it is being sent the request. It is
/// incomplete if the connection fails before that is known, whichever operation the system tells of
/// it (`ConnectionFailure`).
class RunnerConnection : public std::enable_shared_from_this<RunnerConnection> {
public:
  explicit RunnerConnection(boost::asio::io_context& context) : socket_(context), timer_(context) {}

  /// Opens the connection. @return an error, or nothing on success.
  awaitable<std::optional<CallError>> connect(const boost::asio::ip::tcp::endpoint& endpoint,
                                              std::chrono::milliseconds timeout);

  /// Begins to send a request, and concurrently to read the header of the response, since a runner
  /// may respond before it has read the whole body.
  /// @param request serialized head and body
  void send(std::string request);

  /// Waits for the header of the final response to the request that was sent. Interim responses are
  /// discarded; a response whose end is not certain is an error.
  /// @param timeout longest wait; zero means no limit
  /// @return an error, or nothing on success.
  awaitable<std::optional<CallError>> awaitHead(std::chrono::milliseconds timeout);

  /// Header of the response; valid after a successful `awaitHead`.
  const boost::beast::http::response_header<>& head() const { return parser_->get().base(); }

  /// @return whether the end of the response's body is marked, so that another response can follow.
  bool hasMarkedEnd() const { return !parser_->need_eof(); }
  /// @return the length of the body that the header states; nullopt if it states none.
  std::optional<uint64_t> statedBodyBytes() const;
  /// Limits the rest of the body of the response whose header has arrived. A read fails once more
  /// arrives, or as soon as a chunk states that more will.
  /// @return false if the header states a longer body.
  bool limitBody(uint64_t max_bytes);
  /// Begins to read the header of another response, after the whole body of the last one was read.
  void expectNextResponse() { beginReadingHead(); }

  /// @param timeout longest wait for the next bytes; zero means no limit
  /// @return the next part of the body; empty at the end of the body. An end that only the end of
  /// the runner's side marks is told late, by a round trip or so, while the request is being sent.
  awaitable<std::variant<std::string, CallError>> read(std::chrono::milliseconds timeout);

  /// Tells the other end that nothing more will be sent. It may go on sending. The connection can't
  /// be reused.
  void endSending();
  bool sendingEnded() const { return sending_ended_; }
  /// @return whether the machine at the other end has acknowledged everything that was sent, also
  /// the end of sending; nothing if the system does not tell.
  std::optional<bool> allAcknowledged() { return tcp_options::allAcknowledged(socket_); }
  /// Waits until the header or part of the body that is being awaited has arrived or has failed.
  /// @return nothing if it is still awaited after the time; otherwise the state of the connection.
  awaitable<std::optional<ConnectionState>> awaitProgress(std::chrono::milliseconds timeout);
  /// Ends sending, and discards what arrives until the other end closes the connection, for this
  /// time at most. If the other end has ended sending before, an empty line is sent first unless
  /// part of the request is still unsent: one that has closed the connection responds to either
  /// with a reset. No response can be read afterwards.
  /// @return the state of the connection; `Open` if the other end has not closed it.
  awaitable<ConnectionState> discardUntilClosed(std::chrono::milliseconds timeout);
  /// @return whether a read has failed because the connection was reset.
  bool wasReset() const { return read_reset_; }
  /// @return whether the other end is known to have closed the connection, and not only the side on
  /// which it sends: it has reset the connection, at the latest when it got what
  /// `discardUntilClosed` sends, or has ended its side after this one.
  bool closedWholly();
  /// @return whether the other end has not ended its side of the connection.
  bool isOpen() { return !closed_ && peekInput() != Input::Ended; }
  /// @return whether a header or part of a body is awaited and has not arrived or failed yet.
  bool isAwaitingResponse() const { return reading_; }
  /// Ends the wait for a response as if its time limit had passed.
  void endWait() { timer_.cancel(); }
  /// Prevents that the connection is reused, since what arrives belongs to no request for certain.
  void preventReuse() { reuse_prevented_ = true; }

  /// Sets how soon the connection fails if the runner is silent: sooner while it is idle.
  void setIdle(bool idle);

  /// Closes the connection. Operations in progress fail.
  void close();

  /// @return whether the response was received completely, and only the end of the connection says
  /// so: a process that crashes may end it in the same way.
  bool endedByClose() const { return !read_error_ && bodyEndedWithInput(); }

  /// @return whether another request may be sent: the last request was sent completely, its
  /// response was received completely and allows it, and no further bytes arrived.
  bool reusable() const;

  /// @return whether the connection is open and has no unread input, as expected of an idle
  /// connection.
  bool hasNoPendingInput() { return peekInput() == Input::None; }

private:
  /// Input that has arrived and was not read.
  enum class Input { None, Pending, Ended };

  Input peekInput();
  /// Closes the connection after the given time unless the timer is restarted; zero stops the
  /// timer.
  void startTimer(std::chrono::milliseconds timeout);
  CallError makeError(CallPhase phase, boost::system::error_code error) const;
  ConnectionState stateAfter(boost::system::error_code error) const;
  void continueSending();
  void awaitSending();
  void freeRequest();
  void sendEmptyLine();
  /// @return whether the end of the input has ended the body of the response.
  bool bodyEndedWithInput() const { return parser_ && parser_->is_done() && parser_->need_eof(); }
  bool isAtEnd(boost::system::error_code read_error) const;
  void beginReadingHead();
  void beginReadingBody();
  void finishReading(boost::system::error_code error, size_t bytes);
  awaitable<bool> awaitReading(std::chrono::milliseconds timeout);
  bool requestInProgress();
  awaitable<void> awaitRequestEnd(std::chrono::milliseconds timeout);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<ResponseParser<boost::beast::http::buffer_body>> parser_;
  /// The request that is being sent; empty otherwise.
  std::string request_;
  size_t sent_bytes_ = 0;
  bool request_sent_ = false;
  /// Part of the body that is being read.
  std::string part_;
  /// A read is in progress; otherwise the result of the last one.
  bool reading_ = false;
  boost::system::error_code read_error_;
  size_t read_bytes_ = 0;
  bool sending_ended_ = false;
  bool reuse_prevented_ = false;
  bool closed_ = false;
  /// What the system has told to any operation on the socket.
  ConnectionFailure failure_;
  /// A read has failed because of a reset.
  bool read_reset_ = false;
  /// This end has ended sending before the other one.
  bool ended_sending_first_ = false;
  bool timed_out_ = false;
  uint64_t timeout_generation_ = 0;
};

/// Pool of idle connections, by address. Used only on one event loop.
class RunnerConnectionPool {
public:
  explicit RunnerConnectionPool(const Clock& clock) : clock_(clock) {}

  /// @return whether an idle connection to the address is open, so that its process lives.
  bool hasOpen(const std::string& address);
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
