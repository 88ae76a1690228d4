/// @file
/// Tests of the relay role with a fake leader: readiness and a planned stop.
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "adapters/http/blocking_client.h"
#include "adapters/link/framed_link.h"
#include "daemon/relay/relay_role.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

class NoListCodec : public RunnerListCodec {
public:
  std::string target(const std::string&) const override { return "/list"; }
  Result<RunnerPage> decode(std::string_view) const override { return Error{"no list"}; }
};

/// A leader that confirms each renewal and distributes a configuration and a list of one runner.
class FakeLeader {
public:
  FakeLeader(const std::string& address, std::string runner_address)
      : listener_(workers_.context(0)), runner_address_(std::move(runner_address)) {
    const auto listening =
        listener_.listen(address, [this](std::shared_ptr<link::FramedLink> link) {
          links_.push_back(link);
          link->start(
              [this, weak = std::weak_ptr(link)](const v1::Frame& frame) {
                if (const auto from = weak.lock()) {
                  answer(*from, frame.renewal());
                }
              },
              [] {});
        });
    REQUIRE_FALSE(isError(listening));
    workers_.start();
  }
  ~FakeLeader() { workers_.stop(); }
  FakeLeader(const FakeLeader&) = delete;
  FakeLeader& operator=(const FakeLeader&) = delete;

  bool relayIsReady() const { return relay_ready_; }

private:
  void answer(link::FramedLink& link, const v1::LeaseRenewal& renewal) {
    relay_ready_ = renewal.ready();
    v1::Frame frame;
    v1::LeaseReply& reply = *frame.mutable_lease();
    reply.set_sequence(renewal.sequence());
    reply.set_confirmed(true);
    configurations_.add(daemon::packConfiguration(1, "any"));
    *reply.mutable_configuration() = configurations_.updateFrom(renewal.configuration_version());
    reply.mutable_runners()->set_version(1);
    v1::RunnerEntry* runner = reply.mutable_runners()->add_changed();
    runner->set_id("runner-1");
    runner->set_service("s");
    runner->set_address(runner_address_);
    link.send(frame);
  }

  WorkerPool workers_{1};
  link::LinkListener listener_;
  const std::string runner_address_;
  daemon::ConfigurationUpdateBuilder configurations_;
  std::vector<std::shared_ptr<link::FramedLink>> links_;
  std::atomic<bool> relay_ready_{false};
};

} // namespace

TEST_CASE("A planned stop reports not ready, finishes requests in progress, and then completes") {
  std::atomic<bool> runner_may_answer{false};
  std::atomic<bool> runner_has_request{false};
  ScriptedRunner runner([&](auto& socket, const auto&) {
    runner_has_request = true;
    while (!runner_may_answer) {
      std::this_thread::yield();
    }
    writeTo(socket, signedAnswer("q1", "done"));
  });
  const FakeLeader leader("127.0.0.1:18241", runner.address());
  settings::RelaySettings settings;
  settings.name = "relay-1";
  settings.zone = "z";
  settings.caller_address = "127.0.0.1:18242";
  settings.ready_address = "127.0.0.1:18243";
  settings.resolve_address = "127.0.0.1:18244";
  settings.runner_list_address = "127.0.0.1:1";
  settings.seeds = {"127.0.0.1:1"};
  settings.link_port = 18241;
  const SystemClock clock;
  const TestDialect dialect;
  const OneRouteCodec configurations;
  const NoListCodec runner_lists;
  WorkerPool workers(1);
  daemon::RelayRole role(settings, workers, clock,
                         daemon::RelayAdapters{.dialect = dialect,
                                               .configurations = configurations,
                                               .runner_lists = runner_lists});
  REQUIRE_FALSE(isError(role.start()));
  workers.start();
  const auto ready = [&] { return !isError(http::blockingGet(settings.ready_address, "/ready")); };
  REQUIRE(within(kTestTimeout, ready));

  std::string answer;
  std::thread caller(
      [&] { answer = answerTo(TestRelay::requestText("q1"), settings.caller_address); });
  REQUIRE(within(kTestTimeout, [&] { return runner_has_request.load(); }));
  std::atomic<bool> stopped{false};
  boost::asio::post(workers.context(0), [&] { role.stop([&] { stopped = true; }); });
  CHECK(within(kTestTimeout, [&] { return !leader.relayIsReady(); }));
  CHECK_FALSE(ready());
  CHECK_FALSE(stopped);
  runner_may_answer = true;
  caller.join();
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("done"));
  CHECK(within(kTestTimeout, [&] { return stopped.load(); }));
  workers.stop();
}

} // namespace workshatch::test
