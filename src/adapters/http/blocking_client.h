/// @file
/// One HTTP request from a program without an event loop of its own.
#pragma once

#include <string>
#include <vector>

#include "adapters/http/http_types.h"
#include "core/result.h"

namespace workshatch::http {

struct RequestHeader {
  std::string name;
  std::string value;
};

/// Sends a request and waits for its whole answer.
/// @return an error when the call failed; an answer with any status is a value.
Result<Response> blockingCall(const std::string& address, Verb method, const std::string& target,
                              const std::string& body, const std::vector<RequestHeader>& headers);

/// @return the body of an answer with status 200, else an error.
Result<std::string> blockingGet(const std::string& address, const std::string& target);

} // namespace workshatch::http
