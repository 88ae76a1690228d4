/// @file
/// Parsing and checking of chat completion requests.
#pragma once

#include <string>
#include <variant>

#include "adapters/http/http_types.h"
#include "daemon/router/chat_run.h"

namespace workshatch::daemon {

/// Describes why a request is not valid. `detail` names the invalid member or header and is sent to
/// the caller.
struct BadRequest {
  std::string detail;
};

/// Parses the request and checks the members and headers that the router uses.
std::variant<ChatRequest, BadRequest> parseChatRequest(const http::Request& request);

/// @return whether the request resumes a broken stream, which means that a router has run it
/// before.
bool resumesStream(const http::Request& request);

/// Load of a request in tokens: the estimated length of the prompt plus `max_tokens`.
uint64_t tokenCost(const nlohmann::json& body);

/// Name of the session: header `X-Session-Id`, else a fingerprint of the conversation's first
/// messages.
std::string sessionNameOf(const http::Request& request, const nlohmann::json& body);

} // namespace workshatch::daemon
