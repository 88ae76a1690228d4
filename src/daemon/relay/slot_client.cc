#include "daemon/relay/slot_client.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// What others no longer tell is looked for so often.
constexpr int64_t kExpiryPeriodMs = 500;

} // namespace

SlotGuard& SlotGuard::operator=(SlotGuard&& other) noexcept {
  if (this != &other) {
    release();
    client_ = std::move(other.client_);
    other.client_.reset();
    runner_ = other.runner_;
  }
  return *this;
}

void SlotGuard::release() {
  if (const auto client = std::exchange(client_, {}).lock()) {
    client->release(runner_);
  }
}

SlotClient::SlotClient(std::shared_ptr<RelayPeers> peers, const Clock& clock, uint32_t incarnation,
                       RunnerSource runner_source)
    : peers_(std::move(peers)), clock_(clock), held_(incarnation),
      runner_source_(std::move(runner_source)) {
  peers_->onFrame(v1::Frame::kPlaceClaim, [this](const v1::Frame& frame, const std::string& from) {
    answerClaim(frame.place_claim(), from);
  });
  peers_->onFrame(v1::Frame::kPlaceUse, [this](const v1::Frame& frame, const std::string& from) {
    owner_.recordUsage(from, frame.place_use(), clock_.monotonicMs());
  });
  peers_->onAnswer(v1::Frame::kPlaceAnswer,
                   [](const v1::Frame& frame) { return frame.place_answer().sequence(); });
  peers_->observeRelayList(RelayPeers::RelayListObserver{
      .before = [this] { recordOwners(); },
      .after = [this](const std::vector<std::string>& left) { reportToNewOwners(left); }});
}

void SlotClient::recordOwners() {
  owners_before_.clear();
  for (const uint64_t runner : held_.runners()) {
    const std::string* owner = peers_->ownerOf(runner);
    owners_before_[runner] = owner == nullptr ? "" : *owner;
  }
}

void SlotClient::reportToNewOwners(const std::vector<std::string>& left) {
  owner_.recordOwnersChanged(clock_.monotonicMs());
  for (const std::string& relay : left) {
    // A relay that died holds nothing; one that stops gives back what it holds in a moment.
    owner_.forgetRelay(relay);
  }
  for (const auto& [runner, before] : owners_before_) {
    const std::string* owner = peers_->ownerOf(runner);
    if (owner != nullptr && *owner != before) {
      reportToOwner(runner);
    }
  }
}

SlotClaimResult SlotClient::resultOf(uint64_t runner, const relay::SlotOwner::Decision& decision) {
  ++(decision.granted ? counts_.granted : counts_.refused);
  counts_.held_back += decision.wait_ms != 0 ? 1 : 0;
  if (decision.granted) {
    held_.add(runner);
  }
  return SlotClaimResult{.verdict = decision.granted ? SlotVerdict::Granted : SlotVerdict::Refused,
                         .load = decision.load,
                         .wait_ms = decision.wait_ms,
                         .place =
                             decision.granted ? SlotGuard(weak_from_this(), runner) : SlotGuard()};
}

asio::awaitable<SlotClaimResult> SlotClient::claim(uint64_t runner, uint32_t limit,
                                                   uint32_t cold_ms) {
  const int64_t now_ms = clock_.monotonicMs();
  const std::string* known = peers_->ownerOf(runner);
  if (known == nullptr || peers_->isSilent(*known)) {
    ++counts_.unanswered;
    co_return SlotClaimResult{};
  }
  const std::string owner = *known;
  v1::Frame frame;
  v1::PlaceClaim& claim = *frame.mutable_place_claim();
  *claim.mutable_use() = held_.makeReport(runner, now_ms);
  claim.set_limit(limit);
  claim.set_cold_ms(cold_ms);
  if (owner == peers_->ownAddress()) {
    co_return resultOf(runner, owner_.claim(owner, claim, runner_source_(runner), now_ms));
  }
  PeerCall call(peers_, owner,
                AnswerKey{.kind = v1::Frame::kPlaceAnswer, .sequence = claim.use().sequence()},
                frame);
  const v1::Frame* answer = co_await call.answer();
  if (answer == nullptr) {
    ++counts_.unanswered;
    co_return SlotClaimResult{};
  }
  co_return resultOf(runner,
                     relay::SlotOwner::Decision{.granted = answer->place_answer().granted(),
                                                .load = answer->place_answer().load(),
                                                .wait_ms = answer->place_answer().wait_ms()});
}

SlotGuard SlotClient::takeWithoutClaim(uint64_t runner) {
  held_.add(runner);
  reportToOwner(runner);
  return {weak_from_this(), runner};
}

void SlotClient::release(uint64_t runner) {
  held_.remove(runner);
  reportToOwner(runner);
}

void SlotClient::reportToOwner(uint64_t runner) {
  const std::string* owner = peers_->ownerOf(runner);
  if (owner == nullptr) {
    return;
  }
  const int64_t now_ms = clock_.monotonicMs();
  v1::Frame frame;
  *frame.mutable_place_use() = held_.makeReport(runner, now_ms);
  if (*owner == peers_->ownAddress()) {
    owner_.recordUsage(*owner, frame.place_use(), now_ms);
  } else {
    peers_->send(*owner, frame);
  }
}

void SlotClient::tick() {
  const int64_t now_ms = clock_.monotonicMs();
  for (const uint64_t runner : held_.dueRunners(now_ms)) {
    reportToOwner(runner);
  }
  if (now_ms >= stale_due_ms_) {
    stale_due_ms_ = now_ms + kExpiryPeriodMs;
    owner_.forgetStale(now_ms);
  }
}

void SlotClient::answerClaim(const v1::PlaceClaim& claim, const std::string& from) {
  const auto decision =
      owner_.claim(from, claim, runner_source_(claim.use().runner()), clock_.monotonicMs());
  ++counts_.answered;
  v1::Frame frame;
  v1::PlaceAnswer& answer = *frame.mutable_place_answer();
  answer.set_sequence(claim.use().sequence());
  answer.set_granted(decision.granted);
  answer.set_load(decision.load);
  answer.set_wait_ms(decision.wait_ms);
  peers_->send(from, frame);
}

} // namespace workshatch::daemon
