/// @file
/// Which methods the router's own paths take.
#pragma once

#include <string_view>

#include "adapters/http/http_types.h"

namespace workshatch::daemon {

/// @return the value of `Allow` for a path that the router answers itself; empty: any method, or a
/// path that it does not know.
std::string_view allowedMethods(std::string_view path);

/// @return whether `method` is one of `allowed`.
bool methodAllowed(std::string_view allowed, http::Verb method);

} // namespace workshatch::daemon
