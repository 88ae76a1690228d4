/// @file
/// Limits the memory that the bodies of requests take in one process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace workshatch::limits {

struct BodyBudgetLimits {
  /// Maximum number of bytes held for the bodies of all requests of the process.
  size_t process_bytes = 0;
  /// Part of `process_bytes` that only small requests may use.
  size_t reserved_bytes = 0;
  /// A request that holds at most this many bytes is small.
  size_t small_bytes = size_t{128} * 1024;
};

/// Counts the bytes that are held for the bodies of requests, as they arrive and until each request
/// is released, and refuses more than the process may hold.
///
/// Load pattern: many requests with small or no bodies, and occasionally a burst of large ones.
/// Guarantee: the reservations never exceed `process_bytes`, and those of large requests never
/// exceed `process_bytes - reserved_bytes`, so that large requests cannot displace small ones.
/// Limits: it counts what its users reserve; buffers of the operating system are not included.
///
/// Safe for concurrent use. Each reservation is used by one thread at a time.
class BodyBudget {
public:
  /// The bytes held for one request; released when it is destroyed. Keeps the budget alive.
  class Reservation {
  public:
    explicit Reservation(std::shared_ptr<BodyBudget> budget) : budget_(std::move(budget)) {}
    ~Reservation() { release(); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// Raises the reservation to `bytes`; a smaller number changes nothing.
    /// @return false if the budget is used up. The reservation is unchanged then.
    [[nodiscard]] bool growTo(size_t bytes);
    void release();
    size_t bytes() const { return bytes_; }

  private:
    const std::shared_ptr<BodyBudget> budget_;
    size_t bytes_ = 0;
  };

  explicit BodyBudget(BodyBudgetLimits limits) : limits_(limits) {}

  /// @return the largest reservation that a single request can get; more is refused for good.
  size_t largestBytes() const { return limits_.process_bytes - limits_.reserved_bytes; }
  size_t heldBytes() const;
  /// @return the largest number of bytes that were held at once.
  size_t peakBytes() const;
  /// @return how often more bytes were refused.
  uint64_t refusals() const;

private:
  bool isSmall(size_t bytes) const { return bytes <= limits_.small_bytes; }
  /// Replaces a reservation of `old_bytes` by one of `new_bytes`. @return false if it is refused.
  bool change(size_t old_bytes, size_t new_bytes);

  const BodyBudgetLimits limits_;
  mutable std::mutex mutex_;
  /// All reservations, and those of requests that are not small.
  size_t held_bytes_ = 0;
  size_t large_bytes_ = 0;
  size_t peak_bytes_ = 0;
  uint64_t refusals_ = 0;
};

} // namespace workshatch::limits
