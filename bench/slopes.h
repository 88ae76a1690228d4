/// @file
/// Helpers that time a piece of work, fit a line to measurements at several sizes, and extrapolate
/// to a target size.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace workshatch::bench {

inline double microsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
      .count();
}

/// Least-squares line through measured points.
struct Fit {
  double offset = 0;
  double slope = 0;
  /// Share of the variance that the line explains.
  double r2 = 0;
};

struct Point {
  double size = 0;
  double value = 0;
};

inline Fit fitLine(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  for (const Point& point : points) {
    sum_x += point.size;
    sum_y += point.value;
  }
  double covariance = 0;
  double variance_x = 0;
  double variance_y = 0;
  for (const Point& point : points) {
    const double x = point.size - sum_x / count;
    const double y = point.value - sum_y / count;
    covariance += x * y;
    variance_x += x * x;
    variance_y += y * y;
  }
  Fit fit;
  fit.slope = covariance / variance_x;
  fit.offset = (sum_y - fit.slope * sum_x) / count;
  fit.r2 = variance_y == 0 ? 1 : covariance * covariance / (variance_x * variance_y);
  return fit;
}

/// Prints a row of a Markdown table: the points, the slope and fit of the line through them, and
/// the value that the line predicts at the size `target_size`.
inline void printSlope(const std::string& name, const std::string& unit,
                       const std::vector<Point>& points, double target_size) {
  const Fit fit = fitLine(points);
  std::printf("| %s |", name.c_str());
  for (const Point& point : points) {
    std::printf(" %.0f: %.2f", point.size, point.value);
  }
  std::printf(" | %.4g %s each | %.3f | %.0f: %.4g %s |\n", fit.slope, unit.c_str(), fit.r2,
              target_size, fit.offset + fit.slope * target_size, unit.c_str());
}

/// @return the median time of one call of `work` in microseconds, over nine batches of `batch`
/// calls.
inline double medianMicros(uint32_t batch, const std::function<void()>& work) {
  std::vector<double> times;
  for (int i = 0; i < 9; ++i) {
    const auto started = std::chrono::steady_clock::now();
    for (uint32_t j = 0; j < batch; ++j) {
      work();
    }
    times.push_back(microsSince(started) / batch);
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

/// Prints how the cost of a relay's work grows with the number of runners that it knows.
void printRelaySlopes();

} // namespace workshatch::bench
