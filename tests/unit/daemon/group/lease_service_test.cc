/// @file
/// Tests of the leader's service for relays over loopback links: confirmation of renewals and
/// bandwidth limit of pushed lists.
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "adapters/link/framed_link.h"
#include "daemon/group/lease_service.h"
#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

TEST_CASE("A renewal is confirmed only by a majority that answers after it arrived") {
  Group group;
  startFirst(group);
  std::string leading = "a";
  for (const char* address : {"a", "b", "c"}) {
    leading = group.at(address).leads() ? address : leading;
  }
  constexpr double kLinkMbps = 100;
  const OneRouteCodec codec;
  daemon::LeaseService service(group.context(), group.at(leading), group.clock(), kLinkMbps, codec,
                               daemon::ServedVersionOptions{.lease_ms = 4000});
  link::LinkListener listener(group.context());
  std::vector<std::shared_ptr<link::FramedLink>> links;
  constexpr const char* kAddress = "127.0.0.1:18261";
  REQUIRE_FALSE(isError(listener.listen(kAddress, [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&service, weak = std::weak_ptr(link)](const v1::Frame& frame) {
          if (const auto from = weak.lock()) {
            service.handleRenewal(from, frame.renewal());
          }
        },
        [] {});
  })));
  std::shared_ptr<link::FramedLink> relay;
  std::vector<v1::LeaseReply> replies;
  link::LinkDialer dialer(group.context());
  dialer.dial(kAddress, std::chrono::seconds(5), [&](std::shared_ptr<link::FramedLink> link) {
    relay = std::move(link);
    relay->start([&](const v1::Frame& frame) { replies.push_back(frame.lease()); }, [] {});
  });
  REQUIRE(group.runUntil([&] { return relay != nullptr; }));
  const auto renew = [&](uint64_t sequence) {
    v1::Frame frame;
    frame.mutable_renewal()->set_sequence(sequence);
    frame.mutable_renewal()->set_name("relay-1");
    // The fixture's documents are not compressed. The relay reports that it has the configuration,
    // which keeps the leader from sending it.
    frame.mutable_renewal()->set_configuration_version(1);
    relay->send(frame);
  };
  renew(1);
  REQUIRE(group.runUntil([&] { return !replies.empty(); }));
  CHECK(replies[0].confirmed());
  CHECK(replies[0].sequence() == 1);
  // Without the other replicas, their earlier answers must not confirm a renewal.
  for (const char* address : {"a", "b", "c"}) {
    if (address != leading) {
      group.kill(address);
    }
  }
  replies.clear();
  REQUIRE(group.at(leading).leads());
  renew(2);
  REQUIRE(group.runUntil([&] { return !group.at(leading).isLeader() && !replies.empty(); }));
  for (const v1::LeaseReply& reply : replies) {
    CHECK_FALSE(reply.confirmed());
  }
  relay->close();
}

TEST_CASE("A large runner list is pushed to relays one by one within the bandwidth limit") {
  Group group;
  startFirst(group);
  std::string leading = "a";
  for (const char* address : {"a", "b", "c"}) {
    leading = group.at(address).leads() ? address : leading;
  }
  // This bandwidth allows a burst of 4 KB; the list is several times larger.
  constexpr double kLinkMbps = 1;
  constexpr int kRelays = 4;
  const OneRouteCodec codec;
  daemon::LeaseService service(group.context(), group.at(leading), group.clock(), kLinkMbps, codec,
                               daemon::ServedVersionOptions{.lease_ms = 4000});
  link::LinkListener listener(group.context());
  std::vector<std::shared_ptr<link::FramedLink>> links;
  constexpr const char* kAddress = "127.0.0.1:18262";
  REQUIRE_FALSE(isError(listener.listen(kAddress, [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&service, weak = std::weak_ptr(link)](const v1::Frame& frame) {
          if (const auto from = weak.lock()) {
            service.handleRenewal(from, frame.renewal());
          }
        },
        [] {});
  })));
  std::vector<std::shared_ptr<link::FramedLink>> relays;
  std::vector<int64_t> list_received_ms;
  size_t confirmed = 0;
  std::vector<std::unique_ptr<link::LinkDialer>> dialers;
  for (int i = 0; i < kRelays; ++i) {
    dialers.push_back(std::make_unique<link::LinkDialer>(group.context()));
    dialers.back()->dial(kAddress, std::chrono::seconds(5),
                         [&, i](std::shared_ptr<link::FramedLink> link) {
                           link->start(
                               [&](const v1::Frame& frame) {
                                 confirmed += frame.lease().confirmed() ? 1 : 0;
                                 if (frame.lease().has_runners()) {
                                   list_received_ms.push_back(group.clock().monotonicMs());
                                 }
                               },
                               [] {});
                           v1::Frame frame;
                           frame.mutable_renewal()->set_sequence(1);
                           frame.mutable_renewal()->set_name("relay-" + std::to_string(i));
                           frame.mutable_renewal()->set_configuration_version(1);
                           link->send(frame);
                           relays.push_back(std::move(link));
                         });
  }
  REQUIRE(group.runUntil([&] { return confirmed == kRelays; }));
  v1::RunnerList list;
  SeededRandom random(3);
  for (int i = 0; i < 400; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id(std::to_string(random.next()));
    entry->set_address(std::to_string(random.next()));
  }
  service.updateRunnerList(list);
  REQUIRE(group.runUntil([&] { return list_received_ms.size() == kRelays; }));
  // Each copy is about 10 KB, at 87 KB/s. All leases were confirmed before the push.
  CHECK(list_received_ms.back() - list_received_ms.front() >= 150);
  for (const auto& relay : relays) {
    relay->close();
  }
}

} // namespace workshatch::test
