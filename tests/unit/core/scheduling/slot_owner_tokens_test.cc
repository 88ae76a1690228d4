/// @file
/// Token limits at the slot owner of an engine: what is refused, and the failures that its counts
/// have to survive.
#include <string>

#include <doctest/doctest.h>

#include "core/relay/runner_table.h"
#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_usage.h"
#include "core/scheduling/work_time.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kEngine = 7;
/// Time after which an owner has received reports from all relays that use an engine.
constexpr int64_t kAllReportedMs = 10'000;
constexpr uint32_t kSlots = 64;

const relay::OwnedRunner kOwned{.listed = true, .service = "s"};

struct ClaimLimits {
  uint64_t kv = 0;
  uint32_t start_within_ms = 0;
  uint64_t engine = kEngine;
};

/// A claim of a prompt without shared prefixes.
v1::PlaceClaim claimOf(relay::SlotUsage& usage, uint32_t prompt_tokens, ClaimLimits limits,
                       int64_t now_ms) {
  v1::PlaceClaim claim;
  *claim.mutable_use() = usage.makeReport(limits.engine, now_ms);
  claim.set_limit(kSlots);
  claim.mutable_demand()->set_prompt_tokens(prompt_tokens);
  claim.set_kv_limit(limits.kv);
  claim.set_start_within_ms(limits.start_within_ms);
  return claim;
}

/// A relay that claims slots of one owner over a network without losses.
struct ClaimingRelay {
  relay::SlotOwner::Decision claim(relay::SlotOwner& owner, uint32_t prompt_tokens,
                                   ClaimLimits limits, int64_t now_ms,
                                   const relay::OwnedRunner& runner = kOwned) {
    const v1::PlaceClaim claim = claimOf(usage, prompt_tokens, limits, now_ms);
    const auto decision = owner.claim(name, claim, runner, now_ms);
    if (decision.granted) {
      usage.add(limits.engine);
      usage.addClaim(limits.engine, claim.use().sequence());
      last_claim = claim.use().sequence();
    }
    return decision;
  }
  void report(relay::SlotOwner& owner, int64_t now_ms) {
    owner.recordUsage(name, usage.makeReport(kEngine, now_ms), now_ms);
  }
  void endLast() {
    usage.remove(kEngine);
    usage.removeClaim(kEngine, last_claim);
  }

  std::string name;
  relay::SlotUsage usage{1};
  uint64_t last_claim = 0;
};

/// An owner that has known the engine for a long time, without requests in progress there.
relay::SlotOwner ownerWithAllReports() {
  relay::SlotOwner owner;
  ClaimingRelay idle{.name = "idle"};
  idle.report(owner, 0);
  idle.report(owner, kAllReportedMs);
  return owner;
}

uint64_t kvTokens(const relay::SlotOwner& owner) {
  return owner.engines().empty() ? 0 : owner.engines()[0].tokens.kv;
}

/// Lets an owner see prompts of 1,000 to 2,000 tokens that each take a millisecond per ten tokens.
/// @return the time after the last of them.
int64_t teachReadTimes(relay::SlotOwner& owner, ClaimingRelay& relay) {
  int64_t now_ms = kAllReportedMs;
  for (uint32_t i = 0; i < 40; ++i) {
    const uint32_t tokens = 1000 + 25 * i;
    CHECK(relay.claim(owner, tokens, {}, now_ms).granted);
    now_ms += tokens / 10;
    relay.usage.recordFirstEvent(kEngine, relay.last_claim);
    relay.report(owner, now_ms);
    relay.endLast();
    relay.report(owner, now_ms);
  }
  return now_ms;
}

} // namespace

// Guards against preempted requests at a full engine, and a large prompt that no engine accepts.
TEST_CASE("A prompt that does not fit into the KV cache is refused, except at an idle engine") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  CHECK(relay.claim(owner, 900'000, {.kv = 400'000}, kAllReportedMs).granted);
  const auto refused = relay.claim(owner, 10, {.kv = 400'000}, kAllReportedMs);
  CHECK_FALSE(refused.granted);
  CHECK(refused.refusal == v1::PLACE_REFUSAL_KV_CACHE);
  CHECK(refused.load == 1);
  relay.endLast();
  relay.report(owner, kAllReportedMs);
  CHECK(relay.claim(owner, 300'000, {.kv = 400'000}, kAllReportedMs).granted);
  CHECK(relay.claim(owner, 100'000, {.kv = 400'000}, kAllReportedMs).granted);
  CHECK_FALSE(relay.claim(owner, 1, {.kv = 400'000}, kAllReportedMs).granted);
  // A claim of an earlier version has no limit.
  CHECK(relay.claim(owner, 100'000, {}, kAllReportedMs).granted);
}

// Guards against a prompt that gets a free slot but no first event in time.
TEST_CASE("A prompt behind too many unread tokens is refused as late") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  // Without samples there is no limit.
  CHECK(relay.claim(owner, 50'000, {.start_within_ms = 1}, kAllReportedMs).granted);
  relay.endLast();
  const int64_t now_ms = teachReadTimes(owner, relay);
  const auto first = relay.claim(owner, 1800, {.start_within_ms = 200}, now_ms);
  CHECK(first.granted);
  CHECK(first.expected_start_ms == doctest::Approx(180).epsilon(0.05));
  const auto second = relay.claim(owner, 1800, {.start_within_ms = 200}, now_ms);
  CHECK_FALSE(second.granted);
  CHECK(second.refusal == v1::PLACE_REFUSAL_LATE);
  CHECK(second.expected_start_ms == doctest::Approx(360).epsilon(0.05));
  relay.usage.recordFirstEvent(kEngine, relay.last_claim);
  relay.report(owner, now_ms + 180);
  CHECK(relay.claim(owner, 1800, {.start_within_ms = 200}, now_ms + 180).granted);
}

// Guards against an engine that is never used again because its times of long ago were long.
TEST_CASE("An idle engine accepts a prompt whose start it expects too late") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  const int64_t now_ms = teachReadTimes(owner, relay);
  const auto idle = relay.claim(owner, 5000, {.start_within_ms = 200}, now_ms);
  CHECK(idle.granted);
  CHECK(idle.expected_start_ms > 200);
  CHECK(relay.claim(owner, 10, {.start_within_ms = 200}, now_ms).refusal == v1::PLACE_REFUSAL_LATE);
}

// Guards against an engine that gets no prompts, or all of them, because of an untrue factor.
TEST_CASE("An engine that reports a wrong work time is limited to a factor of ten") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  const int64_t now_ms = teachReadTimes(owner, relay);
  relay::OwnedRunner slow = kOwned;
  const auto expectedMs = [&](double factor) {
    slow.work_time_factor = factor;
    const auto decision = relay.claim(owner, 1000, {.start_within_ms = 1}, now_ms, slow);
    relay.endLast();
    relay.report(owner, now_ms);
    return decision.expected_start_ms;
  };
  CHECK(expectedMs(2) == doctest::Approx(200).epsilon(0.05));
  CHECK(expectedMs(1e9) == doctest::Approx(1000).epsilon(0.05));
  CHECK(expectedMs(1e-9) == doctest::Approx(100).epsilon(0.05));
}

// Guards against an owner that takes a slow engine for a usual one.
TEST_CASE("An owner finds service and work time of an engine in its runner table") {
  relay::RunnerTable table{relay::RunnerTableOptions{}};
  v1::RunnerList list;
  list.set_version(1);
  list.add_runners()->set_id("r1");
  list.mutable_runners(0)->set_service("s");
  table.setList(list, 0);
  relay::Runner& runner = *table.runners()[0];
  CHECK(table.ownedRunner(runner.fingerprint, 100).service == "s");
  CHECK(table.ownedRunner(runner.fingerprint, 100).work_time_factor == 1);
  relay::recordWorkTime(runner, 3, 100);
  CHECK(table.ownedRunner(runner.fingerprint, 200).work_time_factor == 3);
  CHECK(table.ownedRunner(runner.fingerprint, 2000).work_time_factor == 1);
}

// Guards against an engine that seems full after a lost datagram.
TEST_CASE("An end whose report is lost counts until the next report only") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  CHECK(relay.claim(owner, 300'000, {.kv = 400'000}, kAllReportedMs).granted);
  relay.endLast();
  // The report of the end is lost; the next claim corrects it.
  relay.usage.makeReport(kEngine, kAllReportedMs);
  CHECK(relay.claim(owner, 300'000, {.kv = 400'000}, kAllReportedMs).granted);
  CHECK(kvTokens(owner) == 300'000);
}

// Guards against a prompt that its owner drops because its relay sent a report before it knew of
// the grant.
TEST_CASE("A report that is sent before the answer to a claim does not end its prompt") {
  relay::SlotOwner owner = ownerWithAllReports();
  relay::SlotUsage usage(1);
  const v1::PlaceClaim first = claimOf(usage, 1000, {}, kAllReportedMs);
  usage.addClaim(kEngine, first.use().sequence());
  CHECK(owner.claim("a", first, kOwned, kAllReportedMs).granted);
  // The answer is on its way. The relay claims another slot meanwhile.
  const v1::PlaceClaim second = claimOf(usage, 500, {}, kAllReportedMs);
  CHECK(owner.claim("a", second, kOwned, kAllReportedMs).granted);
  CHECK(kvTokens(owner) == 1500);
  // The first answer was lost: the relay gives up the claim.
  usage.addClaim(kEngine, second.use().sequence());
  usage.add(kEngine);
  usage.removeClaim(kEngine, first.use().sequence());
  owner.recordUsage("a", usage.makeReport(kEngine, kAllReportedMs), kAllReportedMs);
  CHECK(kvTokens(owner) == 500);
}

// Guards against an engine that seems full of the prompts of a crashed relay.
TEST_CASE("The prompts of a relay that is gone are dropped") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay crashed{.name = "a"};
  ClaimingRelay removed{.name = "b"};
  CHECK(crashed.claim(owner, 300'000, {}, kAllReportedMs).granted);
  CHECK(removed.claim(owner, 200'000, {}, kAllReportedMs).granted);
  owner.dropRelay("b", kAllReportedMs);
  CHECK(kvTokens(owner) == 300'000);
  owner.dropStale(kAllReportedMs + 3499);
  CHECK(kvTokens(owner) == 300'000);
  owner.dropStale(kAllReportedMs + 3500);
  CHECK(kvTokens(owner) == 0);
}

// Guards against a full engine that seems empty to its new owner.
TEST_CASE("A new owner counts the prompts of the former one with the mean demand") {
  relay::SlotOwner former = ownerWithAllReports();
  relay::SlotOwner next = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  for (int i = 0; i < 30; ++i) {
    CHECK(relay.claim(former, 10'000, {}, kAllReportedMs).granted);
  }
  relay.report(next, kAllReportedMs);
  // The new owner knows no other prompt, and takes the one that is claimed for a usual one.
  const auto first = relay.claim(next, 10'000, {.kv = 300'000}, kAllReportedMs);
  CHECK_FALSE(first.granted);
  CHECK(first.refusal == v1::PLACE_REFUSAL_KV_CACHE);
  CHECK(relay.claim(next, 10'000, {.kv = 310'000}, kAllReportedMs).granted);
  CHECK(kvTokens(next) == 310'000);
  // Those of the former owner are unread as far as their relay reports it.
  CHECK(next.engines()[0].tokens.unread == 310'000);
}

// Guards against an empty engine that seems as full as before its restart.
TEST_CASE("A restarted engine starts without tokens") {
  relay::SlotOwner owner = ownerWithAllReports();
  ClaimingRelay relay{.name = "a"};
  CHECK(relay.claim(owner, 300'000, {.kv = 400'000}, kAllReportedMs).granted);
  // The fingerprint is that of another incarnation.
  ClaimLimits restarted{.kv = 400'000, .engine = kEngine + 1};
  CHECK(relay.claim(owner, 10'000, restarted, kAllReportedMs).granted);
  CHECK(relay.claim(owner, 390'000, restarted, kAllReportedMs).granted);
}

// Guards against an engine that gets prompts without any limit while lists of relays differ.
TEST_CASE("Two owners at a time each grant up to the limits and no further") {
  relay::SlotOwner first = ownerWithAllReports();
  relay::SlotOwner second = ownerWithAllReports();
  for (relay::SlotOwner* owner : {&first, &second}) {
    uint32_t granted = 0;
    for (int i = 0; i < 100; ++i) {
      ClaimingRelay relay{.name = "relay-" + std::to_string(i)};
      granted += relay.claim(*owner, 10'000, {.kv = 400'000}, kAllReportedMs).granted ? 1 : 0;
    }
    CHECK(granted == 40);
    CHECK(kvTokens(*owner) == 400'000);
  }
}

} // namespace workshatch::test
