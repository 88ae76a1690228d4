/// @file
/// Tests of the parsing of chat requests and of the methods allowed on the router's own paths.
#include <doctest/doctest.h>

#include "core/header_text.h"
#include "daemon/router/allowed_methods.h"
#include "daemon/router/chat_request.h"

namespace workshatch::test {

TEST_CASE("The session of a chat without session header is a fingerprint of its first messages") {
  http::Request request(http::Verb::post, "/v1/chat/completions", 11);
  request.body() = R"({"model":"m","messages":[{"role":"user",)"
                   R"("content":"hello\r\n\r\nGET /smuggled HTTP/1.1\r\n"}]})";
  const auto parsed = daemon::parseChatRequest(request);
  const auto* chat = std::get_if<daemon::ChatRequest>(&parsed);
  REQUIRE(chat != nullptr);
  CHECK(isHeaderValue(chat->session_name));
  CHECK(chat->session_name.find("smuggled") == std::string::npos);

  const auto again = daemon::parseChatRequest(request);
  CHECK(std::get<daemon::ChatRequest>(again).session_name == chat->session_name);
}

TEST_CASE("The router's own paths allow only GET") {
  CHECK(daemon::allowedMethods("/v1/endpoints") == "GET");
  CHECK(daemon::methodAllowed("GET", http::Verb::get));
  CHECK_FALSE(daemon::methodAllowed("GET", http::Verb::delete_));
  CHECK(daemon::allowedMethods("/v1/services/booking/x").empty());
}

} // namespace workshatch::test
