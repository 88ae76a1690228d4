/// @file
/// Parsing and checking of chat completion requests.
#pragma once

#include <string>
#include <variant>

#include "adapters/http/http_types.h"
#include "daemon/router/chat_run.h"

namespace workshatch::daemon {

/// A fault of the caller's, with the member at fault.
struct BadRequest {
  std::string detail;
};

std::variant<ChatRequest, BadRequest> parseChatRequest(const http::Request& request);

/// @return whether the request takes up a stream again that broke off: a router ran it before.
bool resumesStream(const http::Request& request);

/// Load of a request in tokens: the prompt's estimate and the most tokens asked for.
uint64_t tokenCost(const nlohmann::json& body);

/// Name of the session: header `X-Session-Id`, else a fingerprint of the conversation's first
/// messages.
std::string sessionNameOf(const http::Request& request, const nlohmann::json& body);

} // namespace workshatch::daemon
