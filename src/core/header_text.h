/// @file
/// The one place where text is checked before it goes into a header.
#pragma once

#include <string_view>

namespace workshatch {

/// @return whether `name` is a token of RFC 9110.
bool isHeaderName(std::string_view name);

/// @return whether `value` may be a header's value: no control characters but the tab, so that no
/// value can end its header or begin another request.
bool isHeaderValue(std::string_view value);

} // namespace workshatch
