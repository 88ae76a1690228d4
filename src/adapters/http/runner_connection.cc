#include "adapters/http/runner_connection.h"

#include <charconv>
#include <sys/socket.h>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "adapters/tcp_options.h"

namespace workshatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadSize = 4096;
/// An answer's header may be this long.
constexpr uint32_t kHeaderBytes = 32U * 1024;
constexpr std::chrono::milliseconds kSilenceOfPeer{1500};
constexpr size_t kKeptPerAddress = 8;
/// Kept without a word of the runner on how long it keeps a connection.
constexpr int64_t kDefaultKeepMs = 3000;
constexpr int64_t kMostKeepMs = 20'000;
constexpr int64_t kMillisecondsPerSecond = 1000;

/// How long the other side keeps an idle connection, less a part for what is under way.
int64_t keepMsOf(const beast::http::response_header<>& head) {
  const auto found = head.find(Field::keep_alive);
  if (found == head.end()) {
    return kDefaultKeepMs;
  }
  const std::string_view text = viewOf(found->value());
  constexpr std::string_view kName = "timeout=";
  const size_t at = text.find(kName);
  int64_t seconds = 0;
  if (at != std::string_view::npos) {
    const char* begin = text.data() + at + kName.size();
    std::from_chars(begin, text.data() + text.size(), seconds);
  }
  return std::min(seconds * kMillisecondsPerSecond * 7 / 10, kMostKeepMs);
}

} // namespace

CallError RunnerConnection::failure(CallPhase phase, error_code error) const {
  return CallError{.phase = phase,
                   .timed_out = silent_,
                   .message = error.message(),
                   .refused = error == asio::error::connection_refused};
}

void RunnerConnection::armSilence(std::chrono::milliseconds silence) {
  ++silence_round_;
  if (silence.count() == 0) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(silence);
  timer_.async_wait([weak = weak_from_this(), round = silence_round_](error_code cancelled) {
    const auto self = weak.lock();
    if (cancelled || !self || self->silence_round_ != round) {
      return;
    }
    self->silent_ = true;
    self->close();
  });
}

awaitable<std::optional<CallError>>
RunnerConnection::connect(const asio::ip::tcp::endpoint& endpoint,
                          std::chrono::milliseconds limit) {
  const auto self = shared_from_this();
  armSilence(limit);
  const auto [error] = co_await socket_.async_connect(endpoint, kAwait);
  armSilence({});
  if (error || closed_) {
    close();
    co_return failure(CallPhase::NotSent, error);
  }
  tcp_options::setUp(socket_, kSilenceOfPeer);
  co_return std::nullopt;
}

awaitable<std::optional<CallError>> RunnerConnection::exchange(std::string request,
                                                               std::chrono::milliseconds silence) {
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
  armSilence(silence);
  while (true) {
    const auto [error, bytes] =
        co_await beast::http::async_read_header(socket_, buffer_, *parser_, kAwait);
    if (error || closed_) {
      armSilence({});
      co_return failure(CallPhase::Sent, error);
    }
    if (parser_->get().result_int() != static_cast<unsigned>(Status::continue_)) {
      break;
    }
    parser_.emplace();
    parser_->header_limit(kHeaderBytes);
    parser_->body_limit(boost::none);
  }
  armSilence({});
  co_return std::nullopt;
}

awaitable<std::variant<std::string, CallError>>
RunnerConnection::read(std::chrono::milliseconds silence) {
  const auto self = shared_from_this();
  std::string part(kReadSize, '\0');
  while (!parser_->is_done()) {
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    parser_->get().body().more = true;
    armSilence(silence);
    auto [error, bytes] = co_await beast::http::async_read_some(socket_, buffer_, *parser_, kAwait);
    armSilence({});
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
    if (error || closed_) {
      co_return failure(CallPhase::Sent, error);
    }
    const size_t filled = part.size() - parser_->get().body().size;
    if (filled > 0) {
      part.resize(filled);
      co_return part;
    }
  }
  co_return std::string();
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

bool RunnerConnection::quiet() {
  char byte = 0;
  const ssize_t count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::shared_ptr<RunnerConnection> RunnerConnectionPool::take(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<Idle>& waiting = found->second;
  const int64_t now = clock_.monotonicMs();
  while (!waiting.empty()) {
    Idle idle = std::move(waiting.back());
    waiting.pop_back();
    if (idle.until_ms > now && idle.connection->quiet()) {
      return idle.connection;
    }
    idle.connection->close();
  }
  return nullptr;
}

void RunnerConnectionPool::give(const std::string& address,
                                std::shared_ptr<RunnerConnection> connection) {
  std::vector<Idle>& waiting = idle_[address];
  const int64_t keep_ms = keepMsOf(connection->head());
  if (waiting.size() >= kKeptPerAddress || keep_ms <= 0) {
    connection->close();
    return;
  }
  const int64_t until_ms = clock_.monotonicMs() + keep_ms;
  waiting.push_back(Idle{.connection = std::move(connection), .until_ms = until_ms});
}

void RunnerConnectionPool::dropExpired() {
  const int64_t now = clock_.monotonicMs();
  for (auto& [address, waiting] : idle_) {
    std::erase_if(waiting, [now](const Idle& idle) { return idle.until_ms <= now; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace workshatch::http
