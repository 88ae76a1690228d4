#include "adapters/http/runner_connection.h"

#include <sys/socket.h>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "adapters/http/keep_alive.h"
#include "adapters/tcp_options.h"

namespace workshatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadSize = 4096;
/// Size limit of the header of a response.
constexpr uint32_t kHeaderBytes = 32U * 1024;
constexpr size_t kMaxIdlePerAddress = 8;

} // namespace

CallError RunnerConnection::makeError(CallPhase phase, error_code error) const {
  return CallError{.phase = phase,
                   .timed_out = timed_out_,
                   .message = error.message(),
                   .refused = error == asio::error::connection_refused};
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
  const auto [error] = co_await socket_.async_connect(endpoint, kAwait);
  startTimer({});
  if (error || closed_) {
    close();
    co_return makeError(CallPhase::NotSent, error);
  }
  tcp_options::configure(socket_, tcp_options::kRequestPeerTimeout);
  co_return std::nullopt;
}

awaitable<std::optional<CallError>> RunnerConnection::exchange(std::string request,
                                                               std::chrono::milliseconds timeout) {
  const auto self = shared_from_this();
  request_ = std::move(request);
  request_sent_ = false;
  parser_.emplace();
  parser_->header_limit(kHeaderBytes);
  parser_->body_limit(boost::none);
  if (closed_) {
    co_return CallError{.phase = CallPhase::NotSent, .message = "closed"};
  }
  asio::async_write(socket_, asio::buffer(request_), [self](error_code error, size_t) {
    self->request_sent_ = !error;
    std::string().swap(self->request_);
  });
  startTimer(timeout);
  while (true) {
    const auto [error, bytes] =
        co_await beast::http::async_read_header(socket_, buffer_, *parser_, kAwait);
    if (error || closed_) {
      startTimer({});
      co_return makeError(CallPhase::Sent, error);
    }
    if (parser_->get().result_int() != static_cast<unsigned>(Status::continue_)) {
      break;
    }
    parser_.emplace();
    parser_->header_limit(kHeaderBytes);
    parser_->body_limit(boost::none);
  }
  startTimer({});
  co_return std::nullopt;
}

awaitable<std::variant<std::string, CallError>>
RunnerConnection::read(std::chrono::milliseconds timeout) {
  const auto self = shared_from_this();
  std::string part(kReadSize, '\0');
  while (!parser_->is_done()) {
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    parser_->get().body().more = true;
    startTimer(timeout);
    auto [error, bytes] = co_await beast::http::async_read_some(socket_, buffer_, *parser_, kAwait);
    startTimer({});
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
    if (error || closed_) {
      co_return makeError(CallPhase::Sent, error);
    }
    const size_t filled = part.size() - parser_->get().body().size;
    if (filled > 0) {
      part.resize(filled);
      co_return part;
    }
  }
  co_return std::string();
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
  return !closed_ && request_sent_ && parser_ && parser_->is_done() &&
         parser_->get().keep_alive() && buffer_.size() == 0;
}

bool RunnerConnection::hasNoPendingInput() {
  char byte = 0;
  const ssize_t count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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
