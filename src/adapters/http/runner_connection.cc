#include "adapters/http/runner_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include "adapters/http/keep_alive.h"
#include "adapters/http/response_framing.h"
#include "adapters/tcp_options.h"

namespace workshatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadSize = 4096;
/// Longest part of a request that is sent before others get their turn on the event loop.
constexpr size_t kMaxSendBytes = size_t{64} * 1024;
/// Size limit of the header of a response.
constexpr uint32_t kHeaderBytes = 32U * 1024;
constexpr size_t kMaxIdlePerAddress = 8;
/// Longest wait for the reset of a connection that is closed while a request is being sent on it: a
/// round trip. The system of the other end sends it, whatever its processes do. Over a longer round
/// trip the reset comes too late, and a part of a response counts as complete.
constexpr std::chrono::milliseconds kResetWait{300};
constexpr std::chrono::milliseconds kResetPollInterval{5};
/// Limit of what is discarded while the other end is expected to close the connection.
constexpr size_t kMaxDiscardedBytes = size_t{1024} * 1024;

CallError silence() {
  return CallError{.phase = CallPhase::Sent,
                   .timed_out = true,
                   .message = "silent",
                   .connection = ConnectionState::Open};
}

} // namespace

CallError RunnerConnection::makeError(CallPhase phase, error_code error) const {
  return CallError{.phase = phase,
                   .timed_out = timed_out_,
                   .message = error.message(),
                   .refused = error == asio::error::connection_refused,
                   .connection = stateAfter(error)};
}

ConnectionState RunnerConnection::stateAfter(error_code error) const {
  if (closed_) {
    return ConnectionState::ClosedHere;
  }
  if (error == asio::error::eof || error == asio::error::connection_reset ||
      error == asio::error::connection_aborted || error == asio::error::broken_pipe ||
      error == beast::http::error::end_of_stream || error == beast::http::error::partial_message) {
    return ConnectionState::ClosedByPeer;
  }
  if (error == asio::error::timed_out || error == asio::error::host_unreachable ||
      error == asio::error::network_unreachable || error == asio::error::network_down) {
    return ConnectionState::PeerUnreachable;
  }
  return ConnectionState::Open;
}

void RunnerConnection::startTimer(std::chrono::milliseconds timeout) {
  ++timeout_generation_;
  if (timeout.count() == 0) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(timeout);
  timer_.async_wait(
      [weak = weak_from_this(), generation = timeout_generation_](error_code cancelled) {
        const auto self = weak.lock();
        if (cancelled || !self || self->timeout_generation_ != generation) {
          return;
        }
        self->timed_out_ = true;
        self->close();
      });
}

awaitable<std::optional<CallError>>
RunnerConnection::connect(const asio::ip::tcp::endpoint& endpoint,
                          std::chrono::milliseconds timeout) {
  const auto self = shared_from_this();
  startTimer(timeout);
  auto [error] = co_await socket_.async_connect(endpoint, kAwait);
  startTimer({});
  if (!error && !closed_) {
    tcp_options::configure(socket_, tcp_options::kRequestPeerTimeout);
    // Sending must not hold up the event loop.
    socket_.non_blocking(true, error);
  }
  if (error || closed_) {
    close();
    co_return makeError(CallPhase::NotSent, error);
  }
  co_return std::nullopt;
}

void RunnerConnection::send(std::string request) {
  request_ = std::move(request);
  sent_bytes_ = 0;
  request_sent_ = false;
  if (closed_) {
    finishReading(asio::error::operation_aborted, 0);
    return;
  }
  continueSending();
  beginReadingHead();
}

/// Sends the next part of the request. Not by an asynchronous write, which would be told of a
/// failure some time before its handler could record that, and a read might find the end between.
void RunnerConnection::continueSending() {
  error_code error;
  const auto left = asio::buffer(request_) + sent_bytes_;
  sent_bytes_ += socket_.write_some(asio::buffer(left, kMaxSendBytes), error);
  failure_.record(error);
  request_sent_ = sent_bytes_ == request_.size();
  if (request_sent_ || (error && error != asio::error::would_block)) {
    freeRequest();
  } else {
    awaitSending();
  }
}

/// Goes on with the request when the system takes more of it.
void RunnerConnection::awaitSending() {
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](error_code cancelled) {
                       if (cancelled || self->sending_ended_) {
                         self->freeRequest();
                       } else {
                         self->continueSending();
                       }
                     });
}

/// Frees the memory of the request.
void RunnerConnection::freeRequest() { std::string().swap(request_); }

void RunnerConnection::beginReadingHead() {
  parser_.emplace();
  parser_->header_limit(kHeaderBytes);
  parser_->body_limit(boost::none);
  reading_ = true;
  beast::http::async_read_header(socket_, buffer_, *parser_,
                                 [self = shared_from_this()](error_code error, size_t bytes) {
                                   self->finishReading(error, bytes);
                                 });
}

void RunnerConnection::beginReadingBody() {
  part_.assign(kReadSize, '\0');
  parser_->get().body().data = part_.data();
  parser_->get().body().size = part_.size();
  parser_->get().body().more = true;
  reading_ = true;
  beast::http::async_read_some(socket_, buffer_, *parser_,
                               [self = shared_from_this()](error_code error, size_t bytes) {
                                 self->finishReading(error, bytes);
                               });
}

void RunnerConnection::finishReading(error_code error, size_t bytes) {
  reading_ = false;
  read_bytes_ = bytes;
  failure_.record(error);
  read_error_ = error == beast::http::error::need_buffer ? error_code() : error;
  if (isAtEnd(read_error_)) {
    read_error_ = failure_.judgeEnd(read_error_);
  }
  read_reset_ = read_reset_ || read_error_ == asio::error::connection_reset ||
                read_error_ == asio::error::broken_pipe;
  timer_.cancel();
}

/// @return whether a read with this result has found the end of the input.
bool RunnerConnection::isAtEnd(error_code read_error) const {
  return read_error == asio::error::eof || read_error == beast::http::error::end_of_stream ||
         read_error == beast::http::error::partial_message || (!read_error && bodyEndedWithInput());
}

/// Waits for the end of the read in progress. @param timeout zero means no limit
/// @return whether it has ended.
awaitable<bool> RunnerConnection::awaitReading(std::chrono::milliseconds timeout) {
  const auto self = shared_from_this();
  if (reading_) {
    if (timeout.count() == 0) {
      timer_.expires_at(asio::steady_timer::time_point::max());
    } else {
      timer_.expires_after(timeout);
    }
    co_await timer_.async_wait(kAwait);
  }
  co_return !reading_;
}

awaitable<std::optional<CallError>> RunnerConnection::awaitHead(std::chrono::milliseconds timeout) {
  while (true) {
    const bool ended = co_await awaitReading(timeout);
    if (!ended) {
      co_return silence();
    }
    if (read_error_ || closed_) {
      co_return makeError(CallPhase::Sent, read_error_);
    }
    if (auto framing_error = framingErrorOf(head())) {
      co_return CallError{.phase = CallPhase::Sent,
                          .message = *std::move(framing_error),
                          .connection = ConnectionState::Open};
    }
    if (!isInterim(head())) {
      co_return std::nullopt;
    }
    beginReadingHead();
  }
}

std::optional<uint64_t> RunnerConnection::statedBodyBytes() const {
  const auto length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

bool RunnerConnection::limitBody(uint64_t max_bytes) {
  parser_->body_limit(max_bytes);
  return parser_->is_done() || statedBodyBytes().value_or(0) <= max_bytes;
}

awaitable<std::variant<std::string, CallError>>
RunnerConnection::read(std::chrono::milliseconds timeout) {
  while (reading_ || !parser_->is_done()) {
    if (!reading_) {
      beginReadingBody();
    }
    const bool ended = co_await awaitReading(timeout);
    if (!ended) {
      co_return silence();
    }
    if (read_error_ || closed_) {
      co_return makeError(CallPhase::Sent, read_error_);
    }
    const size_t filled = part_.size() - parser_->get().body().size;
    if (filled > 0) {
      part_.resize(filled);
      co_return std::move(part_);
    }
  }
  if (endedByClose()) {
    co_await awaitRequestEnd(timeout);
    read_error_ = failure_.error();
    if (read_error_ || closed_) {
      co_return makeError(CallPhase::Sent, read_error_);
    }
  }
  co_return std::string();
}

/// @return whether part of the request may not have arrived yet on a connection that has not
/// failed.
bool RunnerConnection::requestInProgress() {
  failure_.record(tcp_options::takeError(socket_));
  const bool arrived = request_sent_ && tcp_options::unacknowledgedBytes(socket_).value_or(0) == 0;
  return !arrived && !closed_ && !failure_.error();
}

/// After the end of the runner's side, waits until the request has arrived or the connection has
/// failed. A runner that has closed the connection wholly gets no more of the request: its system
/// resets what arrives. One that has ended only its side gets the rest, or leaves it unread.
///
/// Load: two questions to the system every `kResetPollInterval`, and only for responses without a
/// stated end whose request has not arrived. Where the system does not tell what is unacknowledged,
/// the request counts as arrived once all of it was handed over.
/// @param timeout longest wait, if it is shorter than that for a reset; zero means none
awaitable<void> RunnerConnection::awaitRequestEnd(std::chrono::milliseconds timeout) {
  const auto self = shared_from_this();
  const auto limit = timeout.count() == 0 ? kResetWait : std::min(timeout, kResetWait);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (requestInProgress() && std::chrono::steady_clock::now() < end) {
    timer_.expires_after(kResetPollInterval);
    const auto [ended_by_owner] = co_await timer_.async_wait(kAwait);
    if (ended_by_owner) {
      co_return;
    }
  }
}

void RunnerConnection::endSending() {
  const bool peer_ended = !reading_ && stateAfter(read_error_) == ConnectionState::ClosedByPeer;
  ended_sending_first_ = ended_sending_first_ || (!sending_ended_ && !peer_ended);
  sending_ended_ = true;
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

awaitable<std::optional<ConnectionState>>
RunnerConnection::awaitProgress(std::chrono::milliseconds timeout) {
  const bool ended = co_await awaitReading(timeout);
  co_return ended ? std::optional(stateAfter(read_error_)) : std::nullopt;
}

/// Sends an empty line after a request, which servers skip. Within one it would be part of the
/// body.
void RunnerConnection::sendEmptyLine() {
  if (request_sent_ && !sending_ended_) {
    constexpr std::string_view kEmptyLine = "\r\n";
    error_code error;
    socket_.write_some(asio::buffer(kEmptyLine), error);
    failure_.record(error);
  }
}

awaitable<ConnectionState> RunnerConnection::discardUntilClosed(std::chrono::milliseconds timeout) {
  if (!reading_ && stateAfter(read_error_) == ConnectionState::ClosedByPeer) {
    sendEmptyLine();
  }
  endSending();
  const auto end = std::chrono::steady_clock::now() + timeout;
  size_t discarded = 0;
  while (!closed_ && discarded < kMaxDiscardedBytes) {
    if (!reading_) {
      part_.assign(kReadSize, '\0');
      reading_ = true;
      socket_.async_read_some(asio::buffer(part_),
                              [self = shared_from_this()](error_code error, size_t bytes) {
                                self->finishReading(error, bytes);
                              });
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    const bool ended = left.count() > 0 && co_await awaitReading(left);
    if (!ended || read_error_) {
      co_return ended ? stateAfter(read_error_) : ConnectionState::Open;
    }
    discarded += read_bytes_;
  }
  co_return stateAfter({});
}

bool RunnerConnection::closedWholly() {
  failure_.record(tcp_options::takeError(socket_));
  const bool ended_in_turn =
      ended_sending_first_ && !reading_ && stateAfter(read_error_) == ConnectionState::ClosedByPeer;
  return failure_.isReset() || ended_in_turn;
}

RunnerConnection::Input RunnerConnection::peekInput() {
  char byte = 0;
  const ssize_t count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const error_code error(count < 0 ? errno : 0, asio::error::get_system_category());
  failure_.record(error);
  if (count > 0) {
    return Input::Pending;
  }
  return error == asio::error::would_block ? Input::None : Input::Ended;
}

void RunnerConnection::setIdle(bool idle) {
  tcp_options::setPeerTimeout(socket_, idle ? tcp_options::kIdlePeerTimeout
                                            : tcp_options::kRequestPeerTimeout);
}

void RunnerConnection::close() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

bool RunnerConnection::reusable() const {
  return !closed_ && !reading_ && !sending_ended_ && !reuse_prevented_ && request_sent_ &&
         parser_ && parser_->is_done() && parser_->get().keep_alive() && buffer_.size() == 0 &&
         !statesForbiddenBody(head());
}

bool RunnerConnectionPool::hasOpen(const std::string& address) {
  const auto found = idle_.find(address);
  return found != idle_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const Idle& idle) { return idle.connection->isOpen(); });
}

std::shared_ptr<RunnerConnection> RunnerConnectionPool::acquire(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<Idle>& idle_connections = found->second;
  const int64_t now = clock_.monotonicMs();
  while (!idle_connections.empty()) {
    Idle idle = std::move(idle_connections.back());
    idle_connections.pop_back();
    if (idle.expires_ms > now && idle.connection->hasNoPendingInput()) {
      idle.connection->setIdle(false);
      return idle.connection;
    }
    idle.connection->close();
  }
  return nullptr;
}

void RunnerConnectionPool::release(const std::string& address,
                                   std::shared_ptr<RunnerConnection> connection) {
  std::vector<Idle>& idle_connections = idle_[address];
  const int64_t keep_alive_ms = keepAliveMsOf(connection->head());
  if (idle_connections.size() >= kMaxIdlePerAddress || keep_alive_ms <= 0) {
    connection->close();
    return;
  }
  const int64_t expires_ms = clock_.monotonicMs() + keep_alive_ms;
  connection->setIdle(true);
  idle_connections.push_back(Idle{.connection = std::move(connection), .expires_ms = expires_ms});
}

void RunnerConnectionPool::dropExpired() {
  const int64_t now = clock_.monotonicMs();
  for (auto& [address, idle_connections] : idle_) {
    std::erase_if(idle_connections, [now](const Idle& idle) { return idle.expires_ms <= now; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace workshatch::http
