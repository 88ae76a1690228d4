#include "adapters/http/http_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <iterator>
#include <optional>
#include <sys/socket.h>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/accept_failures.h"
#include "adapters/bind_wait.h"
#include "adapters/detached_task.h"
#include "adapters/http/problem.h"
#include "adapters/http/read_limits.h"

namespace workshatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Detects that the client closes the connection while its request is in progress. It only peeks,
/// so that pipelined bytes stay in the socket.
class DisconnectMonitor : public std::enable_shared_from_this<DisconnectMonitor> {
public:
  explicit DisconnectMonitor(Exchange* exchange) : exchange_(exchange) {}

  void start(tcp::socket& socket) {
    socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), &socket](beast::error_code failure) {
          if (failure || self->exchange_ == nullptr) {
            return;
          }
          char byte = 0;
          const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
            self->exchange_->handleDisconnect();
          }
        });
  }

  void detach() { exchange_ = nullptr; }

private:
  Exchange* exchange_;
};

/// Cancels the read of a stream when the time limit is reached. The stream stays open, so that a
/// response can still be sent.
class ReadDeadline {
public:
  ReadDeadline(beast::tcp_stream& stream, std::chrono::milliseconds limit)
      : timer_(stream.get_executor(), limit) {
    timer_.async_wait([&stream, state = state_](beast::error_code failure) {
      if (!failure && !state->finished) {
        state->expired = true;
        stream.cancel();
      }
    });
  }

  bool expired() const { return state_->expired; }

  /// Stops the timer. @return whether the deadline had expired.
  bool finish() {
    state_->finished = true;
    timer_.cancel();
    return state_->expired;
  }

private:
  struct State {
    bool finished = false;
    bool expired = false;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
  asio::steady_timer timer_;
};

/// Adds one to a counter while it exists.
class CountedScope {
public:
  explicit CountedScope(std::shared_ptr<std::atomic<size_t>> counter)
      : counter_(std::move(counter)) {
    ++*counter_;
  }
  ~CountedScope() { --*counter_; }
  CountedScope(const CountedScope&) = delete;
  CountedScope& operator=(const CountedScope&) = delete;

private:
  std::shared_ptr<std::atomic<size_t>> counter_;
};

/// Whether bytes that have arrived were not read yet.
bool hasUnreadBytes(beast::tcp_stream& stream) {
  beast::error_code failure;
  const size_t bytes = stream.socket().available(failure);
  return !failure && bytes > 0;
}

using RequestParser = beast::http::request_parser<beast::http::string_body>;

enum class ReadResult { Complete, Failed, NoMemory };

/// Reads one request, and reserves the memory for all copies of its body as it arrives.
class RequestRead {
public:
  /// @param reservation null: the memory is not limited
  RequestRead(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
              limits::BodyBudget::Reservation* reservation)
      : stream_(stream), buffer_(buffer), parser_(parser), reservation_(reservation) {}

  /// @param deadline after it has expired nothing more is read
  awaitable<ReadResult> run(const ReadDeadline& deadline) {
    const auto [header_failure, header_bytes] =
        co_await beast::http::async_read_header(stream_, buffer_, parser_, kAwait);
    failure_ = header_failure;
    if (!failure_ && reservation_ != nullptr && !parser_.is_done()) {
      co_return co_await readInParts(deadline);
    }
    if (!failure_ && !parser_.is_done()) {
      const auto [body_failure, body_bytes] =
          co_await beast::http::async_read(stream_, buffer_, parser_, kAwait);
      failure_ = body_failure;
    }
    co_return failure_ ? ReadResult::Failed : ReadResult::Complete;
  }

  /// Valid after the result `Failed`.
  beast::error_code failure() const { return failure_; }

private:
  bool reserve(uint64_t capacity) {
    return reservation_ == nullptr || reservation_->growTo(kBodyCopies * capacity);
  }

  /// Reserves memory as the body arrives, not what its head states: a client that stalls after a
  /// large length takes nothing from others.
  awaitable<ReadResult> readInParts(const ReadDeadline& deadline) {
    parser_.eager(true);
    while (!failure_ && !parser_.is_done() && !deadline.expired()) {
      if (!makeRoom()) {
        co_return ReadResult::NoMemory;
      }
      const auto [failure, bytes] =
          co_await beast::http::async_read_some(stream_, buffer_, parser_, kAwait);
      failure_ = failure;
    }
    co_return failure_ || !parser_.is_done() ? ReadResult::Failed : ReadResult::Complete;
  }

  /// Reserves the memory that the body takes after the next read.
  /// @return false if there is none.
  bool makeRoom() {
    std::string& body = parser_.get().body();
    const size_t next_bytes = body.size() + kMaxUnparsedBytes;
    const auto length = parser_.content_length();
    if (length) {
      return reserve(std::min<uint64_t>(*length, next_bytes));
    }
    if (next_bytes <= body.capacity()) {
      return reserve(body.capacity());
    }
    const size_t capacity = std::max(2 * body.capacity(), next_bytes);
    if (!reserve(capacity)) {
      return false;
    }
    body.reserve(capacity);
    return true;
  }

  beast::tcp_stream& stream_;
  beast::flat_buffer& buffer_;
  RequestParser& parser_;
  limits::BodyBudget::Reservation* reservation_;
  beast::error_code failure_;
};

Status statusOfReadFailure(beast::error_code failure) {
  if (failure == beast::http::error::body_limit) {
    return Status::payload_too_large;
  }
  if (failure == beast::http::error::header_limit ||
      failure == beast::http::error::buffer_overflow) {
    return Status::request_header_fields_too_large;
  }
  if (failure == beast::error::timeout) {
    return Status::request_timeout;
  }
  return Status::bad_request;
}

std::string reasonOfReadFailure(Status status) {
  switch (status) {
  case Status::payload_too_large:
    return "the body is larger than max_body_bytes";
  case Status::request_header_fields_too_large:
    return "the header is larger than max_header_bytes, or the trailers are too large";
  case Status::request_timeout:
    return "the request did not arrive within read_timeout_ms";
  default:
    return "the request is not valid HTTP/1.1";
  }
}

} // namespace

Exchange::Exchange(beast::tcp_stream& stream, Request request, std::chrono::milliseconds timeout,
                   std::function<bool()> keep_alive)
    : stream_(stream), request_(std::move(request)), timeout_(timeout),
      may_keep_alive_(std::move(keep_alive)),
      buffered_bytes_timer_(stream.get_executor(), asio::steady_timer::time_point::max()) {}

std::string Exchange::peer() const {
  beast::error_code failure;
  const auto endpoint = stream_.socket().remote_endpoint(failure);
  return failure ? "" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool Exchange::beginResponse() {
  response_started_ = true;
  keep_alive_ = !close_after_response_ && may_keep_alive_();
  return keep_alive_;
}

awaitable<bool> Exchange::respond(Response response) {
  response.keep_alive(beginResponse());
  stream_.expires_after(timeout_);
  const auto [failure, bytes] = co_await beast::http::async_write(stream_, response, kAwait);
  stream_.expires_never();
  broken_ = broken_ || failure;
  co_return !failure;
}

awaitable<bool> Exchange::startStream(Response head) {
  beast::http::response<beast::http::empty_body> message(head.result(), 11);
  for (const auto& field : head) {
    message.insert(field.name(), field.name_string(), field.value());
  }
  message.erase(Field::content_length);
  message.keep_alive(beginResponse());
  message.chunked(true);
  beast::http::response_serializer<beast::http::empty_body> serializer(message);
  stream_.expires_after(timeout_);
  const auto [failure, bytes] =
      co_await beast::http::async_write_header(stream_, serializer, kAwait);
  stream_.expires_never();
  broken_ = broken_ || failure;
  co_return !failure;
}

awaitable<bool> Exchange::write(std::string_view data) {
  if (broken_ || data.empty()) {
    co_return !broken_;
  }
  stream_.expires_after(timeout_);
  const auto [failure, bytes] = co_await asio::async_write(
      stream_, beast::http::make_chunk(asio::buffer(data.data(), data.size())), kAwait);
  stream_.expires_never();
  broken_ = broken_ || failure;
  co_return !broken_;
}

void Exchange::send(std::string_view data) {
  if (broken_ || data.empty()) {
    return;
  }
  char size[20];
  const auto end = std::to_chars(std::begin(size), std::end(size), data.size(), 16).ptr;
  backlog_.append(std::begin(size), end).append("\r\n").append(data).append("\r\n");
  notifyBufferedBytesChange();
  if (!std::exchange(writing_, true)) {
    detached_task::spawn(stream_.get_executor(), "write_response", writeBacklogOrBreak());
  }
}

/// Writes the backlog. After an exception the response is broken, so that nobody waits for the
/// rest.
awaitable<void> Exchange::writeBacklogOrBreak() {
  try {
    co_await writeBacklog();
  } catch (...) {
    broken_ = true;
    writing_ = false;
    writing_bytes_ = 0;
    buffered_bytes_timer_.cancel();
    throw;
  }
}

awaitable<void> Exchange::writeBacklog() {
  while (!backlog_.empty() && !broken_) {
    // The timeout applies to each write, so a slow client is not cut off because of the size of the
    // backlog.
    constexpr size_t kMaxWriteBytes = size_t{16} * 1024;
    const std::string part = backlog_.substr(0, kMaxWriteBytes);
    backlog_.erase(0, part.size());
    writing_bytes_ = part.size();
    stream_.expires_after(timeout_);
    const auto [failure, bytes] = co_await asio::async_write(stream_, asio::buffer(part), kAwait);
    stream_.expires_never();
    broken_ = broken_ || failure;
    written_bytes_ += bytes;
    writing_bytes_ = 0;
    notifyBufferedBytesChange();
  }
  writing_ = false;
  notifyBufferedBytesChange();
}

void Exchange::notifyBufferedBytesChange() {
  if (buffered_bytes_hook_) {
    buffered_bytes_hook_();
  }
  buffered_bytes_timer_.cancel();
}

awaitable<bool> Exchange::drainTo(size_t max_bytes) {
  while (!broken_ && bufferedBytes() > max_bytes) {
    co_await buffered_bytes_timer_.async_wait(kAwait);
  }
  co_return !broken_;
}

awaitable<void> Exchange::awaitWrites() {
  if (writing_ && broken_) {
    stream_.cancel();
  }
  while (writing_) {
    co_await buffered_bytes_timer_.async_wait(kAwait);
  }
}

awaitable<bool> Exchange::finish() {
  const bool flushed = co_await drainTo(0);
  if (!flushed) {
    co_return false;
  }
  stream_.expires_after(timeout_);
  const auto [failure, bytes] =
      co_await asio::async_write(stream_, beast::http::make_chunk_last(), kAwait);
  stream_.expires_never();
  broken_ = broken_ || failure;
  co_return !broken_;
}

void Exchange::abort() {
  broken_ = true;
  response_started_ = true;
  buffered_bytes_timer_.cancel();
  beast::error_code ignored;
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream_.close();
}

void Exchange::closeIncomplete() {
  broken_ = true;
  response_started_ = true;
  buffered_bytes_timer_.cancel();
}

void Exchange::onDisconnect(std::function<void()> hook) {
  disconnect_hook_ = std::move(hook);
  if (client_disconnected_ && disconnect_hook_) {
    std::exchange(disconnect_hook_, nullptr)();
  }
}

void Exchange::handleDisconnect() {
  client_disconnected_ = true;
  broken_ = true;
  buffered_bytes_timer_.cancel();
  if (disconnect_hook_) {
    std::exchange(disconnect_hook_, nullptr)();
  }
}

Server::Server(WorkerPool& workers, LimitsSource limits, Handler handler,
               ErrorResponder error_responder)
    : workers_(workers), limits_(std::move(limits)), handler_(std::move(handler)),
      error_responder_(std::move(error_responder)) {}

Server::Server(WorkerPool& workers, ServerLimits limits, Handler handler,
               ErrorResponder error_responder)
    : Server(
          workers, [limits] { return limits; }, std::move(handler), std::move(error_responder)) {}

Server::~Server() {
  if (acceptor_) {
    asio::post(workers_.context(0), [acceptor = acceptor_] {
      beast::error_code ignored;
      acceptor->close(ignored);
    });
  }
}

Result<std::string> Server::listen(const std::string& address) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    return Error{"not an address \"ip:port\": " + address};
  }
  acceptor_ = std::make_shared<tcp::acceptor>(workers_.context(0));
  beast::error_code failure;
  acceptor_->open(endpoint->protocol(), failure);
  if (!failure) {
    acceptor_->set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    failure = bindWhenFree(address, [this, &endpoint] {
      beast::error_code bind_failure;
      acceptor_->bind(*endpoint, bind_failure);
      return bind_failure;
    });
  }
  if (!failure) {
    acceptor_->listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Error{"cannot listen on " + address + ": " + failure.message()};
  }
  const auto local = acceptor_->local_endpoint(failure);
  if (failure) {
    return Error{"cannot listen on " + address + ": " + failure.message()};
  }
  detached_task::spawnEssential(workers_.context(0).get_executor(), "accept", accept());
  return local.address().to_string() + ":" + std::to_string(local.port());
}

void Server::stopAccepting() {
  closing_ = true;
  if (acceptor_) {
    asio::post(workers_.context(0), [this, acceptor = acceptor_] {
      beast::error_code failure;
      acceptor->non_blocking(true, failure);
      // Otherwise the accept of a connection that its client has aborted waits for the next one.
      acceptor->set_option(asio::socket_base::enable_connection_aborted(true), failure);
      while (!failure || failure == asio::error::connection_aborted) {
        asio::io_context& worker = workers_.context(workers_.next());
        tcp::socket socket(worker);
        acceptor->accept(socket, failure);
        if (!failure) {
          ++stats_.connections;
          detached_task::spawn(worker.get_executor(), "connection", serve(std::move(socket)));
        }
      }
      acceptor->close(failure);
    });
  }
}

void Server::closeIdle() {
  closing_idle_ = true;
  const std::lock_guard lock(idle_mutex_);
  for (beast::tcp_stream* idle : idle_) {
    asio::post(idle->get_executor(), [this, idle] {
      const std::lock_guard lock(idle_mutex_);
      if (idle_.contains(idle)) {
        idle->cancel();
      }
    });
  }
}

awaitable<void> Server::accept() {
  const std::shared_ptr<tcp::acceptor> acceptor = acceptor_;
  AcceptFailures failures("http");
  asio::steady_timer pause(workers_.context(0));
  while (acceptor->is_open()) {
    asio::io_context& worker = workers_.context(workers_.next());
    auto [failure, socket] = co_await acceptor->async_accept(worker, kAwait);
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      pause.expires_after(failures.record(failure));
      co_await pause.async_wait(kAwait);
      continue;
    }
    failures.end();
    ++stats_.connections;
    detached_task::spawn(worker.get_executor(), "connection", serve(std::move(socket)));
  }
}

awaitable<void> Server::serve(tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  const size_t open = stats_.open_connections.fetch_add(1) + 1;
  DiscardLimits discard = kDiscardAfterResponse;
  std::exception_ptr failed;
  try {
    if (open > limits_().connections) {
      ++stats_.refused_connections;
      co_await reject(stream, Status::service_unavailable, "max_connections is reached");
    } else {
      discard = co_await serveRequests(stream);
    }
  } catch (...) {
    failed = std::current_exception();
  }
  if (failed) {
    forgetIdle(stream);
    detached_task::logFailure("connection", failed);
  }
  co_await closeGracefully(stream, discard);
  --stats_.open_connections;
}

awaitable<void> Server::reject(beast::tcp_stream& stream, Status status, std::string reason) {
  Response response = error_responder_(status, reason);
  co_await rejectWith(stream, std::move(response));
}

awaitable<void> Server::rejectWith(beast::tcp_stream& stream, Response response) {
  response.keep_alive(false);
  stream.expires_after(limits_().read_timeout);
  co_await beast::http::async_write(stream, response, kAwait);
}

/// Closes the sending side, then reads until the client has closed its own, up to a limit in bytes
/// and time. Closing a socket with unread input resets the connection, and the client may lose the
/// response.
awaitable<void> Server::closeGracefully(beast::tcp_stream& stream, DiscardLimits discard) {
  const CountedScope closing(connections_closing_);
  beast::error_code ignored;
  stream.socket().cancel(ignored);
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  // One buffer for all connections of the worker: nobody reads it, and many connections may be
  // discarding at once.
  static thread_local std::array<char, size_t{64} * 1024> discarded;
  uint64_t total = 0;
  stream.expires_after(discard.time);
  while (total < discard.bytes) {
    const auto [failure, bytes] = co_await stream.async_read_some(asio::buffer(discarded), kAwait);
    if (failure) {
      co_return;
    }
    total += bytes;
  }
}

void Server::forgetIdle(beast::tcp_stream& stream) {
  const std::lock_guard lock(idle_mutex_);
  idle_.erase(&stream);
}

/// Waits for the first bytes of a request. Once idle connections are closed, only bytes that have
/// arrived are read. @return false if the connection was closed, failed or was idle for too long.
awaitable<bool> Server::awaitRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
  constexpr size_t kFirstRead = 4096;
  while (!closing_idle_ || hasUnreadBytes(stream)) {
    {
      const std::lock_guard lock(idle_mutex_);
      idle_.insert(&stream);
    }
    stream.expires_after(limits_().idle_timeout);
    const auto [failure, bytes] =
        co_await stream.async_read_some(buffer.prepare(kFirstRead), kAwait);
    forgetIdle(stream);
    buffer.commit(bytes);
    if (!failure) {
      co_return true;
    }
    if (failure != asio::error::operation_aborted) {
      co_return false;
    }
  }
  co_return false;
}

/// Runs the handler. If it fails, the client gets 500, or sees that the response is incomplete.
awaitable<void> Server::runHandler(Exchange& exchange) {
  std::exception_ptr failure;
  try {
    co_await handler_(exchange);
  } catch (...) {
    failure = std::current_exception();
  }
  if (failure) {
    detached_task::logFailure("request", failure);
    exchange.onDisconnect(nullptr);
    exchange.onBufferedBytesChange(nullptr);
    exchange.closeAfterResponse();
    if (exchange.responseStarted()) {
      exchange.closeIncomplete();
    } else {
      Response response = makeProblem(Problem{.status = Status::internal_server_error,
                                              .code = "internal_error",
                                              .detail = "the request failed in this process",
                                              .execution = Execution::Unknown});
      co_await exchange.respond(std::move(response));
    }
  }
  co_await exchange.awaitWrites();
}

/// Serves requests until the connection is to be closed.
/// @return the limits of the input to discard before that.
awaitable<Server::DiscardLimits> Server::serveRequests(beast::tcp_stream& stream) {
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  while (true) {
    if (buffer.size() == 0) {
      buffer.clear();
      buffer.shrink_to_fit();
      const bool arrived = co_await awaitRequest(stream, buffer);
      if (!arrived) {
        co_return kDiscardAfterResponse;
      }
    }
    const CountedScope in_progress(in_progress_);
    const ServerLimits limits = limits_();
    RequestParser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    stream.expires_never();
    // The timeout of the stream itself would close it, and the client would get no 408 response.
    ReadDeadline deadline(stream, limits.read_timeout);
    std::optional<limits::BodyBudget::Reservation> reservation;
    if (bodies_.budget) {
      reservation.emplace(bodies_.budget);
    }
    RequestRead read(stream, buffer, parser, reservation ? &*reservation : nullptr);
    const ReadResult result = co_await read.run(deadline);
    beast::error_code failure = read.failure();
    if (deadline.finish() && result != ReadResult::NoMemory) {
      failure = beast::error::timeout;
    }
    if (result == ReadResult::NoMemory) {
      Response refusal = bodies_.refuse(parser.get());
      // What has arrived of the body is released before the wait for the rest of it.
      std::string().swap(parser.get().body());
      reservation->release();
      // A client that sends its whole body before it reads must not lose the response.
      const DiscardLimits discard{.bytes = 2 * limits.body_bytes, .time = limits.read_timeout};
      co_await rejectWith(stream, std::move(refusal));
      co_return discard;
    }
    if (failure) {
      ++stats_.bad_requests;
      const bool gone = failure == beast::http::error::end_of_stream ||
                        failure == asio::error::connection_reset ||
                        failure == beast::http::error::partial_message;
      if (!gone) {
        const Status status = statusOfReadFailure(failure);
        co_await reject(stream, status, reasonOfReadFailure(status));
      }
      co_return kDiscardAfterResponse;
    }
    stream.expires_never();
    const bool host_missing = parser.get().version() >= 11 && parser.get()[Field::host].empty();
    if (host_missing) {
      ++stats_.bad_requests;
      co_await reject(stream, Status::bad_request, "the Host header is missing");
      co_return kDiscardAfterResponse;
    }
    const auto keep_alive = [this, &stream, &buffer, wanted = parser.get().keep_alive()] {
      return wanted && (!closing_ || buffer.size() > 0 || hasUnreadBytes(stream));
    };
    Exchange exchange(stream, parser.release(), limits.read_timeout, keep_alive);
    auto monitor = std::make_shared<DisconnectMonitor>(&exchange);
    monitor->start(stream.socket());
    co_await runHandler(exchange);
    monitor->detach();
    if (!exchange.keepAlive() || !exchange.responseStarted()) {
      co_return kDiscardAfterResponse;
    }
    beast::error_code ignored;
    stream.socket().cancel(ignored);
  }
}

} // namespace workshatch::http
