#include "daemon/router/allowed_methods.h"

#include <algorithm>
#include <array>

namespace workshatch::daemon {

std::string_view allowedMethods(std::string_view path) {
  constexpr std::array<std::string_view, 4> kReadOnly = {"/v1/endpoints", "/healthz", "/readyz",
                                                         "/metrics"};
  const bool read_only = std::find(kReadOnly.begin(), kReadOnly.end(), path) != kReadOnly.end();
  return read_only ? "GET" : "";
}

bool methodAllowed(std::string_view allowed, http::Verb method) {
  return allowed.find(http::viewOf(boost::beast::http::to_string(method))) !=
         std::string_view::npos;
}

} // namespace workshatch::daemon
