#include "scenario/operator_press.h"

#include <chrono>
#include <memory>
#include <utility>

#include "adapters/rpc/channels.h"
#include "adapters/system_clock.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::scenario {

namespace {

/// Far above what an answer takes; a call that lasts as long was left waiting.
constexpr int64_t kCallDeadlineMs = 3000;
/// Twenty-four operators make some 750 calls a second beside other work.
constexpr std::chrono::milliseconds kBetweenCalls{20};

int64_t nowMs() { return SystemClock().monotonicMs(); }

} // namespace

OperatorPress::OperatorPress(std::vector<std::string> addresses, std::string token,
                             uint32_t operators)
    : addresses_(std::move(addresses)), token_(std::move(token)), answered_at_ms_(nowMs()) {
  for (uint32_t i = 0; i < operators; ++i) {
    threads_.emplace_back([this, i] { press(i); });
  }
}

OperatorPress::~OperatorPress() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

PressCounts OperatorPress::counts() const {
  return PressCounts{.answered = answered_,
                     .turned_away = turned_away_,
                     .left_waiting = left_waiting_,
                     .longest_pause_ms = longest_pause_ms_};
}

void OperatorPress::press(size_t first_address) {
  std::vector<std::unique_ptr<v1::Operator::Stub>> stubs;
  stubs.reserve(addresses_.size());
  for (const std::string& address : addresses_) {
    stubs.push_back(v1::Operator::NewStub(rpc::makeChannel(address)));
  }
  for (size_t call = first_address; !stopped_; ++call) {
    grpc::ClientContext context;
    rpc::prepare(context, token_, kCallDeadlineMs);
    v1::StatusReply reply;
    const grpc::Status status =
        stubs[call % stubs.size()]->Status(&context, v1::StatusRequest(), &reply);
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      ++left_waiting_;
    } else if (status.ok() && !reply.not_leader()) {
      ++answered_;
      noteAnswer();
    } else {
      ++turned_away_;
    }
    std::this_thread::sleep_for(kBetweenCalls);
  }
}

void OperatorPress::noteAnswer() {
  const int64_t now = nowMs();
  const int64_t pause = now - answered_at_ms_.exchange(now);
  int64_t longest = longest_pause_ms_;
  while (pause > longest && !longest_pause_ms_.compare_exchange_weak(longest, pause)) {
  }
}

} // namespace workshatch::scenario
