/// @file
/// Validation of HTTP header names and values. All text is checked here before it goes into a
/// header.
#pragma once

#include <string_view>

namespace workshatch {

/// @return whether `name` is a token as defined by RFC 9110.
bool isHeaderName(std::string_view name);

/// @return whether `value` is allowed as a header value: it has no control characters except the
/// tab, so it can neither end its header nor begin another request.
bool isHeaderValue(std::string_view value);

} // namespace workshatch
