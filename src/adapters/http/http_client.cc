#include "adapters/http/http_client.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "adapters/http/keep_alive.h"
#include "adapters/http/response_framing.h"
#include "core/backoff.h"

namespace workshatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadSize = size_t{16} * 1024;

CallError errorOf(CallPhase phase, beast::error_code failure) {
  return CallError{
      .phase = phase, .timed_out = failure == beast::error::timeout, .message = failure.message()};
}

/// Gives a CallCancel access to the stream while the call is in progress.
class CancelScope {
public:
  CancelScope(CallCancel* cancel, beast::tcp_stream*& slot, beast::tcp_stream* stream)
      : cancel_(cancel), slot_(slot) {
    if (cancel_ != nullptr) {
      slot_ = stream;
    }
  }
  ~CancelScope() {
    if (cancel_ != nullptr) {
      slot_ = nullptr;
    }
  }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;

private:
  CallCancel* cancel_;
  beast::tcp_stream*& slot_;
};

} // namespace

void CallCancel::cancel() {
  cancelled_ = true;
  if (stream_ != nullptr) {
    stream_->close();
  }
}

ClientResponse::ClientResponse(Client& client, std::string address)
    : client_(client), address_(std::move(address)) {}

awaitable<std::optional<CallError>> ClientResponse::readHead() {
  while (true) {
    parser_.emplace();
    parser_->body_limit(boost::none);
    const auto [failure, bytes] =
        co_await beast::http::async_read_header(*stream_, buffer_, *parser_, kAwait);
    if (failure) {
      co_return errorOf(CallPhase::Sent, failure);
    }
    if (auto framing_error = framingErrorOf(parser_->get().base())) {
      co_return CallError{.phase = CallPhase::Sent, .message = *std::move(framing_error)};
    }
    if (!isInterim(parser_->get().base())) {
      co_return std::nullopt;
    }
  }
}

void ClientResponse::cancel() {
  cancelled_ = true;
  if (stream_) {
    stream_->close();
  }
}

awaitable<std::variant<std::string, CallError>> ClientResponse::read() {
  std::string part(kReadSize, '\0');
  while (!parser_->is_done()) {
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    parser_->get().body().more = true;
    stream_->expires_after(read_timeout_);
    auto [failure, bytes] =
        co_await beast::http::async_read_some(*stream_, buffer_, *parser_, kAwait);
    if (failure == beast::http::error::need_buffer) {
      failure = {};
    }
    if (failure || cancelled_) {
      co_return errorOf(CallPhase::Sent, failure);
    }
    const size_t filled = part.size() - parser_->get().body().size;
    if (filled > 0) {
      part.resize(filled);
      co_return part;
    }
  }
  if (stream_ && parser_->get().keep_alive() && buffer_.size() == 0 &&
      !statesForbiddenBody(parser_->get().base())) {
    stream_->expires_never();
    const int64_t keep_alive_ms = keepAliveMsOf(parser_->get().base());
    client_.idle_.release(address_, std::move(stream_), keep_alive_ms);
  }
  co_return std::string();
}

awaitable<std::variant<std::string, CallError>> ClientResponse::readAll(size_t limit) {
  parser_->body_limit(limit);
  const auto stated = parser_->content_length_remaining();
  if (!parser_->is_done() && stated && *stated > limit) {
    co_return CallError{.phase = CallPhase::Sent, .message = "the answer is too large"};
  }
  std::string body;
  while (true) {
    auto part = co_await read();
    if (std::holds_alternative<CallError>(part)) {
      co_return part;
    }
    const std::string& text = std::get<std::string>(part);
    if (text.empty()) {
      co_return body;
    }
    body += text;
  }
}

awaitable<std::variant<Client::Stream, CallError>>
Client::connect(const std::string& address, const CallOptions& options, CallCancel* cancel) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    co_return CallError{.message = "not an address: " + address};
  }
  auto stream = std::make_unique<beast::tcp_stream>(context_);
  CallCancel none;
  CallCancel* active = cancel != nullptr ? cancel : &none;
  const CancelScope scope(active, active->stream_, stream.get());
  stream->expires_after(options.connect_timeout);
  const auto [failure] = co_await stream->async_connect(*endpoint, kAwait);
  if (failure) {
    co_return errorOf(CallPhase::NotSent, failure);
  }
  beast::error_code ignored;
  stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  co_return std::move(stream);
}

awaitable<CallResult> Client::exchange(Stream stream, const std::string& address, Request& request,
                                       const CallOptions& options, CallCancel* cancel) {
  CallCancel none;
  CallCancel* active = cancel != nullptr ? cancel : &none;
  auto response = std::make_unique<ClientResponse>(*this, address);
  response->stream_ = std::move(stream);
  response->read_timeout_ = options.read_timeout;
  const CancelScope scope(active, active->stream_, response->stream_.get());
  if (active->cancelled()) {
    co_return CallError{.phase = CallPhase::NotSent, .message = "cancelled"};
  }
  response->stream_->expires_after(options.read_timeout);
  const auto [write_failure, written] =
      co_await beast::http::async_write(*response->stream_, request, kAwait);
  if (write_failure) {
    co_return errorOf(CallPhase::Sent, write_failure);
  }
  auto error = co_await response->readHead();
  if (error) {
    co_return *std::move(error);
  }
  co_return std::move(response);
}

std::optional<uint32_t> requestedBackoffMs(const ClientResponse& response) {
  const bool rejected = response.status() == Status::too_many_requests ||
                        response.status() == Status::service_unavailable;
  const auto retry_after = rejected ? response.header("Retry-After") : std::nullopt;
  return retry_after ? parseRetryAfterMs(*retry_after) : std::nullopt;
}

awaitable<CallResult> Client::call(const std::string& address, Request request, CallOptions options,
                                   CallCancel* cancel) {
  request.set(Field::host, address);
  request.prepare_payload();
  CallPhase phase = CallPhase::NotSent;
  if (!options.fresh_connection) {
    if (Stream idle = idle_.acquire(address)) {
      CallResult result = co_await exchange(std::move(idle), address, request, options, cancel);
      const bool cancelled = cancel != nullptr && cancel->cancelled();
      const CallError* error = std::get_if<CallError>(&result);
      if (error == nullptr || error->timed_out || cancelled) {
        co_return result;
      }
      // The server probably closed the idle connection. Retries once on a new connection. The
      // server may have received the first request, so the reported phase is never earlier than its
      // phase.
      phase = error->phase;
    }
  }
  auto connected = co_await connect(address, options, cancel);
  if (CallError* error = std::get_if<CallError>(&connected)) {
    error->phase = phase;
    co_return std::move(*error);
  }
  CallResult result =
      co_await exchange(std::move(std::get<Stream>(connected)), address, request, options, cancel);
  if (CallError* error = std::get_if<CallError>(&result); error != nullptr) {
    error->phase = std::max(error->phase, phase);
  }
  co_return result;
}

} // namespace workshatch::http
