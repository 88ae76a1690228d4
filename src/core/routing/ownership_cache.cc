#include "core/routing/ownership_cache.h"

#include "core/routing/engine_owner.h"

namespace workshatch::routing {

bool OwnershipCache::owns(const std::shared_ptr<const v1::View>& view, const std::string& engine,
                          const std::string& zone) {
  if (view_ != view) {
    view_ = view;
    owned_.clear();
  }
  const auto [entry, added] = owned_.try_emplace(engine, false);
  if (added) {
    const v1::RouterEntry* owner = ownerOf(*view, engine, zone);
    entry->second = owner != nullptr && owner->name() == router_;
  }
  return entry->second;
}

} // namespace workshatch::routing
