/// @file
/// Tests of a relay's link to the leader: the bounded rate of connection attempts while searching,
/// and the renewal period.
#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "adapters/link/framed_link.h"
#include "adapters/system_clock.h"
#include "daemon/relay/control_link.h"

namespace workshatch::test {

TEST_CASE("Two replicas that name each other as the leader get a bounded number of renewals") {
  boost::asio::io_context context;
  const SystemClock clock;
  int renewals = 0;
  link::LinkListener first(context);
  link::LinkListener second(context);
  std::vector<std::shared_ptr<link::FramedLink>> links;
  const auto namesOther = [&](const std::string& other) {
    return [&, other](std::shared_ptr<link::FramedLink> link) {
      links.push_back(link);
      link->start(
          [&, other, weak = std::weak_ptr(link)](const v1::Frame& frame) {
            ++renewals;
            v1::Frame answer;
            answer.mutable_lease()->set_sequence(frame.renewal().sequence());
            answer.mutable_lease()->set_leader_address(other);
            if (const auto from = weak.lock()) {
              from->send(answer);
            }
          },
          [] {});
    };
  };
  REQUIRE_FALSE(isError(first.listen("127.0.0.1:18251", namesOther("127.0.0.1:18252"))));
  REQUIRE_FALSE(isError(second.listen("127.0.0.1:18252", namesOther("127.0.0.1:18251"))));
  const auto renewal = [](bool) {
    v1::LeaseRenewal made;
    made.set_sequence(1);
    return made;
  };
  daemon::ControlLink control(context, clock, "", {"127.0.0.1:18251"}, renewal,
                              [](const v1::LeaseReply&) {});
  control.start();
  // Ten steps of 80 ms with three connection attempts each.
  context.run_for(std::chrono::milliseconds(800));
  CHECK(renewals > 3);
  CHECK(renewals <= 40);
  control.stop();
}

TEST_CASE("A relay uses the renewal period that the leader sets, up to a maximum") {
  boost::asio::io_context context;
  const SystemClock clock;
  int renewals = 0;
  link::LinkListener leader(context);
  std::vector<std::shared_ptr<link::FramedLink>> links;
  const auto confirm = [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&, weak = std::weak_ptr(link)](const v1::Frame& frame) {
          ++renewals;
          v1::Frame answer;
          answer.mutable_lease()->set_sequence(frame.renewal().sequence());
          answer.mutable_lease()->set_confirmed(true);
          // Far above the maximum of 1.2 s.
          answer.mutable_lease()->set_renew_period_ms(60'000);
          if (const auto from = weak.lock()) {
            from->send(answer);
          }
        },
        [] {});
  };
  REQUIRE_FALSE(isError(leader.listen("127.0.0.1:18253", confirm)));
  const auto renewal = [](bool) {
    v1::LeaseRenewal made;
    made.set_sequence(1);
    return made;
  };
  daemon::ControlLink control(context, clock, "", {"127.0.0.1:18253"}, renewal,
                              [](const v1::LeaseReply&) {});
  control.start();
  const auto first_second = std::chrono::milliseconds(1000);
  context.run_for(first_second);
  // One immediately, and one at a step that was due before the reply arrived.
  CHECK(renewals <= 2);
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (renewals < 3 && std::chrono::steady_clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(renewals == 3);
  control.stop();
}

TEST_CASE(
    "A relay whose seeds are gone is served through its own machine, and tells it the members") {
  boost::asio::io_context context;
  const SystemClock clock;
  std::vector<std::shared_ptr<link::FramedLink>> links;
  bool confirmed = false;
  v1::LeaseRenewal told;
  // A process that belongs to no group and knows a member that is gone.
  link::LinkListener own_machine(context);
  const auto answer = [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&, weak = std::weak_ptr(link)](const v1::Frame& frame) {
          told = frame.renewal().known_members_size() != 0 ? frame.renewal() : told;
          v1::Frame reply;
          reply.mutable_lease()->set_sequence(frame.renewal().sequence());
          reply.mutable_lease()->add_members("127.0.0.1:18256");
          reply.mutable_lease()->set_confirmed(told.known_members_size() != 0);
          if (const auto from = weak.lock()) {
            from->send(reply);
          }
        },
        [] {});
  };
  REQUIRE_FALSE(isError(own_machine.listen("127.0.0.1:18254", answer)));
  const auto renewal = [](bool) {
    v1::LeaseRenewal made;
    made.set_sequence(1);
    return made;
  };
  daemon::ControlLink control(context, clock, "127.0.0.1:18254", {"127.0.0.1:18255"}, renewal,
                              [&](const v1::LeaseReply&) { confirmed = true; });
  control.start();
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  while (!confirmed && std::chrono::steady_clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(confirmed);
  REQUIRE(told.known_members_size() == 1);
  CHECK(told.known_members(0) == "127.0.0.1:18256");
  control.stop();
}

TEST_CASE("A relay goes on asking members and seeds that it was told before") {
  boost::asio::io_context context;
  const SystemClock clock;
  std::vector<std::shared_ptr<link::FramedLink>> links;
  int asked = 0;
  link::LinkListener former(context);
  const auto count = [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start([&](const v1::Frame&) { ++asked; }, [] {});
  };
  REQUIRE_FALSE(isError(former.listen("127.0.0.1:18257", count)));
  const auto renewal = [](bool) { return v1::LeaseRenewal(); };
  daemon::ControlLink control(context, clock, "", {"127.0.0.1:18257"}, renewal,
                              [](const v1::LeaseReply&) {});
  control.setSeeds({"127.0.0.1:18258"});
  control.start();
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  while (asked == 0 && std::chrono::steady_clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(asked > 0);
  control.stop();
}

TEST_CASE("A replica that confirms nothing does not replace the members that the leader told") {
  boost::asio::io_context context;
  const SystemClock clock;
  std::vector<std::shared_ptr<link::FramedLink>> links;
  std::vector<std::string> known;
  int renewals = 0;
  link::LinkListener replica(context);
  // The leader at first; on the second link, a process that belongs to no group.
  const auto answer = [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&, weak = std::weak_ptr(link), leads = links.size() == 1](const v1::Frame& frame) {
          ++renewals;
          if (links.size() == 3 && known.empty()) {
            known.assign(frame.renewal().known_members().begin(),
                         frame.renewal().known_members().end());
          }
          v1::Frame reply;
          reply.mutable_lease()->set_sequence(1);
          reply.mutable_lease()->add_members(leads ? "127.0.0.1:18260" : "127.0.0.1:18262");
          reply.mutable_lease()->set_confirmed(leads);
          if (const auto from = weak.lock()) {
            from->send(reply);
          }
        },
        [] {});
  };
  REQUIRE_FALSE(isError(replica.listen("127.0.0.1:18259", answer)));
  const auto renewal = [](bool) { return v1::LeaseRenewal(); };
  daemon::ControlLink control(context, clock, "", {"127.0.0.1:18259"}, renewal,
                              [](const v1::LeaseReply&) {});
  control.start();
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  bool left = false;
  while (known.empty() && std::chrono::steady_clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(20));
    if (!left && renewals > 1) {
      left = true;
      control.reconnect();
    }
  }
  CHECK(known == std::vector<std::string>{"127.0.0.1:18260"});
  control.stop();
}

} // namespace workshatch::test
