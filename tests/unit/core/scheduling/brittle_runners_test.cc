/// @file
/// Runners whose processes fail if they have to decline too many requests within a second. The
/// tests are named after the failures that they guard against.
#include <memory>
#include <variant>

#include <doctest/doctest.h>

#include "core/relay/runner_table.h"
#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_usage.h"

namespace workshatch::test {

namespace {

constexpr uint32_t kSlots = 6;
constexpr uint64_t kRunner = 7;

relay::RunnerTable tableOfRunners() {
  v1::RunnerList list;
  list.set_version(1);
  for (int i = 0; i < 3; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id("r" + std::to_string(i));
    entry->set_service("s");
    entry->set_slots(kSlots);
  }
  relay::RunnerTable table({});
  table.setList(list, 0);
  return table;
}

relay::RunnerChoice choose(relay::RunnerTable& table, bool engine, int64_t now_ms) {
  return std::get<relay::RunnerChoice>(
      table.choose(relay::RunnerRequest{.service = "s",
                                        .cache_key = engine ? uint64_t{42} : 0,
                                        .now_ms = now_ms,
                                        .engine = engine,
                                        .uses_slot_owners = true,
                                        // The last offer for a plain request lets it wait.
                                        .refused_slots = engine ? size_t{0} : size_t{2},
                                        .start_within_ms = engine ? 0U : 240U}));
}

v1::PlaceClaim brittleClaim(uint32_t in_use, uint64_t sequence, uint32_t max_declines) {
  v1::PlaceClaim claim;
  claim.mutable_use()->set_runner(kRunner);
  claim.mutable_use()->set_held(in_use);
  claim.mutable_use()->set_sequence(sequence);
  claim.set_limit(kSlots);
  claim.set_brittle_declines(max_declines + 1);
  return claim;
}

} // namespace

TEST_CASE("Requests wait in the queues of runners that fail if they decline too many") {
  for (const bool engine : {true, false}) {
    CAPTURE(engine);
    relay::RunnerTable table = tableOfRunners();
    CHECK(choose(table, engine, 1000).limit > kSlots);
    table.applyNotice(*table.runners()[1], relay::RunnerNotice{.max_declines = 4}, 1000);
    CHECK(table.maxDeclines("s", 1000) == 4);
    CHECK(choose(table, engine, 1000).limit == kSlots);
    CHECK(choose(table, engine, 1000).start_within_ms == 0);
    // No runner of the service says so any more.
    CHECK_FALSE(table.maxDeclines("s", 7000));
    CHECK(choose(table, engine, 7000).limit > kSlots);
  }
}

TEST_CASE("A brittle runner that declines requests gets further ones until it fails") {
  constexpr uint32_t kMaxDeclines = 4;
  constexpr int64_t kBeginMs = 10'000;
  relay::SlotOwner owner;
  const relay::OwnedRunner runner{.listed = true};
  relay::SlotUsage usage(1);
  // Ten relays claim in turn, and the runner declines each request at once.
  uint32_t sent = 0;
  uint64_t sequence = 0;
  for (int64_t now_ms = kBeginMs; now_ms < kBeginMs + 1000; now_ms += 10) {
    const auto decision =
        owner.claim("relay", brittleClaim(0, ++sequence, kMaxDeclines), runner, now_ms);
    if (!decision.granted) {
      CHECK(decision.refusal == v1::PLACE_REFUSAL_HELD_BACK);
      CHECK(now_ms + decision.wait_ms == kBeginMs + 1000);
      continue;
    }
    ++sent;
    usage.recordEnd(kRunner, relay::RequestEnd::Declined);
    v1::PlaceUse report = usage.makeReport(kRunner, now_ms);
    report.set_sequence(++sequence);
    owner.recordUsage("relay", report, now_ms);
  }
  CHECK(sent == kMaxDeclines / 2);
  // A runner that is not brittle gets requests on.
  v1::PlaceClaim claim = brittleClaim(0, ++sequence, kMaxDeclines);
  claim.set_brittle_declines(0);
  CHECK(owner.claim("relay", claim, runner, kBeginMs + 500).granted);
}

} // namespace workshatch::test
