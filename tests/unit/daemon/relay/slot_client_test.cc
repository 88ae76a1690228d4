/// @file
/// Tests of slot claims between two relays on loopback: grants, refusals, and owners that are
/// silent or leave.
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include "adapters/system_clock.h"
#include "daemon/relay/slot_client.h"

namespace workshatch::test {

namespace {

using daemon::RelayPeers;
using daemon::SlotClaimResult;
using daemon::SlotClient;
using daemon::SlotVerdict;

const std::string kFirst = "127.0.0.1:18301";
const std::string kSecond = "127.0.0.1:18302";
constexpr std::chrono::seconds kTestTimeout{5};

/// Two relays on one event loop.
struct TwoRelays {
  TwoRelays() {
    REQUIRE_FALSE(isError(first_peers->open(kFirst)));
    REQUIRE_FALSE(isError(second_peers->open(kSecond)));
    first_peers->setRelays({kFirst, kSecond});
    second_peers->setRelays({kFirst, kSecond});
  }

  /// @return a runner that the relay with this address owns.
  static uint64_t ownedBy(const std::string& address) {
    relay::SlotOwnerMap owners;
    owners.setRelays({kFirst, kSecond});
    uint64_t runner = 1;
    while (*owners.ownerOf(runner) != address) {
      ++runner;
    }
    return runner;
  }

  SlotClaimResult claim(SlotClient& client, uint64_t runner, uint32_t limit) {
    return claim(client, daemon::SlotClaim{.runner = runner, .limit = limit});
  }

  /// Sends a claim and returns without waiting for the answer.
  /// @param reply receives the result; must outlive the claim
  void startClaim(SlotClient& client, const daemon::SlotClaim& request,
                  std::optional<SlotClaimResult>& reply) {
    boost::asio::co_spawn(
        context,
        [&, request]() -> boost::asio::awaitable<void> { reply = co_await client.claim(request); },
        boost::asio::detached);
    context.restart();
    context.poll();
  }

  SlotClaimResult claim(SlotClient& client, const daemon::SlotClaim& request) {
    std::optional<SlotClaimResult> reply;
    boost::asio::co_spawn(
        context, [&]() -> boost::asio::awaitable<void> { reply = co_await client.claim(request); },
        boost::asio::detached);
    run([&] { return reply.has_value(); });
    REQUIRE(reply.has_value());
    return std::move(*reply);
  }

  /// Runs the event loop until `done` returns true or the test's time limit is reached.
  template <typename Done> void run(Done done) {
    const auto last = std::chrono::steady_clock::now() + kTestTimeout;
    context.restart();
    while (!done() && std::chrono::steady_clock::now() < last) {
      context.run_one_for(std::chrono::milliseconds(10));
    }
  }

  SystemClock clock;
  boost::asio::io_context context;
  relay::OwnedRunner owned_runner{.listed = true};
  std::shared_ptr<RelayPeers> first_peers = std::make_shared<RelayPeers>(context, clock);
  std::shared_ptr<RelayPeers> second_peers = std::make_shared<RelayPeers>(context, clock);
  std::shared_ptr<SlotClient> first = std::make_shared<SlotClient>(
      first_peers, clock, 1, [this](uint64_t) { return owned_runner; });
  std::shared_ptr<SlotClient> second = std::make_shared<SlotClient>(
      second_peers, clock, 2, [this](uint64_t) { return owned_runner; });
};

/// A claim of a prompt at an engine whose KV cache may hold 400,000 tokens.
daemon::SlotClaim promptClaim(uint64_t engine, uint32_t prompt_tokens) {
  daemon::SlotClaim claim{.runner = engine, .limit = 64, .prompt_limits = {.kv_limit = 400'000}};
  claim.demand.emplace().set_prompt_tokens(prompt_tokens);
  return claim;
}

} // namespace

TEST_CASE("Relays share the slots of a runner, whichever relay owns it") {
  TwoRelays relays;
  for (const std::string& owner : {kFirst, kSecond}) {
    const uint64_t runner = TwoRelays::ownedBy(owner);
    SlotClaimResult one = relays.claim(*relays.first, runner, 2);
    CHECK(one.verdict == SlotVerdict::Granted);
    CHECK(one.load == 1);
    const SlotClaimResult two = relays.claim(*relays.second, runner, 2);
    CHECK(two.verdict == SlotVerdict::Granted);
    CHECK(relays.claim(*relays.first, runner, 2).verdict == SlotVerdict::Refused);
    CHECK(relays.claim(*relays.second, runner, 2).verdict == SlotVerdict::Refused);
    // Another relay can claim the slot as soon as it is released.
    one.slot.release();
    SlotClaimResult next;
    relays.run([&] {
      next = relays.claim(*relays.second, runner, 2);
      return next.verdict == SlotVerdict::Granted;
    });
    CHECK(next.load == 2);
  }
}

TEST_CASE("A claim at a silent owner times out soon, and the next ones fail at once") {
  TwoRelays relays;
  const uint64_t runner = TwoRelays::ownedBy(kSecond);
  relays.second_peers->close();
  // The socket receives but never answers, like that of a suspended process.
  boost::asio::ip::udp::socket silent(relays.context,
                                      {boost::asio::ip::make_address("127.0.0.1"), 18302});
  const auto begin = std::chrono::steady_clock::now();
  CHECK(relays.claim(*relays.first, runner, 2).verdict == SlotVerdict::Unanswered);
  CHECK(std::chrono::steady_clock::now() - begin >= std::chrono::milliseconds(30));
  CHECK(relays.claim(*relays.first, runner, 2).verdict == SlotVerdict::Unanswered);
  CHECK(relays.first->counts().unanswered == 2);
  // Only the first claim was sent.
  CHECK(silent.available() > 0);
  const size_t one_datagram = silent.available();
  CHECK(relays.claim(*relays.first, runner, 2).verdict == SlotVerdict::Unanswered);
  CHECK(silent.available() == one_datagram);
}

TEST_CASE("The limits of a prompt reach its owner, and the reason of a refusal the relay") {
  TwoRelays relays;
  relays.owned_runner.service = "s";
  for (const std::string& owner : {kFirst, kSecond}) {
    const uint64_t engine = TwoRelays::ownedBy(owner);
    SlotClaimResult first = relays.claim(*relays.first, promptClaim(engine, 300'000));
    CHECK(first.verdict == SlotVerdict::Granted);
    const SlotClaimResult second = relays.claim(*relays.first, promptClaim(engine, 200'000));
    CHECK(second.verdict == SlotVerdict::Refused);
    CHECK(second.refusal == v1::PLACE_REFUSAL_KV_CACHE);
    // The tokens are free again when the request ends.
    first.slot.release();
    SlotClaimResult next;
    relays.run([&] {
      next = relays.claim(*relays.second, promptClaim(engine, 200'000));
      return next.verdict == SlotVerdict::Granted;
    });
  }
}

TEST_CASE("One report is sent at the first event of a prompt, and none without a stated demand") {
  TwoRelays relays;
  const uint64_t engine = TwoRelays::ownedBy(kSecond);
  const daemon::SlotClient& owner = *relays.second;
  SlotClaimResult prompt = relays.claim(*relays.first, promptClaim(engine, 3000));
  SlotClaimResult other = relays.claim(*relays.first, engine, 5);
  REQUIRE(owner.ownedEngines().size() == 1);
  CHECK(owner.ownedEngines()[0].tokens.unread == 3000);
  const uint64_t before = relays.first_peers->counts().sent_bytes;
  other.slot.recordFirstEvent();
  CHECK(relays.first_peers->counts().sent_bytes == before);
  prompt.slot.recordFirstEvent();
  const uint64_t after = relays.first_peers->counts().sent_bytes;
  CHECK(after > before);
  prompt.slot.recordFirstEvent();
  CHECK(relays.first_peers->counts().sent_bytes == after);
  relays.run([&] { return owner.ownedEngines()[0].tokens.unread == 0; });
  CHECK(owner.ownedEngines()[0].tokens.unread == 0);
  MESSAGE("bytes of the report of a first event: " << after - before);
}

TEST_CASE("Reports list the claim of a prompt until it is known that no answer arrives") {
  TwoRelays relays;
  const uint64_t engine = TwoRelays::ownedBy(kSecond);
  relays.second_peers->close();
  boost::asio::ip::udp::socket silent(relays.context,
                                      {boost::asio::ip::make_address("127.0.0.1"), 18302});
  const auto receive = [&silent] {
    std::string bytes(2000, 0);
    bytes.resize(silent.receive(boost::asio::buffer(bytes)));
    v1::Frame frame;
    REQUIRE(frame.ParseFromString(bytes));
    return frame;
  };
  std::optional<SlotClaimResult> reply;
  relays.startClaim(*relays.first, promptClaim(engine, 3000), reply);
  CHECK_FALSE(reply.has_value());
  const v1::PlaceClaim claim = receive().place_claim();
  CHECK(claim.demand().prompt_tokens() == 3000);
  // The owner may have granted the claim. A report that lacks it would end the prompt there.
  const daemon::SlotGuard first = relays.first->takeWithoutClaim(engine);
  const v1::PlaceUse pending = receive().place_use();
  CHECK(pending.held() == 1);
  REQUIRE(pending.claims_size() == 1);
  CHECK(pending.claims(0) == claim.use().sequence());
  CHECK(pending.reading_size() == 1);
  relays.run([&] { return reply.has_value(); });
  REQUIRE(reply.has_value());
  CHECK(reply->verdict == SlotVerdict::Unanswered);
  const daemon::SlotGuard second = relays.first->takeWithoutClaim(engine);
  const v1::PlaceUse after = receive().place_use();
  CHECK(after.held() == 2);
  CHECK(after.claims().empty());
}

TEST_CASE("Without a list of relays no owner is known") {
  TwoRelays relays;
  relays.first_peers->setRelays({});
  CHECK(relays.claim(*relays.first, 1, 2).verdict == SlotVerdict::Unanswered);
}

TEST_CASE("Slots in use are counted by a new owner") {
  TwoRelays relays;
  const uint64_t runner = TwoRelays::ownedBy(kSecond);
  const SlotClaimResult result = relays.claim(*relays.first, runner, 5);
  CHECK(result.verdict == SlotVerdict::Granted);
  // The owner leaves. The first relay then owns all runners and counts its own slot.
  relays.first_peers->setRelays({kFirst});
  relays.second_peers->setRelays({kFirst});
  const SlotClaimResult other = relays.claim(*relays.second, runner, 5);
  CHECK(other.verdict == SlotVerdict::Granted);
  CHECK(other.load == 2);
}

TEST_CASE("Slots may be released after the client is destroyed") {
  SlotClaimResult result;
  {
    TwoRelays relays;
    result = relays.claim(*relays.first, TwoRelays::ownedBy(kFirst), 5);
    CHECK(result.verdict == SlotVerdict::Granted);
  }
  result.slot.release();
}

TEST_CASE("An owner answers claims with the failure rate of a plain runner") {
  TwoRelays relays;
  relays.owned_runner.plain = relay::PlainRunner{.service = "s", .slots = 6};
  const uint64_t runner = TwoRelays::ownedBy(kSecond);
  for (int i = 0; i < 6; ++i) {
    SlotClaimResult reply = relays.claim(*relays.first, runner, 6);
    REQUIRE(reply.verdict == SlotVerdict::Granted);
    CHECK(reply.plain.failed_percent == 0);
    reply.slot.release(i == 0 ? relay::RequestEnd::Completed : relay::RequestEnd::Failed);
  }
  CHECK(relays.claim(*relays.first, runner, 6).plain.failed_percent == 83);
}

} // namespace workshatch::test
