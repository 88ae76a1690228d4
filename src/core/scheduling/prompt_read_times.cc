#include "core/scheduling/prompt_read_times.h"

#include <algorithm>
#include <cmath>

namespace workshatch::relay {

namespace {

constexpr double kLineTimeConstantMs = 10'000;
constexpr double kFactorTimeConstantMs = 1000;
/// Time without samples after which the older ones are ignored: they have less than a twentieth of
/// their weight.
constexpr int64_t kLineValidMs = 30'000;
constexpr int64_t kFactorValidMs = 3000;
/// Variance of the tokens, relative to the square of their mean, below which the samples do not
/// determine a slope.
constexpr double kMinRelativeVariance = 1e-4;

double remainingWeight(int64_t elapsed_ms, double time_constant_ms) {
  return std::exp(-static_cast<double>(std::max<int64_t>(elapsed_ms, 0)) / time_constant_ms);
}

} // namespace

void PromptReadTimes::fade(int64_t now_ms) {
  const int64_t elapsed_ms = now_ms - last_sample_ms_;
  if (elapsed_ms >= kLineValidMs) {
    *this = PromptReadTimes();
  }
  const double remaining = remainingWeight(elapsed_ms, kLineTimeConstantMs);
  for (double* sum : {&weight_, &tokens_, &duration_ms_, &tokens_squared_, &tokens_by_duration_}) {
    *sum *= remaining;
  }
  last_sample_ms_ = now_ms;
}

void PromptReadTimes::add(const PromptRead& read, int64_t now_ms) {
  fade(now_ms);
  const auto tokens = static_cast<double>(read.tokens);
  auto duration_ms = static_cast<double>(std::max<int64_t>(read.duration_ms, 0));
  if (const auto expected_ms = expectedMs(read.tokens)) {
    duration_ms = std::min(duration_ms, kMaxReadFactor * std::max(*expected_ms, 1.0));
  }
  ++samples_;
  weight_ += 1;
  tokens_ += tokens;
  duration_ms_ += duration_ms;
  tokens_squared_ += tokens * tokens;
  tokens_by_duration_ += tokens * duration_ms;
}

/// Without a usable slope the times are proportional to the tokens, so that a prompt that is larger
/// than all samples is not expected to take as little time as they did.
PromptReadTimes::Line PromptReadTimes::fit() const {
  const double mean_tokens = tokens_ / weight_;
  const double mean_ms = duration_ms_ / weight_;
  const double variance = tokens_squared_ / weight_ - mean_tokens * mean_tokens;
  const double covariance = tokens_by_duration_ / weight_ - mean_tokens * mean_ms;
  const bool determined = variance > kMinRelativeVariance * mean_tokens * mean_tokens;
  if (determined && covariance <= 0) {
    return Line{.fixed_ms = mean_ms, .ms_per_token = 0};
  }
  const double slope = determined ? covariance / variance : 0;
  const double fixed_ms = mean_ms - slope * mean_tokens;
  if (determined && fixed_ms >= 0) {
    return Line{.fixed_ms = fixed_ms, .ms_per_token = slope};
  }
  return tokens_squared_ > 0 ? Line{.ms_per_token = tokens_by_duration_ / tokens_squared_}
                             : Line{.fixed_ms = mean_ms};
}

std::optional<double> PromptReadTimes::expectedMs(uint64_t tokens) const {
  if (samples_ < kMinReadSamples) {
    return std::nullopt;
  }
  const Line line = fit();
  return line.fixed_ms + line.ms_per_token * static_cast<double>(tokens);
}

void EngineReadFactor::add(double expected_ms, double duration_ms, int64_t now_ms) {
  const bool recent = last_sample_ms_ && now_ms - *last_sample_ms_ < kFactorValidMs;
  const double remaining =
      recent ? remainingWeight(now_ms - *last_sample_ms_, kFactorTimeConstantMs) : 0;
  // One sample counts at most like that of an engine with the highest factor.
  const double limited_ms = std::min(duration_ms, kMaxReadFactor * expected_ms);
  expected_ms_ = remaining * expected_ms_ + expected_ms;
  duration_ms_ = remaining * duration_ms_ + limited_ms;
  last_sample_ms_ = now_ms;
}

double EngineReadFactor::factor(int64_t now_ms) const {
  const bool recent = last_sample_ms_ && now_ms - *last_sample_ms_ < kFactorValidMs;
  if (!recent || expected_ms_ <= 0) {
    return 1;
  }
  return std::clamp(duration_ms_ / expected_ms_, kMinReadFactor, kMaxReadFactor);
}

} // namespace workshatch::relay
