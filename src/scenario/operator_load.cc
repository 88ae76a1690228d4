#include "scenario/operator_load.h"

#include <chrono>
#include <memory>
#include <utility>

#include "adapters/rpc/channels.h"
#include "adapters/system_clock.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::scenario {

namespace {

/// Far above the duration of a successful call, so that a call which reaches it got no response.
constexpr int64_t kCallDeadlineMs = 3000;
/// With this interval, 24 operators make about 750 calls per second beside the other load.
constexpr std::chrono::milliseconds kCallInterval{20};

int64_t nowMs() { return SystemClock().monotonicMs(); }

} // namespace

OperatorLoad::OperatorLoad(std::vector<std::string> addresses, std::string token,
                           uint32_t operators)
    : addresses_(std::move(addresses)), token_(std::move(token)), last_answer_ms_(nowMs()) {
  for (uint32_t i = 0; i < operators; ++i) {
    threads_.emplace_back([this, i] { callReplicas(i); });
  }
}

OperatorLoad::~OperatorLoad() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

OperatorCallCounts OperatorLoad::counts() const {
  return OperatorCallCounts{.answered = answered_,
                            .refused = refused_,
                            .timed_out_calls = timed_out_calls_,
                            .longest_gap_ms = longest_gap_ms_};
}

void OperatorLoad::callReplicas(size_t first_address) {
  std::vector<std::unique_ptr<v1::Operator::Stub>> stubs;
  stubs.reserve(addresses_.size());
  for (const std::string& address : addresses_) {
    stubs.push_back(v1::Operator::NewStub(rpc::makeChannel(address)));
  }
  for (size_t call = first_address; !stopped_; ++call) {
    grpc::ClientContext context;
    rpc::setKeyAndDeadline(context, token_, kCallDeadlineMs);
    v1::StatusReply reply;
    const grpc::Status status =
        stubs[call % stubs.size()]->Status(&context, v1::StatusRequest(), &reply);
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      ++timed_out_calls_;
    } else if (status.ok() && !reply.not_leader()) {
      ++answered_;
      recordAnswer();
    } else {
      ++refused_;
    }
    std::this_thread::sleep_for(kCallInterval);
  }
}

void OperatorLoad::recordAnswer() {
  const int64_t now = nowMs();
  const int64_t pause = now - last_answer_ms_.exchange(now);
  int64_t longest = longest_gap_ms_;
  while (pause > longest && !longest_gap_ms_.compare_exchange_weak(longest, pause)) {
  }
}

} // namespace workshatch::scenario
