/// @file
/// To which request a response belongs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace workshatch::relay {

/// To which request a response belongs, by the request ids in its head. A runner gives back the id
/// of the request in each response.
enum class ResponseOwner {
  /// The response is the one to the request that was sent.
  ThisRequest,
  /// It is a late response to another request.
  OtherRequest,
  /// Its head has no request id, or several that differ.
  Unknown,
};

/// @param ids values of all fields of the head that hold a request id
/// @param request_id id of the request that was sent; ids are compared byte for byte
ResponseOwner ownerOfResponse(const std::vector<std::string>& ids, std::string_view request_id);

/// @return the name in logs.
const char* nameOf(ResponseOwner owner);

} // namespace workshatch::relay
