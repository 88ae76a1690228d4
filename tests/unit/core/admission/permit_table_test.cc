/// @file
/// Tests of admission by an engine's owner: load cap, repeated permit requests, fairness, silent
/// routers, and changes of ownership.
#include <doctest/doctest.h>

#include "core/admission/permit_table.h"

namespace workshatch::test {

namespace {

v1::PermitRequest requestOf(uint64_t sequence, const std::string& tenant = "a",
                            uint32_t wait_ms = 0) {
  v1::PermitRequest request;
  request.mutable_permit()->set_router("r");
  request.mutable_permit()->set_incarnation(1);
  request.mutable_permit()->set_sequence(sequence);
  request.set_engine("m/0");
  request.set_service("pool");
  request.set_tenant(tenant);
  request.set_cost(1);
  request.set_wait_ms(wait_ms);
  return request;
}

/// A table for a pool of two engines, of which it owns the first if `owned`; `limit` is the load
/// limit of an engine.
admission::PermitTable tableOf(uint64_t limit, bool owned = true) {
  admission::PermitTable table;
  v1::Configuration configuration;
  v1::Service* service = configuration.add_services();
  service->set_name("pool");
  service->set_load_unit("requests");
  service->set_aim_factor(1.15);
  service->set_engine_limit(limit);
  service->set_queue_length(8);
  for (const char* tenant : {"a", "b"}) {
    configuration.add_tenants()->set_name(tenant);
  }
  table.configure(configuration);
  table.setEngines({{.engine = "m/0", .service = "pool", .owned = owned},
                    {.engine = "m/1", .service = "pool", .owned = false}});
  return table;
}

void setTotal(admission::PermitTable& table, uint64_t total) {
  v1::PoolLoad load;
  load.set_service("pool");
  load.set_load(total);
  table.setPoolLoads({load});
}

void setOthers(admission::PermitTable& table, uint64_t total) {
  for (int i = 0; i < 3; ++i) {
    setTotal(table, total);
  }
}

/// Requests permits until one is refused. @return the number that was granted.
uint64_t fill(admission::PermitTable& table, uint64_t first_sequence) {
  uint64_t sequence = first_sequence;
  while (table.request(requestOf(sequence), 0).verdict() == v1::PERMIT_GRANTED) {
    ++sequence;
  }
  return sequence - first_sequence;
}

/// Reports the owner's load and delivers totals that contain it and `others`.
void exchangeTotals(admission::PermitTable& table, uint64_t others) {
  const auto loads = table.reportLoads();
  setTotal(table, others + (loads.empty() ? 0 : loads.front().load()));
}

/// Fills the engine and delivers new totals each time it is full. @return the final load.
uint64_t fillOverTotals(admission::PermitTable& table, uint64_t others) {
  constexpr int kRounds = 10;
  uint64_t held = 0;
  for (int round = 0; round < kRounds; ++round) {
    held += fill(table, held + 1);
    exchangeTotals(table, others);
  }
  return held;
}

} // namespace

TEST_CASE("an idle engine accepts one request, and more only up to the load cap") {
  admission::PermitTable table = tableOf(0);
  CHECK(table.request(requestOf(1), 0).verdict() == v1::PERMIT_GRANTED);
  // The pool's load is 1; with the request the mean is 1 and the cap 2.
  CHECK(table.request(requestOf(2), 0).verdict() == v1::PERMIT_GRANTED);
  CHECK(table.request(requestOf(3), 0).verdict() == v1::PERMIT_FULL);
  setOthers(table, 10);
  CHECK(table.request(requestOf(3), 0).verdict() == v1::PERMIT_GRANTED);
}

TEST_CASE("a repeated permit request is granted once, and its release frees the engine") {
  admission::PermitTable table = tableOf(1);
  CHECK(table.request(requestOf(1), 0).verdict() == v1::PERMIT_GRANTED);
  CHECK(table.request(requestOf(1), 0).verdict() == v1::PERMIT_GRANTED);
  CHECK(table.loadOf("m/0") == 1);
  CHECK(table.request(requestOf(2), 0).verdict() == v1::PERMIT_FULL);
  table.release(requestOf(1).permit(), "m/0");
  table.release(requestOf(1).permit(), "m/0");
  CHECK(table.loadOf("m/0") == 0);
  CHECK(table.request(requestOf(2), 0).verdict() == v1::PERMIT_GRANTED);
}

TEST_CASE("queued requests of two tenants alternate, and none stays queued past its deadline") {
  admission::PermitTable table = tableOf(1);
  table.request(requestOf(1), 0);
  for (uint64_t sequence = 2; sequence <= 4; ++sequence) {
    CHECK(table.request(requestOf(sequence, "a", 100), 0).verdict() == v1::PERMIT_QUEUED);
  }
  CHECK(table.request(requestOf(5, "b", 100), 0).verdict() == v1::PERMIT_QUEUED);
  std::vector<uint64_t> order;
  uint64_t holder = 1;
  for (int i = 0; i < 2; ++i) {
    table.release(requestOf(holder).permit(), "m/0");
    const auto replies = table.takeDueReplies(10);
    REQUIRE(replies.size() == 1);
    holder = replies[0].permit().sequence();
    order.push_back(holder);
  }
  CHECK((order[0] == 5 || order[1] == 5));
  const auto expired = table.takeDueReplies(200);
  CHECK(expired.size() == 2);
  CHECK(expired[0].verdict() == v1::PERMIT_FULL);
  CHECK(table.waitingCount() == 0);
}

TEST_CASE("one tenant uses at most half of a queue") {
  admission::PermitTable table = tableOf(1);
  table.request(requestOf(1), 0);
  for (uint64_t sequence = 2; sequence <= 5; ++sequence) {
    CHECK(table.request(requestOf(sequence, "a", 100), 0).verdict() == v1::PERMIT_QUEUED);
  }
  CHECK(table.request(requestOf(6, "a", 100), 0).verdict() == v1::PERMIT_FULL);
  CHECK(table.request(requestOf(7, "b", 100), 0).verdict() == v1::PERMIT_QUEUED);
}

TEST_CASE("no permit is granted for an engine that is leaving, not owned or unknown") {
  admission::PermitTable table = tableOf(0);
  v1::PermitRequest other = requestOf(1);
  other.set_engine("m/1");
  CHECK(table.request(other, 0).verdict() == v1::PERMIT_NOT_OWNER);
  other.set_engine("m/9");
  CHECK(table.request(other, 0).verdict() == v1::PERMIT_UNKNOWN_ENGINE);
  table.setEngines({{.engine = "m/0", .service = "pool", .leaving = true, .owned = true}});
  CHECK(table.request(requestOf(2), 0).verdict() == v1::PERMIT_LEAVING);
}

TEST_CASE("the load of a leaving engine is not reported as load of the pool") {
  admission::PermitTable table = tableOf(0);
  setOthers(table, 10);
  for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
    CHECK(table.request(requestOf(sequence), 0).verdict() == v1::PERMIT_GRANTED);
  }
  CHECK(table.reportLoads().at(0).load() == 4);
  table.setEngines({{.engine = "m/0", .service = "pool", .leaving = true, .owned = true}});
  CHECK(table.reportLoads().empty());
  table.release(requestOf(1).permit(), "m/0");
  table.setEngines({{.engine = "m/0", .service = "pool", .owned = true}});
  CHECK(table.reportLoads().at(0).load() == 3);
}

TEST_CASE("a new owner counts the permits that their holders report") {
  admission::PermitTable table = tableOf(2, false);
  v1::HeldPermit held;
  *held.mutable_permit() = requestOf(1).permit();
  held.set_engine("m/0");
  held.set_service("pool");
  held.set_cost(1);
  table.adoptPermit(held);
  table.adoptPermit(held);
  CHECK(table.loadOf("m/0") == 1);
  table.setEngines({{.engine = "m/0", .service = "pool", .owned = true}});
  CHECK(table.request(requestOf(2), 0).verdict() == v1::PERMIT_GRANTED);
  CHECK(table.request(requestOf(3), 0).verdict() == v1::PERMIT_FULL);
  // An owner that loses the engine drops its permits; the holders report them to the next owner.
  table.setEngines({{.engine = "m/0", .service = "pool", .owned = false}});
  CHECK(table.loadOf("m/0") == 0);
}

TEST_CASE("permits of a router that left the view are reclaimed") {
  admission::PermitTable table = tableOf(1);
  table.request(requestOf(1), 0);
  v1::View view;
  view.add_routers()->set_name("r");
  view.mutable_routers(0)->set_incarnation(2);
  table.reclaimPermitsNotInView(view);
  CHECK(table.loadOf("m/0") == 0);
}

TEST_CASE("a moved session is redirected to the engine that has its cache") {
  admission::PermitTable table = tableOf(0);
  v1::SessionMoved moved;
  moved.set_session(42);
  moved.set_engine("m/1");
  table.recordSessionMove(moved, 0);
  v1::PermitRequest request = requestOf(1);
  request.set_session(42);
  const v1::PermitReply reply = table.request(request, 10);
  CHECK(reply.verdict() == v1::PERMIT_REDIRECT);
  CHECK(reply.redirect_engine() == "m/1");
  request.set_no_redirect(true);
  CHECK(table.request(request, 10).verdict() == v1::PERMIT_GRANTED);
}

TEST_CASE("a decrease of the other owners' load is extrapolated") {
  admission::PermitTable table = tableOf(0);
  setOthers(table, 100);
  setTotal(table, 60);
  // The others' load is estimated at 20: the engine may hold x <= ceil(1.15 * (20 + x) / 2), and
  // gets half of it at once.
  CHECK(fill(table, 1) == 8);
}

TEST_CASE("own load that ended after its report is not attributed to the other owners") {
  admission::PermitTable table = tableOf(0);
  setOthers(table, 20);
  const uint64_t held = fillOverTotals(table, 20);
  REQUIRE(held == 29);
  CHECK(table.reportLoads().at(0).load() == held);
  for (uint64_t sequence = 1; sequence <= held; ++sequence) {
    table.release(requestOf(sequence).permit(), "m/0");
  }
  // These totals still contain the reported load.
  setOthers(table, 20 + held);
  CHECK(fill(table, 1000) == 8);
}

TEST_CASE("an idle engine of a busy pool is filled in steps, with new totals between them") {
  admission::PermitTable table = tableOf(0);
  setOthers(table, 20);
  CHECK(fill(table, 1) == 8);
  CHECK(fill(table, 100) == 0);
  exchangeTotals(table, 20);
  CHECK(fill(table, 200) > 0);
  // The others' load is gone by the next totals, so nothing more is admitted.
  exchangeTotals(table, 0);
  CHECK(fill(table, 300) == 0);
}

TEST_CASE("permits of a silent router occupy the engine but are left out of the reported load") {
  admission::PermitTable table = tableOf(0);
  setOthers(table, 20);
  CHECK(fill(table, 1) == 8);
  v1::RouterKey router;
  router.set_name("r");
  router.set_incarnation(1);
  table.setSilentRouters({router});
  CHECK(table.loadOf("m/0") == 8);
  CHECK(table.reportLoads().at(0).load() == 0);
  table.release(requestOf(1).permit(), "m/0");
  CHECK(table.loadOf("m/0") == 7);
  CHECK(table.reportLoads().at(0).load() == 0);
  // The router was only slow, so its permits count again.
  table.setSilentRouters({});
  CHECK(table.reportLoads().at(0).load() == 7);
}

} // namespace workshatch::test
