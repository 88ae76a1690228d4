/// @file
/// Tests of prompts with a part that crashes each runner which begins to answer them. No two of the
/// prompts are alike, and sound prompts share their tenant and their other parts. The tests are
/// named after the failures that they guard against.
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 12;
constexpr size_t kRunners = 12;
constexpr std::chrono::milliseconds kRestartAfter{2500};
/// Time after the fifth crash from which on no relay may send a request with the part.
constexpr std::chrono::milliseconds kBound{3000};
constexpr size_t kOtherParts = 10;
/// Sound requests, in 100, that may fail from then on.
constexpr size_t kMayFail = 5;

FleetOptions fleetOf(std::set<std::string> crashing_parts, uint16_t first_port) {
  relay::Route route = testRoute(relay::RouteKind::Streaming, 1, false);
  route.timeout_ms = 5000;
  route.objective_ms = 500;
  return FleetOptions{.relays = kRelays,
                      .runners = 0,
                      .prompt_runners = kRunners,
                      .crashing_parts = std::move(crashing_parts),
                      .route = std::move(route),
                      .first_port = first_port,
                      .runners_restart_after = kRestartAfter};
}

/// Callers that send prompts to the relays in turn, each one after the other.
class Prompts {
public:
  /// @param period time between two prompts of one caller
  /// @param parts returns the shared parts of the prompt with this number, each with a comma
  Prompts(TestFleet& fleet, size_t callers, std::chrono::milliseconds period,
          std::function<std::string(size_t number)> parts)
      : fleet_(fleet), parts_(std::move(parts)) {
    for (size_t i = 0; i < callers; ++i) {
      callers_.emplace_back([this, period] {
        for (auto next = std::chrono::steady_clock::now(); !stopping_; next += period) {
          std::this_thread::sleep_until(next);
          send(next_number_++);
        }
      });
    }
  }
  ~Prompts() {
    stopping_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
  }
  Prompts(const Prompts&) = delete;
  Prompts& operator=(const Prompts&) = delete;

  /// Starts a new count.
  void resetCounts() {
    sent_ = 0;
    whole_ = 0;
  }
  size_t sent() const { return sent_; }
  size_t whole() const { return whole_; }

private:
  void send(size_t number) {
    const std::string id = fleet_.newRequestId();
    const std::string response = fleet_.sendRequest(
        number % kRelays,
        CallerRequest{.id = id,
                      .more_headers = "W-Parts: " + parts_(number) + "own-" + id + "\r\n",
                      .body = id});
    ++sent_;
    whole_ += response.find("whole") != std::string::npos ? 1 : 0;
  }

  TestFleet& fleet_;
  const std::function<std::string(size_t)> parts_;
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> next_number_{0};
  std::atomic<size_t> sent_{0};
  std::atomic<size_t> whole_{0};
  std::vector<std::thread> callers_;
};

std::string otherPart(size_t number) { return "other-" + std::to_string(number % kOtherParts); }

/// Sound prompts: a part that all share, and one of some others.
std::unique_ptr<Prompts> soundPrompts(TestFleet& fleet) {
  return std::make_unique<Prompts>(fleet, 20, std::chrono::milliseconds(160), [](size_t number) {
    return "common," + otherPart(number) + ",";
  });
}

/// @return whether the sound prompts that end within the next second and a half are served.
void checkSoundPromptsAreServed(Prompts& sound) {
  sound.resetCounts();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const size_t sent = sound.sent();
  const size_t whole = sound.whole();
  CHECK(sent > 50);
  CHECK((sent - std::min(whole, sent)) * 100 <= kMayFail * sent);
}

/// Sends prompts with the crashing part beside sound ones until `kBound` after its fifth crash and
/// some time longer, and checks that they stop to reach runners.
void checkIsRecognized(TestFleet& fleet, std::function<std::string(size_t)> crashing_prompt,
                       const std::vector<std::string>& crashing_parts) {
  const auto sound = soundPrompts(fleet);
  const Prompts crashing(fleet, 4, std::chrono::milliseconds(1000), std::move(crashing_prompt));
  within(kTestTimeout, [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return fleet.crashingParts().crashes() >= 5 * crashing_parts.size();
  });
  std::this_thread::sleep_for(kBound + kRestartAfter);
  checkSoundPromptsAreServed(*sound);
  for (const std::string& part : crashing_parts) {
    CHECK(fleet.crashingParts().lateArrivals(part, kBound) == 0);
  }
  for (size_t relay = 0; relay < kRelays; ++relay) {
    CHECK(fleet.metricsHave(relay, "workshatch_relay_quarantined_parts " +
                                       std::to_string(crashing_parts.size())));
  }
  MESSAGE("crashes: ", fleet.crashingParts().crashes());
}

} // namespace

TEST_CASE(
    "A part in the middle of prompts crashes few runners, and the parts beside it are served") {
  TestFleet fleet(fleetOf({"bad-part"}, 18840));
  checkIsRecognized(fleet,
                    [](size_t number) { return "common,bad-part," + otherPart(number) + ","; },
                    {"bad-part"});
}

TEST_CASE("A first part of prompts crashes few runners, and the parts behind it are served") {
  TestFleet fleet(fleetOf({"bad-part"}, 18860));
  checkIsRecognized(fleet, [](size_t number) { return "bad-part," + otherPart(number) + ","; },
                    {"bad-part"});
}

TEST_CASE("Two parts that crash runners at the same time are both recognized, and no other") {
  TestFleet fleet(fleetOf({"bad-part-1", "bad-part-2"}, 18880));
  checkIsRecognized(fleet,
                    [](size_t number) {
                      return "common," +
                             std::string(number % 2 == 0 ? "bad-part-1" : "bad-part-2") + ",";
                    },
                    {"bad-part-1", "bad-part-2"});
}

TEST_CASE("A part crashes few runners whose answers end with their connection") {
  FleetOptions options = fleetOf({"bad-part"}, 18920);
  options.prompt_framing = AnswerFraming::Unframed;
  TestFleet fleet(options);
  checkIsRecognized(fleet,
                    [](size_t number) { return "common,bad-part," + otherPart(number) + ","; },
                    {"bad-part"});
}

TEST_CASE("No part of a prompt is blamed for crashes that none causes") {
  TestFleet fleet(fleetOf({}, 18900));
  const auto sound = soundPrompts(fleet);
  for (size_t wave = 0; wave < 5; ++wave) {
    for (size_t i = 0; i < kRunners / 2; ++i) {
      fleet.promptRunner((wave + 2 * i) % kRunners).crash();
    }
    std::this_thread::sleep_for(kRestartAfter / 2);
  }
  for (size_t relay = 0; relay < kRelays; ++relay) {
    CHECK(fleet.metricsHave(relay, "workshatch_relay_quarantined_parts 0"));
  }
}

} // namespace workshatch::test
