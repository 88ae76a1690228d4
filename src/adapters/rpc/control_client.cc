#include "adapters/rpc/control_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/rpc/channels.h"

namespace workshatch::rpc {

namespace asio = boost::asio;

namespace {

/// Timeout of one attempt, after which the next replica is tried.
constexpr int64_t kAttemptTimeoutMs = 700;
constexpr std::chrono::milliseconds kRetryDelay{50};

/// Starts an asynchronous gRPC call and resumes on the executor of the caller when it is finished.
///
/// Here and elsewhere temporaries in a co_await expression are stored in named variables first,
/// since GCC 12 may destroy unnamed ones twice (GCC bug 99576).
/// @param start starts the call; must outlive it
template <typename Call> asio::awaitable<grpc::Status> awaitCall(const Call& start) {
  const auto executor = co_await asio::this_coro::executor;
  const auto initiate = [executor, &start](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    start([executor, shared](grpc::Status status) {
      asio::post(executor, [shared, status = std::move(status)]() mutable {
        std::move (*shared)(std::move(status));
      });
    });
  };
  grpc::Status status =
      co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(grpc::Status)>(
          initiate, asio::use_awaitable);
  co_return status;
}

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace

ControlClient::ControlClient(std::vector<std::string> addresses, std::string key,
                             AddressOverrides overrides)
    : addresses_(std::move(addresses)), key_(std::move(key)) {
  for (const std::string& address : addresses_) {
    stubs_.push_back(v1::Control::NewStub(makeChannel(overrides.resolve(address))));
  }
}

ControlClient::Target ControlClient::target() {
  const std::lock_guard lock(mutex_);
  return Target{.index = current_, .stub = stubs_[current_].get()};
}

void ControlClient::selectNextReplica(size_t failed, const std::string& leader_address) {
  const std::lock_guard lock(mutex_);
  if (current_ != failed) {
    return;
  }
  const auto leader = std::find(addresses_.begin(), addresses_.end(), leader_address);
  current_ = leader != addresses_.end() ? static_cast<size_t>(leader - addresses_.begin())
                                        : (failed + 1) % addresses_.size();
}

template <typename Request, typename Reply, typename Method>
asio::awaitable<Result<Reply>> ControlClient::callOnce(Request request, int64_t timeout_ms,
                                                       Method method) {
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  call->request = std::move(request);
  setKeyAndDeadline(call->context, key_, timeout_ms);
  const Target chosen = target();
  if (!calls_.begin(call)) {
    co_return Error{"the client is shutting down"};
  }
  const auto start = [this, &call = *call, chosen, method](auto done) {
    (chosen.stub->async()->*method)(&call.context, &call.request, &call.reply,
                                    [this, &call, done](grpc::Status result) {
                                      done(std::move(result));
                                      calls_.markFinished(call);
                                    });
  };
  const grpc::Status status = co_await awaitCall(start);
  if (!status.ok()) {
    selectNextReplica(chosen.index, "");
    co_return Error{"control replica " + addresses_[chosen.index] + ": " + status.error_message()};
  }
  if (call->reply.not_leader()) {
    selectNextReplica(chosen.index, call->reply.leader_address());
    co_return Error{"control replica " + addresses_[chosen.index] + " is not the leader"};
  }
  Result<Reply> result(std::move(call->reply));
  co_return result;
}

template <typename Request, typename Method>
asio::awaitable<Result<v1::LedgerReply>>
ControlClient::callUntilAnswered(Request request, int64_t timeout_ms, Method method) {
  const int64_t deadline = nowMs() + timeout_ms;
  asio::steady_timer retry_timer(co_await asio::this_coro::executor);
  while (true) {
    const int64_t remaining_ms = std::max<int64_t>(deadline - nowMs(), 1);
    Result<v1::LedgerReply> result = co_await callOnce<Request, v1::LedgerReply>(
        request, std::min(remaining_ms, kAttemptTimeoutMs), method);
    if (!isError(result) || nowMs() >= deadline) {
      co_return result;
    }
    retry_timer.expires_after(kRetryDelay);
    co_await retry_timer.async_wait(asio::use_awaitable);
  }
}

namespace {

/// Pointer to the asynchronous stub method for the given request and reply.
template <typename Request, typename Reply>
using AsyncMethod = void (v1::Control::Stub::async::*)(grpc::ClientContext*, const Request*, Reply*,
                                                       std::function<void(grpc::Status)>);

} // namespace

asio::awaitable<Result<v1::RenewReply>> ControlClient::renew(v1::RenewRequest request,
                                                             int64_t timeout_ms) {
  const AsyncMethod<v1::RenewRequest, v1::RenewReply> method = &v1::Control::Stub::async::Renew;
  auto result =
      co_await callOnce<v1::RenewRequest, v1::RenewReply>(std::move(request), timeout_ms, method);
  co_return result;
}

asio::awaitable<Result<v1::DepartReply>> ControlClient::depart(v1::DepartRequest request,
                                                               int64_t timeout_ms) {
  const AsyncMethod<v1::DepartRequest, v1::DepartReply> method = &v1::Control::Stub::async::Depart;
  auto result =
      co_await callOnce<v1::DepartRequest, v1::DepartReply>(std::move(request), timeout_ms, method);
  co_return result;
}

asio::awaitable<Result<v1::LedgerReply>> ControlClient::begin(v1::LedgerBeginRequest request,
                                                              int64_t timeout_ms) {
  const AsyncMethod<v1::LedgerBeginRequest, v1::LedgerReply> method =
      &v1::Control::Stub::async::LedgerBegin;
  auto result = co_await callUntilAnswered(std::move(request), timeout_ms, method);
  co_return result;
}

asio::awaitable<Result<v1::LedgerReply>> ControlClient::finish(v1::LedgerFinishRequest request,
                                                               int64_t timeout_ms) {
  const AsyncMethod<v1::LedgerFinishRequest, v1::LedgerReply> method =
      &v1::Control::Stub::async::LedgerFinish;
  auto result = co_await callUntilAnswered(std::move(request), timeout_ms, method);
  co_return result;
}

asio::awaitable<Result<v1::LedgerReply>> ControlClient::abort(v1::LedgerAbortRequest request,
                                                              int64_t timeout_ms) {
  const AsyncMethod<v1::LedgerAbortRequest, v1::LedgerReply> method =
      &v1::Control::Stub::async::LedgerAbort;
  auto result = co_await callUntilAnswered(std::move(request), timeout_ms, method);
  co_return result;
}

} // namespace workshatch::rpc
