/// @file
/// Requests that wait for one engine: highest priority first, tenants by weighted round robin.
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

/// A permit request that waits; its time is the owner's clock in milliseconds.
struct Waiter {
  v1::PermitRequest request;
  int64_t deadline_ms = 0;
};

/// Not safe for concurrent use.
class FairQueue {
public:
  /// @param quantum load that a tenant of weight one may start in a round, in the load unit; about
  /// the cost of one request, since a tenant takes its whole turn before the next.
  explicit FairQueue(uint64_t quantum = 1) : quantum_(quantum) {}

  void push(Waiter waiter, uint32_t tenant_weight);

  /// The waiter that goes next; null when nobody waits. Stays the same until `pop`.
  const Waiter* front();
  Waiter pop();

  /// Removes and returns the waiters whose deadline has passed.
  std::vector<Waiter> expire(int64_t now_ms);

  /// @return whether the permit was waiting and is removed.
  bool remove(const v1::PermitId& permit);
  bool contains(const v1::PermitId& permit) const;

  size_t size() const { return size_; }
  /// Requests of one tenant that wait.
  size_t tenantSize(const std::string& tenant) const;

private:
  struct TenantQueue {
    std::deque<Waiter> waiters;
    uint64_t deficit = 0;
    uint32_t weight = 1;
  };
  struct PriorityClass {
    std::map<std::string, TenantQueue> tenants;
    /// Tenants with waiters, in round-robin order.
    std::deque<std::string> order;
  };

  void dropEmptyClasses();
  void dropEmptyTenant(PriorityClass& priority_class, const std::string& tenant);

  /// By descending priority.
  std::map<int32_t, PriorityClass, std::greater<>> classes_;
  uint64_t quantum_;
  size_t size_ = 0;
};

} // namespace workshatch::admission
