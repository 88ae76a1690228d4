#include "core/scheduling/demand_estimates.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_set>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

uint64_t keyOf(const Route& route, const std::string& service) {
  constexpr char kSeparator = '\n';
  return routing::fingerprintOf(route.host + kSeparator + route.path_prefix + kSeparator + service);
}

/// Drops a figure that is not plausible and counts it.
void checkFigure(std::optional<uint64_t>& figure, uint64_t min, uint32_t& rejected) {
  if (figure && (*figure < min || *figure > kMaxPlausibleTokens)) {
    figure.reset();
    ++rejected;
  }
}

std::optional<uint32_t> toCount(const std::optional<uint64_t>& plausible) {
  return plausible ? std::optional(static_cast<uint32_t>(*plausible)) : std::nullopt;
}

/// @return the tokens in the prefix blocks that the caller lists; 0 if their number is not
/// plausible.
uint32_t listedTokens(const StatedDemand& stated) {
  const bool plausible = stated.listed_prompt_tokens <= kMaxPlausibleTokens;
  return plausible ? static_cast<uint32_t>(stated.listed_prompt_tokens) : 0;
}

} // namespace

void TokenAverage::add(uint32_t tokens) {
  samples_ = std::min(samples_ + 1, kAveragedRequests);
  mean_ += (tokens - mean_) / samples_;
}

std::optional<uint32_t> TokenAverage::value() const {
  return samples_ == 0 ? std::nullopt : std::optional(static_cast<uint32_t>(std::lround(mean_)));
}

StatedDemand withoutImplausible(StatedDemand stated) {
  checkFigure(stated.prompt_tokens, 1, stated.rejected);
  checkFigure(stated.max_output_tokens, 0, stated.rejected);
  checkFigure(stated.expected_output_tokens, 0, stated.rejected);
  return stated;
}

RequestDemand objectivesOf(const Route& route) {
  const bool streaming = route.kind == RouteKind::Streaming;
  return RequestDemand{.objective_ms = route.objective_ms,
                       .pause_objective_ms = streaming ? route.pause_objective_ms : 0};
}

RequestDemand DemandEstimates::admit(const Route& route, const Service& service,
                                     const StatedDemand& stated) {
  RequestDemand demand = objectivesOf(route);
  if (!service.model_engine) {
    return demand;
  }
  RouteAverages& averages = averages_[keyOf(route, service.name)];
  const auto prompt = toCount(stated.prompt_tokens);
  if (prompt) {
    averages.prompt_tokens.add(*prompt);
  }
  // The prompt is at least as long as the blocks that it is known to have.
  demand.prompt_tokens =
      prompt.value_or(std::max(averages.prompt_tokens.value().value_or(0), listedTokens(stated)));
  if (demand.prompt_tokens == 0) {
    return demand;
  }
  const auto max_output = toCount(stated.max_output_tokens);
  const auto average_output = averages.output_tokens.value();
  // Without an average, the limit is all that is known of the output.
  const auto stated_output = stated.expected_output_tokens || average_output
                                 ? toCount(stated.expected_output_tokens)
                                 : max_output;
  demand.output_tokens = std::min(stated_output.value_or(average_output.value_or(0)),
                                  max_output.value_or(kMaxPlausibleTokens));
  demand.source = prompt && stated_output ? DemandSource::Told : DemandSource::Estimated;
  return demand;
}

void DemandEstimates::recordOutput(const Route& route, const Service& service, uint32_t events) {
  const auto averages = averages_.find(keyOf(route, service.name));
  if (averages == averages_.end() || service.tokens_per_event == 0) {
    return;
  }
  const uint64_t tokens = uint64_t{events} * service.tokens_per_event;
  averages->second.output_tokens.add(static_cast<uint32_t>(std::min(tokens, kMaxPlausibleTokens)));
}

void DemandEstimates::retain(const Configuration& configuration) {
  std::unordered_set<uint64_t> present;
  for (const Route& route : configuration.routes) {
    for (const RouteTarget& target : route.targets) {
      present.insert(keyOf(route, target.service));
    }
  }
  std::erase_if(averages_, [&](const auto& entry) { return !present.contains(entry.first); });
}

} // namespace workshatch::relay
