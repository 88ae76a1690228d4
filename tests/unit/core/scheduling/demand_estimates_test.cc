/// @file
/// Tests of the demand of requests: stated figures, the averages that stand in for missing ones,
/// and the bound on the number of averages. Titles name the failures that they guard against.
#include <doctest/doctest.h>

#include "core/scheduling/demand_estimates.h"

namespace workshatch::test {

using relay::DemandSource;
using relay::StatedDemand;

namespace {

const relay::Service kEngines{.name = "s", .model_engine = true, .tokens_per_event = 9};

relay::Route streamRoute(const std::string& prefix) {
  relay::Route route;
  route.host = "h.example";
  route.path_prefix = prefix;
  route.kind = relay::RouteKind::Streaming;
  route.objective_ms = 400;
  route.pause_objective_ms = 300;
  route.targets.push_back(relay::RouteTarget{.service = "s"});
  return route;
}

const relay::Route kRoute = streamRoute("/a/");

} // namespace

TEST_CASE("Stated figures are replaced by averages, or a hint exceeds the stated limit") {
  relay::DemandEstimates estimates;
  estimates.admit(kRoute, kEngines, StatedDemand{.prompt_tokens = 9000});
  estimates.recordOutput(kRoute, kEngines, 100);
  const auto hinted = estimates.admit(
      kRoute, kEngines,
      StatedDemand{.prompt_tokens = 1460, .max_output_tokens = 80, .expected_output_tokens = 60});
  CHECK(hinted.prompt_tokens == 1460);
  CHECK(hinted.output_tokens == 60);
  CHECK(hinted.source == DemandSource::Told);
  CHECK(hinted.objective_ms == 400);
  CHECK(hinted.pause_objective_ms == 300);
  const auto capped = estimates.admit(
      kRoute, kEngines,
      StatedDemand{.prompt_tokens = 1460, .max_output_tokens = 80, .expected_output_tokens = 500});
  CHECK(capped.output_tokens == 80);
}

TEST_CASE(
    "A request that states nothing has no demand although others of its route stated theirs") {
  relay::DemandEstimates estimates;
  const auto first = estimates.admit(kRoute, kEngines, {});
  CHECK(first.source == DemandSource::Unknown);
  CHECK(first.prompt_tokens == 0);
  CHECK(first.objective_ms == 400);
  for (const uint64_t tokens : {1000, 2000, 3000}) {
    estimates.admit(kRoute, kEngines, StatedDemand{.prompt_tokens = tokens});
  }
  estimates.recordOutput(kRoute, kEngines, 10);
  estimates.recordOutput(kRoute, kEngines, 20);
  const auto estimated = estimates.admit(kRoute, kEngines, {});
  CHECK(estimated.source == DemandSource::Estimated);
  CHECK(estimated.prompt_tokens == 2000);
  CHECK(estimated.output_tokens == 135);
  // The averages of one route say nothing about another one.
  CHECK(estimates.admit(streamRoute("/b/"), kEngines, {}).source == DemandSource::Unknown);
}

TEST_CASE("An expected output is missing, or exceeds what the request can have") {
  relay::DemandEstimates estimates;
  const StatedDemand stated{.prompt_tokens = 1460, .max_output_tokens = 80};
  // Without an average the limit is all that is known.
  CHECK(estimates.admit(kRoute, kEngines, stated).output_tokens == 80);
  CHECK(estimates.admit(kRoute, kEngines, stated).source == DemandSource::Told);
  estimates.recordOutput(kRoute, kEngines, 5);
  CHECK(estimates.admit(kRoute, kEngines, stated).output_tokens == 45);
  CHECK(estimates.admit(kRoute, kEngines, stated).source == DemandSource::Estimated);
  for (int i = 0; i < 100; ++i) {
    estimates.recordOutput(kRoute, kEngines, 1000);
  }
  CHECK(estimates.admit(kRoute, kEngines, stated).output_tokens == 80);
}

TEST_CASE("An estimated prompt is shorter than the blocks that the request lists") {
  relay::DemandEstimates estimates;
  const StatedDemand listed{.listed_prompt_tokens = 5000};
  CHECK(estimates.admit(kRoute, kEngines, listed).prompt_tokens == 5000);
  estimates.admit(kRoute, kEngines, StatedDemand{.prompt_tokens = 1000});
  CHECK(estimates.admit(kRoute, kEngines, listed).prompt_tokens == 5000);
  const StatedDemand implausible{.listed_prompt_tokens = relay::kMaxPlausibleTokens + 1};
  CHECK(estimates.admit(kRoute, kEngines, implausible).prompt_tokens == 1000);
}

TEST_CASE("An implausible figure is used, or makes the other figures of the request unusable") {
  const auto zero = relay::withoutImplausible(
      StatedDemand{.prompt_tokens = 0, .max_output_tokens = 80, .expected_output_tokens = 60});
  CHECK_FALSE(zero.prompt_tokens);
  CHECK(zero.max_output_tokens == 80U);
  CHECK(zero.expected_output_tokens == 60U);
  CHECK(zero.rejected == 1);
  constexpr uint64_t kMost = relay::kMaxPlausibleTokens;
  const auto most = relay::withoutImplausible(
      StatedDemand{.prompt_tokens = kMost, .max_output_tokens = kMost + 1, .rejected = 1});
  CHECK(most.prompt_tokens == kMost);
  CHECK_FALSE(most.max_output_tokens);
  CHECK(most.rejected == 2);
}

TEST_CASE("Averages do not follow a change of the route's requests") {
  relay::TokenAverage average;
  CHECK_FALSE(average.value());
  for (int i = 0; i < 1000; ++i) {
    average.add(100);
  }
  CHECK(average.value() == 100U);
  for (uint32_t i = 0; i < 3 * relay::kAveragedRequests; ++i) {
    average.add(1000);
  }
  CHECK(*average.value() > 900);
}

TEST_CASE("A plain request has a demand, or a response that is no stream a pause objective") {
  relay::DemandEstimates estimates;
  const relay::Service plain{.name = "s"};
  const auto demand = estimates.admit(kRoute, plain, StatedDemand{.prompt_tokens = 1460});
  CHECK(demand.source == DemandSource::Unknown);
  CHECK(demand.prompt_tokens == 0);
  CHECK(demand.objective_ms == 400);
  CHECK(estimates.size() == 0);
  relay::Route whole = kRoute;
  whole.kind = relay::RouteKind::Repeatable;
  CHECK(relay::objectivesOf(whole).pause_objective_ms == 0);
}

TEST_CASE("An output without known tokens per event counts as an empty one") {
  relay::DemandEstimates estimates;
  const relay::Service unstated{.name = "s", .model_engine = true};
  const StatedDemand stated{.prompt_tokens = 1460, .max_output_tokens = 80};
  estimates.admit(kRoute, unstated, stated);
  estimates.recordOutput(kRoute, unstated, 30);
  CHECK(estimates.admit(kRoute, unstated, stated).output_tokens == 80);
}

TEST_CASE("Averages of routes that left the configuration are kept, or come back") {
  relay::DemandEstimates estimates;
  relay::Configuration configuration;
  configuration.routes = {kRoute};
  for (int i = 0; i < 200; ++i) {
    const relay::Route route = streamRoute("/" + std::to_string(i) + "/");
    estimates.admit(route, kEngines, StatedDemand{.prompt_tokens = 10});
  }
  estimates.admit(kRoute, kEngines, StatedDemand{.prompt_tokens = 1000});
  CHECK(estimates.size() == 201);
  estimates.retain(configuration);
  CHECK(estimates.size() == 1);
  // A stream that was admitted under the previous configuration completes.
  estimates.recordOutput(streamRoute("/7/"), kEngines, 10);
  CHECK(estimates.size() == 1);
  CHECK(estimates.admit(kRoute, kEngines, {}).prompt_tokens == 1000);
}

} // namespace workshatch::test
