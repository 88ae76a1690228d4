/// @file
/// Computes which router owns an engine, from the view alone.
#pragma once

#include <string>

#include "workshatch/v1/control.pb.h"

namespace workshatch::routing {

/// Computes the owner of an engine: among the active routers in the engine's zone or, if there are
/// none, among all active routers, the one with the highest rendezvous weight.
/// @return null when no router of the view is active.
const v1::RouterEntry* ownerOf(const v1::View& view, const std::string& engine,
                               const std::string& zone);

} // namespace workshatch::routing
