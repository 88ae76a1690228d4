#include "daemon/relay/runner_ends.h"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "adapters/http/runner_connection.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// An address that nobody listens at refuses within a round trip; one that says nothing for longer
/// is no sign of an end.
constexpr std::chrono::milliseconds kLookLimit{300};

} // namespace

void RunnerEnds::noteCut(const relay::Runner& runner, const relay::RequestIdentity& request) {
  using AfterCut = relay::RunnerEndWatch::AfterCut;
  const AfterCut next = watch_.noteCut(runner.fingerprint, request, clock_.monotonicMs());
  if (next == AfterCut::Report) {
    tellLeader();
  }
  if (next != AfterCut::Look) {
    return;
  }
  asio::co_spawn(
      context_,
      [self = shared_from_this(), id = runner.fingerprint, address = runner.entry.address()] {
        return self->look(id, address);
      },
      asio::detached);
}

http::awaitable<void> RunnerEnds::look(uint64_t runner, std::string address) {
  const auto endpoint = http::parseEndpoint(address);
  if (!endpoint) {
    co_return;
  }
  ++counts_.looks;
  const auto connection = std::make_shared<http::RunnerConnection>(context_);
  const auto error = co_await connection->connect(*endpoint, kLookLimit);
  connection->close();
  if (!error) {
    watch_.noteListening(runner);
  } else if (error->refused) {
    ++counts_.refused;
    refused(runner);
  }
}

void RunnerEnds::refused(uint64_t runner) {
  if (!watch_.noteRefused(runner, clock_.monotonicMs())) {
    return;
  }
  tellLeader();
}

void RunnerEnds::tellLeader() {
  ++counts_.reports;
  tell_leader_();
}

void RunnerEnds::noteRefused(const relay::Runner& runner) { refused(runner.fingerprint); }

void RunnerEnds::noteListening(const relay::Runner& runner) {
  watch_.noteListening(runner.fingerprint);
}

void RunnerEnds::noteWhole(const relay::RequestIdentity& request) {
  watch_.noteWhole(request, clock_.monotonicMs());
}

bool RunnerEnds::ranWhole(const relay::RequestIdentity& request) {
  return watch_.ranWhole(request, clock_.monotonicMs());
}

void RunnerEnds::fill(v1::LeaseRenewal& renewal, bool first_on_link) {
  watch_.fill(renewal, first_on_link, clock_.monotonicMs());
}

} // namespace workshatch::daemon
