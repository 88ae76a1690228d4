/// @file
/// Queue of permit requests for one engine: the highest priority first, and within a priority
/// weighted deficit round robin between tenants.
///
/// Source: M. Shreedhar, G. Varghese, "Efficient Fair Queuing using Deficit Round Robin", 1995.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workshatch/v1/peer.pb.h"

namespace workshatch::admission {

/// A queued permit request. The deadline is in milliseconds of the owner's monotonic clock.
struct Waiter {
  v1::PermitRequest request;
  int64_t deadline_ms = 0;
};

/// Weighted fair queue of the requests for one engine. Not safe for concurrent use.
class FairQueue {
public:
  /// @param quantum load that a tenant of weight one may start per round, in the pool's load unit.
  /// It should be about the cost of one request, because a tenant uses its whole share of a round
  /// before the next tenant is served.
  explicit FairQueue(uint64_t quantum = 1) : quantum_(quantum) {}

  /// Appends a request to the queue of its tenant.
  /// @param tenant_weight share of the tenant relative to others; zero counts as one
  void push(Waiter waiter, uint32_t tenant_weight);

  /// @return the request to serve next, or null when the queue is empty. The result stays the same
  /// until the queue changes.
  const Waiter* front();
  /// Removes and returns the request to serve next. The queue must not be empty.
  Waiter pop();

  /// Removes and returns the requests whose deadline has passed.
  std::vector<Waiter> expire(int64_t now_ms);

  /// @return whether the permit's request was queued and has been removed.
  bool remove(const v1::PermitId& permit);
  bool contains(const v1::PermitId& permit) const;

  size_t size() const { return size_; }
  /// @return the number of queued requests of one tenant.
  size_t tenantSize(const std::string& tenant) const;

private:
  struct TenantQueue {
    std::deque<Waiter> waiters;
    /// Load that the tenant may still start in this round.
    uint64_t deficit = 0;
    uint32_t weight = 1;
  };
  struct PriorityClass {
    std::map<std::string, TenantQueue> tenants;
    /// Tenants with queued requests, in round-robin order.
    std::deque<std::string> order;
  };

  void dropEmptyClasses();
  void dropEmptyTenant(PriorityClass& priority_class, const std::string& tenant);

  /// Priority classes in descending order of priority.
  std::map<int32_t, PriorityClass, std::greater<>> classes_;
  uint64_t quantum_;
  size_t size_ = 0;
};

} // namespace workshatch::admission
