/// @file
/// How a relay seeks the leader: bounded attempts while nobody answers.
#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "adapters/link/framed_link.h"
#include "adapters/system_clock.h"
#include "daemon/relay/control_link.h"

namespace workshatch::test {

TEST_CASE("Replicas that each name the other as the leader are asked a bounded number of times") {
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
  daemon::ControlLink control(context, clock, {"127.0.0.1:18251"}, renewal,
                              [](const v1::LeaseReply&) {});
  control.start();
  // Ten steps of 80 ms, three attempts each.
  context.run_for(std::chrono::milliseconds(800));
  CHECK(renewals > 3);
  CHECK(renewals <= 40);
  control.stop();
}

TEST_CASE("A relay renews as often as the leader tells, up to a bound") {
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
          // Far more than the bound of 1.2 s.
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
  daemon::ControlLink control(context, clock, {"127.0.0.1:18253"}, renewal,
                              [](const v1::LeaseReply&) {});
  control.start();
  const auto first_second = std::chrono::milliseconds(1000);
  context.run_for(first_second);
  // The first at once, another at the step that was due before the answer came.
  CHECK(renewals <= 2);
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (renewals < 3 && std::chrono::steady_clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(renewals == 3);
  control.stop();
}

} // namespace workshatch::test
