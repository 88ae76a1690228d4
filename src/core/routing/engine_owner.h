/// @file
/// Which router owns an engine, known from the view alone.
#pragma once

#include <string>

#include "workshatch/v1/control.pb.h"

namespace workshatch::routing {

/// The router that owns an engine: of the active routers in the engine's zone, else of all active
/// ones, the one with the highest weight.
/// @return null when no router of the view is active.
const v1::RouterEntry* ownerOf(const v1::View& view, const std::string& engine,
                               const std::string& zone);

} // namespace workshatch::routing
