/// @file
/// Blocking HTTP requests, for programs and tests without an event loop.
#pragma once

#include <string>
#include <vector>

#include "adapters/http/http_types.h"
#include "core/result.h"

namespace workshatch::http {

/// A header field of a request.
struct RequestHeader {
  std::string name;
  std::string value;
};

/// Sends a request on a new connection and waits for the complete response, for at most 30 s in
/// total.
/// @return the response, whatever its status; an error if there was none.
Result<Response> blockingCall(const std::string& address, Verb method, const std::string& target,
                              const std::string& body, const std::vector<RequestHeader>& headers);

/// Sends a GET request.
/// @return the body of a response with status 200; an error otherwise.
Result<std::string> blockingGet(const std::string& address, const std::string& target);

} // namespace workshatch::http
