#include "adapters/link/framed_link.h"

#include <netinet/tcp.h>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "adapters/bind_wait.h"
#include "adapters/http/http_types.h"
#include "adapters/tcp_options.h"

namespace workshatch::link {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kMaxFrameBytes = size_t{16} * 1024 * 1024;
constexpr size_t kMaxQueuedBytes = size_t{16} * 1024 * 1024;
constexpr size_t kReadBytes = 2048;
/// An empty input buffer with more capacity than this is freed, so that one large frame does not
/// take memory for as long as the link lives.
constexpr size_t kMaxIdleInputCapacity = 16384;
constexpr std::chrono::milliseconds kPeerTimeout{1500};
constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xff;

uint32_t lengthAt(const std::string& bytes, size_t at) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kByteBits) | static_cast<unsigned char>(bytes[at + i]);
  }
  return length;
}

void appendLength(std::string& out, uint32_t length) {
  for (size_t i = kLengthBytes; i > 0; --i) {
    out.push_back(static_cast<char>((length >> (kByteBits * (i - 1))) & kByteMask));
  }
}

} // namespace

FramedLink::FramedLink(Socket socket) : socket_(std::move(socket)) {
  tcp_options::configure(socket_, kPeerTimeout);
}

void FramedLink::start(FrameHandler on_frame, CloseHandler on_close) {
  on_frame_ = std::move(on_frame);
  on_close_ = std::move(on_close);
  read();
}

void FramedLink::read() {
  const size_t filled = input_.size();
  input_.resize(filled + kReadBytes);
  socket_.async_read_some(asio::buffer(input_.data() + filled, kReadBytes),
                          [self = shared_from_this(), filled](error_code failure, size_t bytes) {
                            if (!self->open_) {
                              return;
                            }
                            self->input_.resize(filled + bytes);
                            self->bytes_received_ += bytes;
                            if (failure || !self->parseFrames()) {
                              self->fail();
                              return;
                            }
                            if (self->open_) {
                              self->read();
                            }
                          });
}

bool FramedLink::parseFrames() {
  size_t at = 0;
  while (open_ && input_.size() - at >= kLengthBytes) {
    const uint32_t length = lengthAt(input_, at);
    if (length > kMaxFrameBytes) {
      return false;
    }
    if (input_.size() - at - kLengthBytes < length) {
      break;
    }
    v1::Frame frame;
    if (!frame.ParseFromArray(input_.data() + at + kLengthBytes, static_cast<int>(length))) {
      return false;
    }
    at += kLengthBytes + length;
    on_frame_(std::move(frame));
  }
  input_.erase(0, at);
  if (input_.empty() && input_.capacity() > kMaxIdleInputCapacity) {
    input_.shrink_to_fit();
  }
  return true;
}

bool FramedLink::send(const v1::Frame& frame) {
  if (!open_) {
    return false;
  }
  if (queued_.size() > kMaxQueuedBytes) {
    fail();
    return false;
  }
  const auto frame_bytes = static_cast<uint32_t>(frame.ByteSizeLong());
  bytes_queued_ += kLengthBytes + frame_bytes;
  appendLength(queued_, frame_bytes);
  frame.AppendToString(&queued_);
  if (writing_.empty()) {
    write();
  }
  return true;
}

void FramedLink::write() {
  writing_ = std::exchange(queued_, {});
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](error_code failure, size_t) {
                      if (!self->open_) {
                        return;
                      }
                      std::string().swap(self->writing_);
                      if (failure) {
                        self->fail();
                      } else if (!self->queued_.empty()) {
                        self->write();
                      }
                    });
}

void FramedLink::fail() {
  if (!open_) {
    return;
  }
  const CloseHandler on_close = on_close_;
  close();
  if (on_close) {
    on_close();
  }
}

void FramedLink::close() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
  // A handler may hold the last reference to the owner of this link, and `close` may run inside a
  // handler. So the handlers are destroyed later, from the event loop.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->on_frame_ = nullptr;
    self->on_close_ = nullptr;
  });
}

Result<std::monostate> LinkListener::listen(const std::string& address, LinkHandler on_link) {
  const auto endpoint = http::parseEndpoint(address);
  if (!endpoint) {
    return Error{"not an address \"ip:port\": " + address};
  }
  error_code failure;
  acceptor_.open(endpoint->protocol(), failure);
  if (!failure) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    failure = bindWhenFree(address, [this, &endpoint] {
      error_code bind_failure;
      acceptor_.bind(*endpoint, bind_failure);
      return bind_failure;
    });
  }
  if (!failure) {
    acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Error{"cannot listen on " + address + ": " + failure.message()};
  }
  on_link_ = std::move(on_link);
  accept();
  return std::monostate{};
}

void LinkListener::accept() {
  acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
    if (failure == asio::error::operation_aborted) {
      return;
    }
    if (failure) {
      retryAccept(failure);
      return;
    }
    failures_.end();
    on_link_(std::make_shared<FramedLink>(std::move(socket)));
    if (acceptor_.is_open()) {
      accept();
    }
  });
}

void LinkListener::retryAccept(error_code failure) {
  pause_.expires_after(failures_.record(failure));
  pause_.async_wait([this](error_code cancelled) {
    if (!cancelled && acceptor_.is_open()) {
      accept();
    }
  });
}

void LinkListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

struct LinkDialer::Attempt {
  explicit Attempt(asio::io_context& context) : socket(context), timer(context) {}

  tcp::socket socket;
  asio::steady_timer timer;
  DialHandler done;
};

void LinkDialer::dial(const std::string& address, std::chrono::milliseconds timeout,
                      DialHandler done) {
  cancel();
  const auto endpoint = http::parseEndpoint(address);
  if (!endpoint) {
    asio::post(context_, [done = std::move(done)] { done(nullptr); });
    return;
  }
  const auto attempt = std::make_shared<Attempt>(context_);
  attempt_ = attempt;
  attempt->done = std::move(done);
  const auto finish = [attempt](bool connected) {
    if (!attempt->done) {
      return;
    }
    const DialHandler handler = std::exchange(attempt->done, nullptr);
    attempt->timer.cancel();
    if (connected) {
      handler(std::make_shared<FramedLink>(std::move(attempt->socket)));
      return;
    }
    error_code ignored;
    attempt->socket.close(ignored);
    handler(nullptr);
  };
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([finish](error_code failure) {
    if (!failure) {
      finish(false);
    }
  });
  attempt->socket.async_connect(*endpoint, [finish](error_code failure) { finish(!failure); });
}

void LinkDialer::cancel() {
  if (!attempt_) {
    return;
  }
  attempt_->done = nullptr;
  attempt_->timer.cancel();
  error_code ignored;
  attempt_->socket.close(ignored);
  attempt_.reset();
}

} // namespace workshatch::link
