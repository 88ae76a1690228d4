/// @file
/// Requests of one relay that wait for a place at a busy service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace workshatch::relay {

/// Where a request stands in the line: the more urgent first, then the one with less time left,
/// then the one that came first.
struct LinePlace {
  uint32_t priority = 0;
  int64_t deadline_ms = 0;
  uint64_t number = 0;

  bool operator<(const LinePlace& other) const {
    return std::tie(priority, deadline_ms, number) <
           std::tie(other.priority, other.deadline_ms, other.number);
  }
};

/// One line for each service, of bounded length: the last gives way to a request before it.
/// A request in the line is called at most once; to wait on, it joins again. Calls happen within
/// the methods of this class. Not safe for concurrent use.
class WaitingLine {
public:
  enum class Call {
    /// A place may have become free.
    Try,
    /// The line is full and others go first.
    GiveUp,
  };
  using Called = std::function<void(Call)>;

  explicit WaitingLine(size_t most_waiting) : most_waiting_(most_waiting) {}

  /// @return a place for a request that has not joined yet.
  LinePlace newPlace(uint32_t priority, int64_t deadline_ms) {
    return LinePlace{.priority = priority, .deadline_ms = deadline_ms, .number = ++last_number_};
  }

  /// @return false when the line is full of requests that go first.
  bool join(const std::string& service, const LinePlace& place, Called called);
  /// Leaves the line; nothing happens when the request was called already.
  void leave(const std::string& service, const LinePlace& place);

  /// Calls the first in line, if there is one.
  void callNext(const std::string& service);
  /// As `callNext`, for each service.
  void callNextOfEach();

  /// @return whether a request waits that goes before a new one of this priority.
  bool hasBefore(const std::string& service, uint32_t priority) const;
  size_t length(const std::string& service) const;

private:
  using Line = std::map<LinePlace, Called>;

  const size_t most_waiting_;
  uint64_t last_number_ = 0;
  std::map<std::string, Line> lines_;
};

} // namespace workshatch::relay
