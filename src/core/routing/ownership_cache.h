/// @file
/// Cache of which engines one router owns. Ownership depends only on the view, so entries are valid
/// as long as the view does not change.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "workshatch/v1/control.pb.h"

namespace workshatch::routing {

/// Caches results of `ownerOf` for one router. Not safe for concurrent use.
class OwnershipCache {
public:
  explicit OwnershipCache(std::string router) : router_(std::move(router)) {}

  /// @return whether the router owns the engine under `view`. A different view clears the cache.
  bool owns(const std::shared_ptr<const v1::View>& view, const std::string& engine,
            const std::string& zone);

private:
  const std::string router_;
  std::shared_ptr<const v1::View> view_;
  std::unordered_map<std::string, bool> owned_;
};

} // namespace workshatch::routing
