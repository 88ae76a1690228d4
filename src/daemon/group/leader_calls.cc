#include "daemon/group/leader_calls.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/problem.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kStoreTimeout{3000};
constexpr std::chrono::milliseconds kReadTimeout{2000};
constexpr uint32_t kRetryAfterMs = 200;

/// A value that is set by a callback and awaited by a coroutine, up to a time limit.
template <typename Value> class Waiter {
public:
  explicit Waiter(asio::io_context& context) : timer_(context) {}

  void set(Value value) {
    if (!value_) {
      value_ = std::move(value);
      timer_.cancel();
    }
  }

  http::awaitable<std::optional<Value>> wait(std::chrono::milliseconds limit) {
    if (!value_) {
      timer_.expires_after(limit);
      co_await timer_.async_wait(kAwait);
    }
    co_return value_;
  }

private:
  asio::steady_timer timer_;
  std::optional<Value> value_;
};

http::Response replicaStoppingResponse() {
  return makeRefusal(http::Status::service_unavailable, "replica_ends", "this replica ends");
}

} // namespace

http::Response makeRefusal(http::Status status, std::string code, std::string detail) {
  const bool retryable = status == http::Status::service_unavailable;
  return http::makeProblem(http::Problem{.status = status,
                                         .code = std::move(code),
                                         .detail = std::move(detail),
                                         .retry_after_ms = retryable ? kRetryAfterMs : 0});
}

bool isStored(const CallOutcome<StoreOutcome>& outcome) {
  const auto* store = std::get_if<StoreOutcome>(&outcome);
  return store != nullptr && *store == StoreOutcome::Stored;
}

http::Response notConfirmedResponse() {
  return makeRefusal(http::Status::service_unavailable, "not_confirmed",
                     "no majority confirmed it");
}

http::Response responseTo(const CallOutcome<StoreOutcome>& outcome) {
  if (isStored(outcome)) {
    return http::makeResponse(http::Status::ok, "application/json", "{}");
  }
  return std::holds_alternative<Unavailable>(outcome) ? replicaStoppingResponse()
                                                      : notConfirmedResponse();
}

http::Response LeaderCalls::redirectToLeader(const http::Exchange& exchange) const {
  const std::string leader = replica_.hintedLeaderAddress();
  const size_t colon = leader.rfind(':');
  if (colon == std::string::npos) {
    return makeRefusal(http::Status::service_unavailable, "no_leader", "no leader is known");
  }
  http::Response response =
      makeRefusal(http::Status::temporary_redirect, "not_leader", "this replica does not lead");
  const std::string location =
      "http://" + leader.substr(0, colon) + ":" + port_ + std::string(exchange.target());
  response.set(http::Field::location, location);
  return response;
}

http::awaitable<CallOutcome<StoreOutcome>>
LeaderCalls::awaitOutcome(std::function<void(GroupReplica::StoreCallback)> propose) {
  using Outcome = CallOutcome<StoreOutcome>;
  const auto waiter = std::make_shared<Waiter<Outcome>>(context_);
  propose([waiter](const Outcome& outcome) { waiter->set(outcome); });
  const std::optional<Outcome> outcome = co_await waiter->wait(kStoreTimeout);
  co_return outcome.value_or(StoreOutcome::NotLeader);
}

http::awaitable<http::Response> LeaderCalls::read(const ReadResponder& answer) {
  using Read = CallOutcome<const v1::StoredConfiguration*>;
  const auto waiter = std::make_shared<Waiter<http::Response>>(context_);
  replica_.read([waiter, answer](const Read& read) {
    const auto* stored = std::get_if<const v1::StoredConfiguration*>(&read);
    if (stored == nullptr) {
      waiter->set(replicaStoppingResponse());
    } else {
      waiter->set(*stored == nullptr ? notConfirmedResponse() : answer(**stored));
    }
  });
  std::optional<http::Response> response = co_await waiter->wait(kReadTimeout);
  co_return response ? std::move(*response) : notConfirmedResponse();
}

} // namespace workshatch::daemon
