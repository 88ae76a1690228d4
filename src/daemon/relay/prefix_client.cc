#include "daemon/relay/prefix_client.h"

#include <utility>
#include <vector>

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// Period of the search for entries to remove.
constexpr int64_t kExpiryPeriodMs = 2000;

} // namespace

PrefixClient::PrefixClient(std::shared_ptr<RelayPeers> peers, const Clock& clock,
                           CopyFilter can_copy)
    : peers_(std::move(peers)), clock_(clock), can_copy_(std::move(can_copy)) {
  peers_->onFrame(v1::Frame::kPartQuestion,
                  [this](const v1::Frame& frame, const std::string& from) {
                    answerLookup(frame.part_question(), from);
                  });
  peers_->onFrame(v1::Frame::kPartNotSent, [this](const v1::Frame& frame, const std::string&) {
    const v1::PartNotSent& report = frame.part_not_sent();
    directory_.recordNotDelivered(relay::PromptTarget{
        .prefix = report.part(), .parent = report.parent(), .runner = report.runner()});
  });
  peers_->onAnswer(v1::Frame::kPartAnswer,
                   [](const v1::Frame& frame) { return frame.part_answer().sequence(); });
  peers_->observeRelayList(
      RelayPeers::RelayListObserver{.before = [] {},
                                    .after =
                                        [this](const std::vector<std::string>&) {
                                          directory_.recordOwnersChanged(clock_.monotonicMs());
                                        }});
}

PrefixClient::Lookup PrefixClient::lookUpSource(const relay::PromptTarget& prompt) {
  Lookup lookup(*this);
  const std::string* owner = peers_->ownerOf(prompt.group());
  if (owner == nullptr || peers_->isSilent(*owner)) {
    return lookup;
  }
  if (*owner == peers_->ownAddress()) {
    lookup.local_answer_ = findSource(prompt);
    return lookup;
  }
  v1::Frame frame;
  v1::PartQuestion& question = *frame.mutable_part_question();
  question.set_sequence(++sequence_);
  question.set_part(prompt.prefix);
  question.set_parent(prompt.parent);
  question.set_runner(prompt.runner);
  question.set_part_copy_us(prompt.part_copy_us);
  question.set_parent_copy_us(prompt.parent_copy_us);
  lookup.call_ = std::make_unique<PeerCall>(
      peers_, *owner, AnswerKey{.kind = v1::Frame::kPartAnswer, .sequence = sequence_}, frame);
  return lookup;
}

asio::awaitable<std::optional<relay::PrefixSource>> PrefixClient::Lookup::answer() {
  if (local_answer_) {
    co_return client_.count(*local_answer_);
  }
  const v1::Frame* answer = nullptr;
  if (call_) {
    answer = co_await call_->answer();
  }
  if (answer == nullptr) {
    ++client_.counts_.unanswered;
    co_return std::nullopt;
  }
  co_return client_.count(relay::PrefixSource{.known = answer->part_answer().known(),
                                              .runner = answer->part_answer().source()});
}

relay::PrefixSource PrefixClient::count(const relay::PrefixSource& source) {
  if (source.runner != 0) {
    ++counts_.source_named;
  } else {
    ++(source.known ? counts_.no_source : counts_.unknown);
  }
  return source;
}

void PrefixClient::reportNotSent(const relay::PromptTarget& prompt) {
  const std::string* owner = peers_->ownerOf(prompt.group());
  if (owner == nullptr) {
    return;
  }
  if (*owner == peers_->ownAddress()) {
    directory_.recordNotDelivered(prompt);
    return;
  }
  v1::Frame frame;
  v1::PartNotSent& report = *frame.mutable_part_not_sent();
  report.set_part(prompt.prefix);
  report.set_parent(prompt.parent);
  report.set_runner(prompt.runner);
  peers_->send(*owner, frame);
}

relay::PrefixSource PrefixClient::findSource(const relay::PromptTarget& prompt) {
  const auto usable = [&](uint64_t source) { return can_copy_(source, prompt.runner); };
  return directory_.sourceFor(prompt, usable, clock_.monotonicMs());
}

void PrefixClient::answerLookup(const v1::PartQuestion& question, const std::string& from) {
  const relay::PrefixSource source =
      findSource(relay::PromptTarget{.prefix = question.part(),
                                     .parent = question.parent(),
                                     .runner = question.runner(),
                                     .part_copy_us = question.part_copy_us(),
                                     .parent_copy_us = question.parent_copy_us()});
  v1::Frame frame;
  v1::PartAnswer& answer = *frame.mutable_part_answer();
  answer.set_sequence(question.sequence());
  answer.set_known(source.known);
  answer.set_source(source.runner);
  peers_->send(from, frame);
}

void PrefixClient::tick() {
  const int64_t now_ms = clock_.monotonicMs();
  if (now_ms >= next_expiry_ms_) {
    next_expiry_ms_ = now_ms + kExpiryPeriodMs;
    directory_.dropStale(now_ms);
  }
}

} // namespace workshatch::daemon
