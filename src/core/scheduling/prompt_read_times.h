/// @file
/// Expected time from the grant of a slot at a model engine to the first event of the prompt,
/// learned from the prompts of all relays.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace workshatch::relay {

/// Range of the factor by which an engine's times may differ from those of its service. One engine
/// with untrue or broken samples thus gains or loses requests by a bounded factor only.
inline constexpr double kMinReadFactor = 0.5;
inline constexpr double kMaxReadFactor = 10;
/// Number of samples from which on the fitted line is used.
inline constexpr size_t kMinReadSamples = 20;

/// A prompt whose first event was reported.
struct PromptRead {
  /// Prompt tokens that the engine had to read at the time of the grant, including those of this
  /// prompt.
  uint64_t tokens = 0;
  /// From the grant to the report of the first event.
  int64_t duration_ms = 0;
};

/// Fits the line duration = fixed + per_token * tokens to the prompts of all engines of a service
/// whose slots one relay owns.
///
/// The fit is by least squares with neither part below zero. Samples lose their weight with a time
/// constant of 10 s. The first one after three time constants without any replaces all of them;
/// until it arrives, the last line stays in use. Duration samples are limited to `kMaxReadFactor`
/// times the line, because a lost report of a first event is made up for by a report that may
/// be 1.5 s late.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class PromptReadTimes {
public:
  void add(const PromptRead& read, int64_t now_ms);

  /// @return the time until the first event with this many tokens to read; nullopt with fewer than
  /// `kMinReadSamples` samples.
  std::optional<double> expectedMs(uint64_t tokens) const;

private:
  struct Line {
    double fixed_ms = 0;
    double ms_per_token = 0;
  };

  void fade(int64_t now_ms);
  Line fit() const;

  size_t samples_ = 0;
  int64_t last_sample_ms_ = 0;
  // Sums over the samples, weighted by their age.
  double weight_ = 0;
  double tokens_ = 0;
  double duration_ms_ = 0;
  double tokens_squared_ = 0;
  double tokens_by_duration_ = 0;
};

/// The factor by which the recent times of one engine differ from the line of its service: the sum
/// of its durations divided by the sum of the expected ones, both with a time constant of 1 s.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class EngineReadFactor {
public:
  /// @param expected_ms by the line of the service, before the sample was added to it
  void add(double expected_ms, double duration_ms, int64_t now_ms);

  /// @return the factor, between `kMinReadFactor` and `kMaxReadFactor`; 1 without a recent sample.
  double factor(int64_t now_ms) const;

private:
  /// Empty if there was no sample.
  std::optional<int64_t> last_sample_ms_;
  double expected_ms_ = 0;
  double duration_ms_ = 0;
};

} // namespace workshatch::relay
