#include "core/relay/response_owner.h"

#include <algorithm>

namespace workshatch::relay {

ResponseOwner ownerOfResponse(const std::vector<std::string>& ids, std::string_view request_id) {
  if (ids.empty()) {
    return ResponseOwner::Unknown;
  }
  const bool differ =
      std::any_of(ids.begin(), ids.end(), [&](const std::string& id) { return id != ids.front(); });
  if (differ) {
    return ResponseOwner::Unknown;
  }
  return ids.front() == request_id ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest;
}

const char* nameOf(ResponseOwner owner) {
  switch (owner) {
  case ResponseOwner::ThisRequest:
    return "this_request";
  case ResponseOwner::OtherRequest:
    return "other_request";
  case ResponseOwner::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace workshatch::relay
