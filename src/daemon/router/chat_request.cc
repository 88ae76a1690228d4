#include "daemon/router/chat_request.h"

#include <charconv>
#include <sstream>

#include "core/routing/rendezvous.h"

namespace workshatch::daemon {

using nlohmann::json;

namespace {

constexpr uint64_t kCharactersPerToken = 4;
constexpr uint64_t kDefaultMaxTokens = 64;
constexpr uint64_t kMaxTokens = 1'000'000;
/// Number of messages from which a session name is derived: the instructions and the first
/// question.
constexpr size_t kOpeningMessages = 2;
constexpr const char* kLastEventIdHeader = "Last-Event-ID";

BadRequest badRequest(const std::string& detail) { return BadRequest{.detail = detail}; }

std::variant<ChatRequest, BadRequest> parseLastEventId(const http::Request& request,
                                                       ChatRequest chat) {
  const auto last_event = http::fieldOf(request, kLastEventIdHeader);
  if (!last_event) {
    return chat;
  }
  const size_t colon = last_event->rfind(':');
  const std::string number = last_event->substr(colon == std::string::npos ? 0 : colon + 1);
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), chat.events_received);
  if (parsed.ec != std::errc() || parsed.ptr != number.data() + number.size()) {
    return badRequest("header Last-Event-ID: expected \"engine:number\" as in the events received");
  }
  if (!http::fieldOf(request, "X-Request-Id")) {
    return badRequest(
        "header X-Request-Id: expected, with Last-Event-ID, the id of the first request");
  }
  chat.resume_engine = colon == std::string::npos ? "" : last_event->substr(0, colon);
  return chat;
}

} // namespace

std::variant<ChatRequest, BadRequest> parseChatRequest(const http::Request& request) {
  ChatRequest chat;
  chat.body = json::parse(request.body(), nullptr, false);
  if (!chat.body.is_object()) {
    return badRequest("body: expected a JSON object");
  }
  const auto model = chat.body.find("model");
  if (model == chat.body.end() || !model->is_string() || model->get<std::string>().empty()) {
    return badRequest("/model: expected the name of a service, as a string");
  }
  const auto messages = chat.body.find("messages");
  if (messages == chat.body.end() || !messages->is_array() || messages->empty()) {
    return badRequest("/messages: expected an array with at least one message");
  }
  for (size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() && message.contains("content") &&
                       message["content"].is_string();
    if (!valid) {
      return badRequest("/messages/" + std::to_string(i) +
                        ": expected \"role\" and \"content\", strings");
    }
  }
  const auto stream = chat.body.find("stream");
  if (stream != chat.body.end() && !stream->is_boolean()) {
    return badRequest("/stream: expected true or false");
  }
  const auto max_tokens = chat.body.find("max_tokens");
  if (max_tokens != chat.body.end() &&
      (!max_tokens->is_number_unsigned() || max_tokens->get<uint64_t>() == 0 ||
       max_tokens->get<uint64_t>() > kMaxTokens)) {
    return badRequest("/max_tokens: expected a whole number from 1 to 1000000");
  }
  chat.stream = stream != chat.body.end() && stream->get<bool>();
  chat.session_name = sessionNameOf(request, chat.body);
  return parseLastEventId(request, std::move(chat));
}

bool resumesStream(const http::Request& request) {
  return http::fieldOf(request, kLastEventIdHeader).has_value();
}

uint64_t tokenCost(const json& body) {
  uint64_t characters = 0;
  for (const json& message : body.at("messages")) {
    characters += message.at("content").get_ref<const std::string&>().size();
  }
  return characters / kCharactersPerToken + body.value("max_tokens", kDefaultMaxTokens);
}

std::string sessionNameOf(const http::Request& request, const json& body) {
  if (const auto header = http::fieldOf(request, "X-Session-Id")) {
    return *header;
  }
  std::string opening;
  const json& messages = body.at("messages");
  for (size_t i = 0; i < std::min(messages.size(), kOpeningMessages); ++i) {
    opening += messages[i].at("content").get_ref<const std::string&>() + "\n";
  }
  // The name becomes a header of the request to the engine. It must not contain text of the caller,
  // which could inject headers.
  std::ostringstream name;
  name << "opening-" << std::hex << routing::fingerprintOf(opening);
  return name.str();
}

} // namespace workshatch::daemon
