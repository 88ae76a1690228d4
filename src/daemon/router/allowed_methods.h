/// @file
/// HTTP methods allowed on the paths that the router answers itself.
#pragma once

#include <string_view>

#include "adapters/http/http_types.h"

namespace workshatch::daemon {

/// @return the methods allowed on `path`, as the value of the `Allow` header. Empty if `path` is
/// not one that the router answers itself; its methods are not restricted here.
std::string_view allowedMethods(std::string_view path);

/// @return whether `method` is in `allowed`, a value returned by allowedMethods().
bool methodAllowed(std::string_view allowed, http::Verb method);

} // namespace workshatch::daemon
