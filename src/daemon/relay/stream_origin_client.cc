#include "daemon/relay/stream_origin_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// Time limit for the answers to one transmission: about ten round trips between zones.
constexpr std::chrono::milliseconds kAnswerTimeout{30};
/// A datagram may be lost, so relays that did not answer are asked once more.
constexpr int kTransmissions = 2;
/// Acknowledgements of other relays after which a stream may begin.
constexpr size_t kAcknowledgements = 2;
/// Period of the search for expired records.
constexpr int64_t kExpiryPeriodMs = 1000;

relay::StreamId streamIdOf(const v1::StreamKey& key) {
  return relay::StreamId{.caller = key.caller(), .request = key.request()};
}

void setKey(v1::StreamKey& key, const relay::StreamId& stream) {
  key.set_caller(stream.caller);
  key.set_request(stream.request);
}

} // namespace

StreamOriginClient::StreamOriginClient(asio::io_context& context, std::shared_ptr<RelayPeers> peers,
                                       const Clock& clock)
    : context_(context), peers_(std::move(peers)), clock_(clock) {
  peers_->onFrame(v1::Frame::kStreamRecordStore,
                  [this](const v1::Frame& frame, const std::string& from) {
                    storeForPeer(frame.stream_record_store(), from);
                  });
  peers_->onFrame(v1::Frame::kStreamRecordStored,
                  [this](const v1::Frame& frame, const std::string& from) {
                    acceptAcknowledgement(frame.stream_record_stored().sequence(), from);
                  });
  peers_->onFrame(v1::Frame::kStreamRecordQuery,
                  [this](const v1::Frame& frame, const std::string& from) {
                    answerLookup(frame.stream_record_query(), from);
                  });
  peers_->onFrame(v1::Frame::kStreamRecordAnswer,
                  [this](const v1::Frame& frame, const std::string& from) {
                    acceptLookupAnswer(frame.stream_record_answer(), from);
                  });
}

/// @return the other relays that hold the record of a stream, without those that were silent
/// recently.
std::set<std::string> StreamOriginClient::holdersOf(const relay::StreamId& stream) const {
  std::set<std::string> holders;
  for (std::string& holder : relay::chooseRecordHolders(stream, relays_, kHolders)) {
    if (holder != peers_->ownAddress() && !peers_->isSilent(holder)) {
      holders.insert(std::move(holder));
    }
  }
  return holders;
}

v1::Frame StreamOriginClient::storeFrame(const relay::StreamId& stream,
                                         const relay::StreamOrigin& origin, int64_t lifetime_ms) {
  v1::Frame frame;
  v1::StreamRecordStore& store = *frame.mutable_stream_record_store();
  store.set_sequence(++sequence_);
  setKey(*store.mutable_stream(), stream);
  store.set_service(origin.service);
  store.set_version(origin.version);
  store.set_lifetime_ms(static_cast<uint32_t>(lifetime_ms));
  return frame;
}

asio::awaitable<void> StreamOriginClient::record(relay::StreamId stream, relay::StreamOrigin origin,
                                                 int64_t lifetime_ms) {
  const auto self = shared_from_this();
  ++counts_.recorded;
  records_.store(stream, origin, clock_.monotonicMs() + lifetime_ms);
  auto round = std::make_shared<Round>(context_, holdersOf(stream));
  round->needed = std::min(kAcknowledgements, round->waiting.size());
  v1::Frame frame = storeFrame(stream, origin, lifetime_ms);
  const uint64_t sequence = sequence_;
  co_await ask(round, sequence, std::move(frame));
  counts_.unacknowledged += round->result.answers < kAcknowledgements ? 1 : 0;
}

void StreamOriginClient::repeat(const relay::StreamId& stream, const relay::StreamOrigin& origin,
                                int64_t lifetime_ms) {
  ++counts_.repeated;
  records_.store(stream, origin, clock_.monotonicMs() + lifetime_ms);
  const v1::Frame frame = storeFrame(stream, origin, lifetime_ms);
  for (const std::string& holder : holdersOf(stream)) {
    peers_->send(holder, frame);
  }
}

asio::awaitable<StreamLookup> StreamOriginClient::lookUp(relay::StreamId stream) {
  const auto self = shared_from_this();
  const int64_t now_ms = clock_.monotonicMs();
  if (const relay::StreamOrigin* origin = records_.find(stream, now_ms)) {
    ++counts_.found;
    co_return StreamLookup{.origin = *origin};
  }
  auto round = std::make_shared<Round>(context_, holdersOf(stream));
  round->needed = round->waiting.size();
  v1::Frame frame;
  v1::StreamRecordQuery& question = *frame.mutable_stream_record_query();
  question.set_sequence(++sequence_);
  setKey(*question.mutable_stream(), stream);
  const uint64_t sequence = sequence_;
  co_await ask(round, sequence, std::move(frame));
  StreamLookup result = std::move(round->result);
  if (result.origin) {
    ++counts_.found;
  } else {
    ++(result.answers > 0 ? counts_.unknown : counts_.unanswered);
  }
  co_return result;
}

/// Sends the question to the relays of the round until enough of them have answered.
asio::awaitable<void> StreamOriginClient::ask(std::shared_ptr<Round> round, uint64_t sequence,
                                              v1::Frame frame) {
  rounds_[sequence] = round;
  for (int i = 0; i < kTransmissions && round->needed > 0; ++i) {
    for (const std::string& relay : round->waiting) {
      peers_->send(relay, frame);
    }
    round->timer.expires_after(kAnswerTimeout);
    co_await round->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  rounds_.erase(sequence);
  if (round->needed == 0) {
    co_return;
  }
  for (const std::string& relay : round->waiting) {
    peers_->reportUnanswered(relay);
  }
}

/// @return the round in which a relay has just answered for the first time; null: there is none.
std::shared_ptr<StreamOriginClient::Round>
StreamOriginClient::answeredRound(uint64_t sequence, const std::string& from) const {
  const auto found = rounds_.find(sequence);
  if (found == rounds_.end() || found->second->waiting.erase(from) == 0) {
    return nullptr;
  }
  const std::shared_ptr<Round>& round = found->second;
  ++round->result.answers;
  round->needed -= round->needed > 0 ? 1 : 0;
  return round;
}

void StreamOriginClient::acceptAcknowledgement(uint64_t sequence, const std::string& from) {
  const auto round = answeredRound(sequence, from);
  if (round && round->needed == 0) {
    round->timer.cancel();
  }
}

void StreamOriginClient::acceptLookupAnswer(const v1::StreamRecordAnswer& answer,
                                            const std::string& from) {
  const auto round = answeredRound(answer.sequence(), from);
  if (!round) {
    return;
  }
  StreamLookup& result = round->result;
  if (answer.known()) {
    result.origin = relay::StreamOrigin{.service = answer.service(), .version = answer.version()};
    round->needed = 0;
  }
  if (round->needed == 0) {
    round->timer.cancel();
  }
}

void StreamOriginClient::storeForPeer(const v1::StreamRecordStore& store, const std::string& from) {
  const relay::StreamOrigin origin{.service = store.service(), .version = store.version()};
  const bool stored = records_.store(streamIdOf(store.stream()), origin,
                                     clock_.monotonicMs() + store.lifetime_ms());
  if (!stored) {
    return;
  }
  v1::Frame frame;
  frame.mutable_stream_record_stored()->set_sequence(store.sequence());
  peers_->send(from, frame);
}

void StreamOriginClient::answerLookup(const v1::StreamRecordQuery& query, const std::string& from) {
  const int64_t now_ms = clock_.monotonicMs();
  const relay::StreamOrigin* origin = records_.find(streamIdOf(query.stream()), now_ms);
  v1::Frame frame;
  v1::StreamRecordAnswer& answer = *frame.mutable_stream_record_answer();
  answer.set_sequence(query.sequence());
  answer.set_known(origin != nullptr);
  if (origin != nullptr) {
    answer.set_service(origin->service);
    answer.set_version(origin->version);
  }
  peers_->send(from, frame);
}

void StreamOriginClient::tick() {
  const int64_t now_ms = clock_.monotonicMs();
  if (now_ms >= next_expiry_ms_) {
    next_expiry_ms_ = now_ms + kExpiryPeriodMs;
    records_.dropExpired(now_ms);
  }
}

} // namespace workshatch::daemon
