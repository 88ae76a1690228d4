/// @file
/// Fixture that runs one relay role on loopback with a fake leader, and stops it.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "adapters/http/blocking_client.h"
#include "adapters/link/framed_link.h"
#include "daemon/relay/relay_role.h"
#include "unit/daemon/list_codecs.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

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

/// A relay that serves requests on the route to one runner until it is stopped.
class RunningRelay {
public:
  static settings::RelaySettings defaultSettings() {
    settings::RelaySettings settings;
    settings.name = "relay-1";
    settings.zone = "z";
    settings.caller_address = "127.0.0.1:18242";
    settings.ready_address = "127.0.0.1:18243";
    settings.resolve_address = "127.0.0.1:18244";
    settings.forward_port = 18245;
    settings.runner_list_address = "127.0.0.1:1";
    settings.seeds = {"127.0.0.1:1"};
    settings.link_port = 18241;
    return settings;
  }

  /// Returns once the relay is ready.
  explicit RunningRelay(const std::string& runner_address,
                        settings::RelaySettings settings = defaultSettings(),
                        const relay::Route& route = testRoute(relay::RouteKind::RunOnce, 1))
      : settings_(std::move(settings)), leader_("127.0.0.1:18241", runner_address),
        configurations_(route), role_(settings_, workers_, clock_,
                                      daemon::RelayAdapters{.dialect = dialect_,
                                                            .configurations = configurations_,
                                                            .runner_lists = runner_lists_}) {
    REQUIRE_FALSE(isError(role_.start()));
    workers_.start();
    REQUIRE(within(kTestTimeout, [this] { return ready(); }));
  }
  ~RunningRelay() { workers_.stop(); }
  RunningRelay(const RunningRelay&) = delete;
  RunningRelay& operator=(const RunningRelay&) = delete;

  const FakeLeader& leader() const { return leader_; }
  const settings::RelaySettings& settings() const { return settings_; }
  bool ready() const { return !isError(http::blockingGet(settings_.ready_address, "/ready")); }
  void stop() {
    boost::asio::post(workers_.context(0), [this] { role_.stop([this] { stopped_ = true; }); });
  }
  bool stopped() const { return stopped_; }
  std::string send(const std::string& request) const {
    return answerTo(request, settings_.caller_address);
  }

private:
  const settings::RelaySettings settings_;
  const FakeLeader leader_;
  const SystemClock clock_{};
  const TestDialect dialect_{};
  const OneRouteCodec configurations_;
  const NoListCodec runner_lists_{};
  std::atomic<bool> stopped_{false};
  WorkerPool workers_{1};
  daemon::RelayRole role_;
};

} // namespace workshatch::test
