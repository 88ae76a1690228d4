#include "core/admission/fair_queue.h"

#include <algorithm>
#include <utility>

#include "core/admission/permit_key.h"
#include "core/check.h"

namespace workshatch::admission {

void FairQueue::push(Waiter waiter, uint32_t tenant_weight) {
  PriorityClass& priority_class = classes_[waiter.request.priority()];
  const std::string tenant = waiter.request.tenant();
  TenantQueue& queue = priority_class.tenants[tenant];
  queue.weight = std::max<uint32_t>(tenant_weight, 1);
  if (queue.waiters.empty()) {
    priority_class.order.push_back(tenant);
  }
  queue.waiters.push_back(std::move(waiter));
  ++size_;
}

const Waiter* FairQueue::front() {
  if (classes_.empty()) {
    return nullptr;
  }
  PriorityClass& priority_class = classes_.begin()->second;
  while (true) {
    TenantQueue& queue = priority_class.tenants[priority_class.order.front()];
    const uint64_t cost = std::max<uint64_t>(queue.waiters.front().request.cost(), 1);
    if (queue.deficit >= cost) {
      return &queue.waiters.front();
    }
    queue.deficit += quantum_ * queue.weight;
    priority_class.order.push_back(std::move(priority_class.order.front()));
    priority_class.order.pop_front();
  }
}

Waiter FairQueue::pop() {
  WORKSHATCH_CHECK(front() != nullptr, "pop of an empty queue");
  PriorityClass& priority_class = classes_.begin()->second;
  const std::string tenant = priority_class.order.front();
  TenantQueue& queue = priority_class.tenants[tenant];
  Waiter waiter = std::move(queue.waiters.front());
  queue.waiters.pop_front();
  queue.deficit -= std::max<uint64_t>(waiter.request.cost(), 1);
  --size_;
  dropEmptyTenant(priority_class, tenant);
  dropEmptyClasses();
  return waiter;
}

std::vector<Waiter> FairQueue::expire(int64_t now_ms) {
  std::vector<Waiter> expired;
  for (auto& [priority, priority_class] : classes_) {
    const std::deque<std::string> tenants = priority_class.order;
    for (const std::string& tenant : tenants) {
      std::deque<Waiter>& waiters = priority_class.tenants[tenant].waiters;
      for (const Waiter& waiter : waiters) {
        if (waiter.deadline_ms <= now_ms) {
          expired.push_back(waiter);
        }
      }
      std::erase_if(waiters, [&](const Waiter& w) { return w.deadline_ms <= now_ms; });
      dropEmptyTenant(priority_class, tenant);
    }
  }
  dropEmptyClasses();
  size_ -= expired.size();
  return expired;
}

bool FairQueue::remove(const v1::PermitId& permit) {
  for (auto& [priority, priority_class] : classes_) {
    for (auto& [tenant, queue] : priority_class.tenants) {
      const size_t removed = std::erase_if(
          queue.waiters, [&](const Waiter& w) { return samePermit(w.request.permit(), permit); });
      if (removed == 0) {
        continue;
      }
      size_ -= removed;
      const std::string name = tenant;
      dropEmptyTenant(priority_class, name);
      dropEmptyClasses();
      return true;
    }
  }
  return false;
}

bool FairQueue::contains(const v1::PermitId& permit) const {
  for (const auto& [priority, priority_class] : classes_) {
    for (const auto& [tenant, queue] : priority_class.tenants) {
      const bool found =
          std::any_of(queue.waiters.begin(), queue.waiters.end(), [&](const Waiter& waiter) {
            return samePermit(waiter.request.permit(), permit);
          });
      if (found) {
        return true;
      }
    }
  }
  return false;
}

size_t FairQueue::tenantSize(const std::string& tenant) const {
  size_t count = 0;
  for (const auto& [priority, priority_class] : classes_) {
    const auto found = priority_class.tenants.find(tenant);
    count += found == priority_class.tenants.end() ? 0 : found->second.waiters.size();
  }
  return count;
}

void FairQueue::dropEmptyClasses() {
  std::erase_if(classes_, [](const auto& entry) { return entry.second.order.empty(); });
}

void FairQueue::dropEmptyTenant(PriorityClass& priority_class, const std::string& tenant) {
  const auto found = priority_class.tenants.find(tenant);
  if (found == priority_class.tenants.end() || !found->second.waiters.empty()) {
    return;
  }
  std::erase(priority_class.order, tenant);
  priority_class.tenants.erase(found);
}

} // namespace workshatch::admission
