#include "daemon/relay/slot_client.h"

#include <algorithm>

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// Period of the search for counts that other relays no longer report.
constexpr int64_t kExpiryPeriodMs = 500;

/// Adds the report about a plain runner to an answer.
void writePlainReport(const relay::PlainRunnerReport& report, v1::PlaceAnswer& answer) {
  answer.set_service_time_ms(report.service_time_ms);
  answer.set_failed_percent(report.failed_percent);
  if (report.expected_ms != 0) {
    answer.set_expected_start_ms(report.expected_ms);
  }
}

relay::PlainRunnerReport readPlainReport(const v1::PlaceAnswer& answer) {
  return relay::PlainRunnerReport{.service_time_ms = answer.service_time_ms(),
                                  .failed_percent = answer.failed_percent(),
                                  .expected_ms = answer.expected_start_ms(),
                                  .late = answer.refusal() == v1::PLACE_REFUSAL_LATE};
}

} // namespace

SlotGuard& SlotGuard::operator=(SlotGuard&& other) noexcept {
  if (this != &other) {
    release();
    client_ = std::move(other.client_);
    other.client_.reset();
    runner_ = other.runner_;
    claim_ = other.claim_;
  }
  return *this;
}

void SlotGuard::release(relay::RequestEnd end) {
  if (const auto client = std::exchange(client_, {}).lock()) {
    client->release(runner_, claim_, end);
  }
}

void SlotGuard::recordFirstEvent() {
  const auto client = claim_ == 0 ? nullptr : client_.lock();
  if (client) {
    client->recordFirstEvent(runner_, claim_);
  }
}

SlotClient::SlotClient(std::shared_ptr<RelayPeers> peers, const Clock& clock, uint32_t incarnation,
                       RunnerSource runner_source)
    : peers_(std::move(peers)), clock_(clock), used_slots_(incarnation),
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
      .after = [this](const std::vector<std::string>& removed) { reportToNewOwners(removed); }});
}

void SlotClient::recordOwners() {
  previous_owners_.clear();
  for (const uint64_t runner : used_slots_.runners()) {
    const std::string* owner = peers_->ownerOf(runner);
    previous_owners_[runner] = owner == nullptr ? "" : *owner;
  }
}

void SlotClient::reportToNewOwners(const std::vector<std::string>& removed) {
  const int64_t now_ms = clock_.monotonicMs();
  owner_.recordOwnersChanged(now_ms);
  for (const std::string& relay : removed) {
    // A relay that crashed uses no slots; one that is stopping is about to release its slots.
    owner_.dropRelay(relay, now_ms);
  }
  for (const auto& [runner, before] : previous_owners_) {
    const std::string* owner = peers_->ownerOf(runner);
    if (owner != nullptr && *owner != before) {
      reportToOwner(runner);
    }
  }
}

/// Makes the message of a claim. If it has a demand, the usage reports to the owner list the claim
/// from now on.
v1::PlaceClaim SlotClient::makeClaim(const SlotClaim& request, int64_t now_ms) {
  v1::PlaceClaim claim;
  *claim.mutable_use() = used_slots_.makeReport(request.runner, now_ms);
  claim.set_limit(request.limit);
  claim.set_cold_ms(request.cold_ms);
  claim.set_kv_limit(request.prompt_limits.kv_limit);
  claim.set_brittle_declines(request.max_declines ? *request.max_declines + 1 : 0);
  claim.set_start_within_ms(request.demand ? request.prompt_limits.start_within_ms
                                           : request.start_within_ms);
  if (request.demand) {
    *claim.mutable_demand() = *request.demand;
    used_slots_.addClaim(request.runner, claim.use().sequence());
  }
  return claim;
}

SlotClaimResult SlotClient::resultOf(const v1::PlaceClaim& claim,
                                     const relay::SlotOwner::Decision& decision) {
  const uint64_t runner = claim.use().runner();
  ++(decision.granted ? counts_.granted : counts_.refused);
  counts_.held_back += decision.wait_ms != 0 ? 1 : 0;
  SlotClaimResult result{.verdict = SlotVerdict::Refused,
                         .load = decision.load,
                         .wait_ms = decision.wait_ms,
                         .refusal = decision.refusal,
                         .expected_start_ms =
                             std::max(decision.expected_start_ms, decision.plain.expected_ms),
                         .plain = decision.plain};
  if (!decision.granted) {
    used_slots_.removeClaim(runner, claim.use().sequence());
    return result;
  }
  used_slots_.add(runner);
  const uint64_t listed_claim = claim.has_demand() ? claim.use().sequence() : 0;
  result.verdict = SlotVerdict::Granted;
  result.slot = SlotGuard(weak_from_this(), runner, listed_claim);
  return result;
}

/// Gives up a claim that was not answered in time. If the owner granted it nevertheless, the next
/// report corrects the owner's count.
SlotClaimResult SlotClient::unanswered(const v1::PlaceClaim& claim) {
  ++counts_.unanswered;
  used_slots_.removeClaim(claim.use().runner(), claim.use().sequence());
  return {};
}

asio::awaitable<SlotClaimResult> SlotClient::claim(SlotClaim request) {
  const int64_t now_ms = clock_.monotonicMs();
  const std::string* owner_address = peers_->ownerOf(request.runner);
  if (owner_address == nullptr || peers_->isSilent(*owner_address)) {
    ++counts_.unanswered;
    co_return SlotClaimResult{};
  }
  const std::string owner = *owner_address;
  v1::Frame frame;
  v1::PlaceClaim& claim = *frame.mutable_place_claim();
  claim = makeClaim(request, now_ms);
  if (owner == peers_->ownAddress()) {
    co_return resultOf(claim, owner_.claim(owner, claim, runner_source_(request.runner), now_ms));
  }
  PeerCall call(peers_, owner,
                AnswerKey{.kind = v1::Frame::kPlaceAnswer, .sequence = claim.use().sequence()},
                frame);
  const v1::Frame* reply = co_await call.answer();
  if (reply == nullptr) {
    co_return unanswered(claim);
  }
  const v1::PlaceAnswer& answer = reply->place_answer();
  const relay::PlainRunnerReport plain = readPlainReport(answer);
  recordServiceTime(request.runner, plain, clock_.monotonicMs());
  co_return resultOf(claim,
                     relay::SlotOwner::Decision{.granted = answer.granted(),
                                                .load = answer.load(),
                                                .wait_ms = answer.wait_ms(),
                                                .refusal = answer.refusal(),
                                                .expected_start_ms = answer.expected_start_ms(),
                                                .plain = plain});
}

/// Keeps a service time that another owner reported, for the runners that this relay owns.
void SlotClient::recordServiceTime(uint64_t runner, const relay::PlainRunnerReport& report,
                                   int64_t now_ms) {
  if (report.service_time_ms == 0) {
    return;
  }
  if (const auto plain = runner_source_(runner).plain) {
    owner_.recordReceivedServiceTime(plain->service, report.service_time_ms, now_ms);
  }
}

SlotGuard SlotClient::takeWithoutClaim(uint64_t runner) {
  used_slots_.add(runner);
  reportToOwner(runner);
  return {weak_from_this(), runner};
}

void SlotClient::release(uint64_t runner, uint64_t claim, relay::RequestEnd end) {
  used_slots_.remove(runner);
  used_slots_.removeClaim(runner, claim);
  used_slots_.recordEnd(runner, end);
  reportToOwner(runner);
}

void SlotClient::recordFirstEvent(uint64_t runner, uint64_t claim) {
  if (used_slots_.recordFirstEvent(runner, claim)) {
    reportToOwner(runner);
  }
}

void SlotClient::reportToOwner(uint64_t runner) {
  const std::string* owner = peers_->ownerOf(runner);
  if (owner == nullptr) {
    used_slots_.dropEnded(runner);
    return;
  }
  const int64_t now_ms = clock_.monotonicMs();
  v1::Frame frame;
  *frame.mutable_place_use() = used_slots_.makeReport(runner, now_ms);
  if (*owner == peers_->ownAddress()) {
    owner_.recordUsage(*owner, frame.place_use(), now_ms);
  } else {
    peers_->send(*owner, frame);
  }
}

void SlotClient::tick() {
  const int64_t now_ms = clock_.monotonicMs();
  for (const uint64_t runner : used_slots_.dueRunners(now_ms)) {
    reportToOwner(runner);
  }
  if (now_ms >= next_expiry_ms_) {
    next_expiry_ms_ = now_ms + kExpiryPeriodMs;
    owner_.dropStale(now_ms);
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
  answer.set_refusal(decision.refusal);
  answer.set_expected_start_ms(decision.expected_start_ms);
  writePlainReport(decision.plain, answer);
  peers_->send(from, frame);
}

} // namespace workshatch::daemon
