/// @file
/// Tokens of the prompts in progress at one engine: shared prefixes, reports that are lost or come
/// from a restarted relay, and requests of unknown demand.
#include <vector>

#include <doctest/doctest.h>

#include "core/scheduling/engine_load.h"

namespace workshatch::test {

namespace {

using relay::EngineLoad;
using relay::EngineTokens;

constexpr uint64_t kPrefix = 11;
constexpr uint64_t kParent = 12;

v1::PromptDemand demandOf(uint32_t prompt, uint32_t output) {
  v1::PromptDemand demand;
  demand.set_prompt_tokens(prompt);
  demand.set_output_tokens(output);
  return demand;
}

/// A prompt with 10,000 shared tokens, 4,000 of them also shared with more prompts.
v1::PromptDemand sharedDemand(uint32_t own, uint32_t output) {
  v1::PromptDemand demand = demandOf(10'000 + own, output);
  demand.set_prefix(kPrefix);
  demand.set_prefix_tokens(10'000);
  demand.set_parent(kParent);
  demand.set_parent_tokens(4000);
  return demand;
}

v1::PlaceUse report(uint64_t sequence, const std::vector<uint64_t>& claims,
                    const std::vector<uint64_t>& reading, uint32_t incarnation = 1) {
  v1::PlaceUse report;
  report.set_incarnation(incarnation);
  report.set_sequence(sequence);
  report.mutable_claims()->Assign(claims.begin(), claims.end());
  report.mutable_reading()->Assign(reading.begin(), reading.end());
  return report;
}

/// @return the tokens of the known prompts.
EngineTokens known(const EngineLoad& load) { return load.total(0, {}); }

} // namespace

// Guards against an engine that counts as full because a prefix is counted once for each of its
// prompts.
TEST_CASE("A shared prefix fills the KV cache once, until the last prompt with it has ended") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), sharedDemand(1000, 300), 0);
  CHECK(known(load).kv == 11'300);
  CHECK(known(load).unread == 11'000);
  CHECK(load.tokensFor(sharedDemand(500, 100), 10).kv == 600);
  CHECK(load.tokensFor(sharedDemand(500, 100), 10).unread == 500);
  load.add("b", report(1, {}, {}), sharedDemand(500, 100), 10);
  CHECK(known(load).kv == 11'900);
  load.applyReport("a", report(2, {}, {}), 20);
  CHECK(known(load).kv == 10'600);
  load.dropRelay("b");
  CHECK(known(load).kv == 0);
  CHECK(known(load).unread == 0);
}

// Guards against an expected start that is too early because a prefix counts as cached when only a
// part of it is.
TEST_CASE("Of a prompt that shares only the shorter prefix, the longer one is to be read") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), sharedDemand(1000, 300), 0);
  v1::PromptDemand other = sharedDemand(1000, 300);
  other.set_prefix(99);
  CHECK(load.tokensFor(other, 10).unread == 7000);
  CHECK(load.tokensFor(other, 10).kv == 7300);
  // The prefix that is the shorter one of the first prompt is the longer one of this.
  v1::PromptDemand shorter = demandOf(4500, 0);
  shorter.set_prefix(kParent);
  shorter.set_prefix_tokens(4000);
  CHECK(load.tokensFor(shorter, 10).unread == 500);
}

// Guards against prompts that count as cached long after the engine may have evicted their prefix.
TEST_CASE("A prefix counts as read for ten seconds after its last grant") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), sharedDemand(1000, 300), 0);
  load.applyReport("a", report(2, {}, {}), 1000);
  load.dropStalePrefixes(10'000);
  CHECK(load.tokensFor(sharedDemand(500, 100), 10'000).unread == 500);
  CHECK(load.tokensFor(sharedDemand(500, 100), 10'001).unread == 10'500);
  CHECK(load.tokensFor(sharedDemand(500, 100), 1000).kv == 10'600);
}

// Guards against a prompt whose tokens count as unread during its whole output, or whose time is
// learned twice.
TEST_CASE("The first event ends the reading of a prompt and gives one sample of its time") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), demandOf(3000, 100), 0);
  load.add("b", report(1, {}, {}), demandOf(2000, 100), 50);
  CHECK(load.applyReport("b", report(2, {1}, {1}), 60).empty());
  const auto reads = load.applyReport("b", report(3, {1}, {}), 130);
  REQUIRE(reads.size() == 1);
  CHECK(reads[0].tokens == 5000);
  CHECK(reads[0].duration_ms == 80);
  CHECK(load.applyReport("b", report(4, {1}, {}), 140).empty());
  CHECK(known(load).unread == 3000);
  CHECK(known(load).kv == 5200);
}

// Guards against tokens that remain counted when a report is lost, and a wrong sample of the time
// of a prompt whose first event was not reported.
TEST_CASE(
    "The report after a lost one corrects the tokens, and a prompt that ended gives no sample") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), demandOf(3000, 100), 0);
  load.add("a", report(2, {1}, {1}), demandOf(2000, 100), 10);
  // The reports of the first event and of the end of the first prompt were lost.
  CHECK(load.applyReport("a", report(5, {2}, {2}), 900).empty());
  CHECK(known(load).kv == 2100);
  CHECK(known(load).unread == 2000);
}

// Guards against prompts of a crashed relay that remain counted because the new process uses the
// same address.
TEST_CASE("The prompts of a relay's earlier process are dropped with its first report") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), demandOf(3000, 100), 0);
  load.applyReport("a", report(1, {1}, {1}, 2), 10);
  CHECK(known(load).kv == 0);
  load.add("a", report(2, {}, {}, 2), demandOf(700, 0), 20);
  CHECK(known(load).kv == 700);
}

// Guards against tokens that are counted twice.
TEST_CASE("A claim whose datagram arrives twice counts once") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), demandOf(3000, 100), 0);
  load.add("a", report(1, {}, {}), demandOf(3000, 100), 0);
  CHECK(known(load).kv == 3100);
}

// Guards against an engine that seems empty because the demand of its requests is not known, or was
// stated to another owner.
TEST_CASE("Requests of unknown demand count with the mean") {
  EngineLoad load;
  load.add("a", report(1, {}, {}), demandOf(3000, 100), 0);
  // Claims that another owner granted; one of them has no first event.
  load.applyReport("b", report(7, {3, 4}, {4}), 10);
  const EngineTokens total = load.total(3, EngineTokens{.kv = 500, .unread = 200});
  CHECK(total.kv == 4100);
  CHECK(total.unread == 3200);
  relay::MeanPromptTokens mean;
  CHECK(mean.mean(EngineTokens{.kv = 7}).kv == 7);
  for (int i = 0; i < 200; ++i) {
    mean.add(EngineTokens{.kv = 1000, .unread = 300});
  }
  mean.add(EngineTokens{.kv = 7400, .unread = 300});
  CHECK(mean.mean({}).kv == 1100);
  CHECK(mean.mean({}).unread == 300);
}

// Guards against token counts that wrap around below zero because of untrue figures.
TEST_CASE("A demand whose prefixes are longer than its prompt is cut to the prompt") {
  EngineLoad load;
  v1::PromptDemand demand = demandOf(100, 5);
  demand.set_prefix(kPrefix);
  demand.set_prefix_tokens(4'000'000'000);
  demand.set_parent(kParent);
  demand.set_parent_tokens(3'000'000'000);
  load.add("a", report(1, {}, {}), demand, 0);
  CHECK(known(load).kv == 105);
  CHECK(load.tokensFor(demand, 1).unread == 0);
  load.dropRelay("a");
  CHECK(known(load).kv == 0);
}

} // namespace workshatch::test
