#include "daemon/relay/place_client.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/http_types.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// How long a claim waits for its answer: some ten round trips between zones, a tenth of the
/// shortest objective of a request.
constexpr std::chrono::milliseconds kAnswerLimit{30};
/// What others no longer tell is looked for so often.
constexpr int64_t kForgetPeriodMs = 500;

std::string textOf(const datagram::UdpSocket::Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

PlaceHold& PlaceHold::operator=(PlaceHold&& other) noexcept {
  if (this != &other) {
    giveBack();
    client_ = std::move(other.client_);
    other.client_.reset();
    runner_ = other.runner_;
  }
  return *this;
}

void PlaceHold::giveBack() {
  if (const auto client = std::exchange(client_, {}).lock()) {
    client->giveBack(runner_);
  }
}

Result<std::monostate> PlaceClient::open(const std::string& address) {
  own_address_ = address;
  return socket_.open(address,
                      [this](std::string_view bytes, const datagram::UdpSocket::Endpoint& from) {
                        received(bytes, from);
                      });
}

void PlaceClient::setRelays(std::vector<std::string> relays) {
  std::map<uint64_t, std::string> owners_before;
  for (const uint64_t runner : held_.runners()) {
    const std::string* owner = owners_.ownerOf(runner);
    owners_before[runner] = owner == nullptr ? "" : *owner;
  }
  if (owners_.differ(relays)) {
    owner_.noteOwnersChanged(clock_.monotonicMs());
  }
  for (const std::string& relay : owners_.setRelays(std::move(relays))) {
    // A relay that died holds nothing; one that stops gives back what it holds in a moment.
    owner_.forgetRelay(relay);
  }
  for (const auto& [runner, before] : owners_before) {
    const std::string* owner = owners_.ownerOf(runner);
    if (owner != nullptr && *owner != before) {
      tellOwner(runner);
    }
  }
}

PlaceReply PlaceClient::replyFor(uint64_t runner, const relay::PlaceOwner::Decision& decision) {
  ++(decision.granted ? counts_.granted : counts_.refused);
  counts_.held_back += decision.wait_ms != 0 ? 1 : 0;
  if (decision.granted) {
    held_.add(runner);
  }
  return PlaceReply{.verdict = decision.granted ? PlaceVerdict::Granted : PlaceVerdict::Refused,
                    .load = decision.load,
                    .wait_ms = decision.wait_ms,
                    .place = decision.granted ? PlaceHold(weak_from_this(), runner) : PlaceHold()};
}

asio::awaitable<PlaceReply> PlaceClient::claim(uint64_t runner, uint32_t limit, uint32_t cold_ms) {
  const int64_t now_ms = clock_.monotonicMs();
  const std::string* known = owners_.ownerOf(runner);
  if (known == nullptr || owners_.isSilent(*known, now_ms)) {
    ++counts_.unanswered;
    co_return PlaceReply{};
  }
  const std::string owner = *known;
  v1::Frame frame;
  v1::PlaceClaim& claim = *frame.mutable_place_claim();
  *claim.mutable_use() = held_.tell(runner, now_ms);
  claim.set_limit(limit);
  claim.set_cold_ms(cold_ms);
  if (owner == own_address_) {
    co_return replyFor(runner, owner_.claim(owner, claim, runner_source_(runner), now_ms));
  }
  const uint64_t sequence = claim.use().sequence();
  Pending pending(context_);
  pending_[sequence] = &pending;
  send(owner, frame);
  pending.timer.expires_after(kAnswerLimit);
  co_await pending.timer.async_wait(asio::as_tuple(asio::use_awaitable));
  pending_.erase(sequence);
  if (!pending.answered) {
    ++counts_.unanswered;
    owners_.noteSilent(owner, clock_.monotonicMs());
    co_return PlaceReply{};
  }
  owners_.noteAnswer(owner);
  co_return replyFor(runner, relay::PlaceOwner::Decision{.granted = pending.answer.granted(),
                                                         .load = pending.answer.load(),
                                                         .wait_ms = pending.answer.wait_ms()});
}

PlaceHold PlaceClient::hold(uint64_t runner) {
  held_.add(runner);
  tellOwner(runner);
  return {weak_from_this(), runner};
}

void PlaceClient::giveBack(uint64_t runner) {
  held_.remove(runner);
  tellOwner(runner);
}

void PlaceClient::tellOwner(uint64_t runner) {
  const std::string* owner = owners_.ownerOf(runner);
  if (owner == nullptr) {
    return;
  }
  const int64_t now_ms = clock_.monotonicMs();
  v1::Frame frame;
  *frame.mutable_place_use() = held_.tell(runner, now_ms);
  if (*owner == own_address_) {
    owner_.noteUse(own_address_, frame.place_use(), now_ms);
  } else {
    send(*owner, frame);
  }
}

void PlaceClient::tick() {
  const int64_t now_ms = clock_.monotonicMs();
  for (const uint64_t runner : held_.due(now_ms)) {
    tellOwner(runner);
  }
  if (now_ms >= stale_due_ms_) {
    stale_due_ms_ = now_ms + kForgetPeriodMs;
    owner_.forgetStale(now_ms);
  }
}

void PlaceClient::send(const std::string& address, const v1::Frame& frame) {
  const std::string bytes = frame.SerializeAsString();
  counts_.sent_bytes += bytes.size();
  socket_.send(address, bytes);
}

void PlaceClient::received(std::string_view bytes, const datagram::UdpSocket::Endpoint& from) {
  counts_.received_bytes += bytes.size();
  v1::Frame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return;
  }
  if (frame.has_place_claim()) {
    answerClaim(frame.place_claim(), from);
  } else if (frame.has_place_use()) {
    owner_.noteUse(textOf(from), frame.place_use(), clock_.monotonicMs());
  } else if (frame.has_place_answer()) {
    const auto found = pending_.find(frame.place_answer().sequence());
    if (found != pending_.end()) {
      found->second->answered = true;
      found->second->answer = frame.place_answer();
      found->second->timer.cancel();
    }
  }
}

void PlaceClient::answerClaim(const v1::PlaceClaim& claim,
                              const datagram::UdpSocket::Endpoint& from) {
  const uint64_t runner = claim.use().runner();
  const auto decision =
      owner_.claim(textOf(from), claim, runner_source_(runner), clock_.monotonicMs());
  ++counts_.answered;
  v1::Frame frame;
  v1::PlaceAnswer& answer = *frame.mutable_place_answer();
  answer.set_sequence(claim.use().sequence());
  answer.set_granted(decision.granted);
  answer.set_load(decision.load);
  answer.set_wait_ms(decision.wait_ms);
  const std::string bytes = frame.SerializeAsString();
  counts_.sent_bytes += bytes.size();
  socket_.send(from, bytes);
}

} // namespace workshatch::daemon
