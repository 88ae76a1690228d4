#include "daemon/relay/relay_peers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// Time limit for an answer: about ten round trips between zones, and a tenth of the shortest
/// latency objective of a request.
constexpr std::chrono::milliseconds kAnswerTimeout{30};

std::string textOf(const datagram::UdpSocket::Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

Result<std::monostate> RelayPeers::open(const std::string& address) {
  own_address_ = address;
  return socket_.open(address,
                      [this](std::string_view bytes, const datagram::UdpSocket::Endpoint& from) {
                        onDatagram(bytes, from);
                      });
}

void RelayPeers::setRelays(std::vector<std::string> relays) {
  if (!owners_.differ(relays)) {
    return;
  }
  for (const RelayListObserver& observer : observers_) {
    observer.before();
  }
  const std::vector<std::string> removed = owners_.setRelays(std::move(relays));
  for (const RelayListObserver& observer : observers_) {
    observer.after(removed);
  }
}

void RelayPeers::send(const std::string& address, const v1::Frame& frame) {
  const std::string bytes = frame.SerializeAsString();
  counts_.sent_bytes += bytes.size();
  socket_.send(address, bytes);
}

void RelayPeers::reportUnanswered(const std::string& relay) {
  owners_.recordUnanswered(relay, clock_.monotonicMs());
  if (on_silent_) {
    on_silent_(relay);
  }
}

void RelayPeers::onDatagram(std::string_view bytes, const datagram::UdpSocket::Endpoint& from) {
  counts_.received_bytes += bytes.size();
  v1::Frame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++counts_.unreadable;
    return;
  }
  const auto answer = answer_sequences_.find(frame.body_case());
  if (answer != answer_sequences_.end()) {
    const auto call =
        calls_.find(AnswerKey{.kind = frame.body_case(), .sequence = answer->second(frame)});
    if (call == calls_.end()) {
      ++counts_.late_answers;
      return;
    }
    call->second->answered_ = true;
    call->second->answer_ = std::move(frame);
    call->second->timer_.cancel();
    return;
  }
  const auto handler = handlers_.find(frame.body_case());
  if (handler == handlers_.end()) {
    ++counts_.unreadable;
    return;
  }
  handler->second(frame, textOf(from));
}

PeerCall::PeerCall(std::shared_ptr<RelayPeers> peers, std::string relay, AnswerKey key,
                   const v1::Frame& question)
    : peers_(std::move(peers)), relay_(std::move(relay)), key_(key), timer_(peers_->context_) {
  peers_->calls_[key_] = this;
  timer_.expires_after(kAnswerTimeout);
  peers_->send(relay_, question);
}

PeerCall::~PeerCall() { peers_->calls_.erase(key_); }

asio::awaitable<const v1::Frame*> PeerCall::answer() {
  if (!answered_) {
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (!answered_) {
    peers_->reportUnanswered(relay_);
    co_return nullptr;
  }
  peers_->owners_.recordAnswered(relay_);
  co_return &answer_;
}

} // namespace workshatch::daemon
