#include "daemon/relay/request_format.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include <boost/beast/core/string.hpp>

#include "core/header_text.h"
#include "daemon/relay/relay_request.h"

namespace workshatch::daemon {

namespace {

constexpr size_t kHeadBytes = 1024;
/// Headers between relays.
constexpr std::string_view kConfigurationHeader = "Workshatch-Configuration";
constexpr std::string_view kRunsHeader = "Workshatch-Runs";
constexpr std::string_view kMaxRunsHeader = "Workshatch-Max-Runs";
constexpr std::string_view kStreamVersionHeader = "Workshatch-Stream-Version";
constexpr std::string_view kRefusalHeader = "Workshatch-Refusal";
constexpr std::string_view kSentToHeader = "Workshatch-Sent-To";
constexpr char kAddressSeparator = ',';
/// Codes of refusals whose reason lies in the relay that refused; another one may serve the
/// request.
constexpr std::array<std::string_view, 10> kPeerCodes = {
    "stopping",        "no_lease",   "no_configuration",     "older_configuration",
    "all_backing_off", "no_runner",  "no_runner_of_version", "stream_version_unknown",
    kNoPathCode,       kNoMemoryCode};

bool sameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals(boost::beast::string_view(left.data(), left.size()),
                               boost::beast::string_view(right.data(), right.size()));
}

/// @return whether a caller's header must not be forwarded: it concerns one connection only, or the
/// relay or the system sets it.
bool isOwnHeader(std::string_view name, const HeaderNames& names) {
  constexpr std::array<std::string_view, 8> kConnectionHeaders = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "te",         "trailer",    "upgrade",           "expect"};
  const auto same = [name](std::string_view other) { return sameName(name, other); };
  const bool of_connection =
      std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), same) ||
      same("proxy-connection") || same("proxy-authorization");
  return of_connection || isRelayHeader(name) || same(names.key) || same(names.deadline) ||
         std::any_of(names.system_only.begin(), names.system_only.end(), same);
}

/// @return whether the Connection header lists `name`.
bool namedByConnection(const http::Request& request, std::string_view name) {
  const auto connection = request.find(http::Field::connection);
  if (connection == request.end()) {
    return false;
  }
  std::string_view rest = http::viewOf(connection->value());
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    std::string_view token = rest.substr(0, comma);
    const size_t begin = token.find_first_not_of(" \t");
    const size_t end = token.find_last_not_of(" \t");
    if (begin != std::string_view::npos && sameName(token.substr(begin, end - begin + 1), name)) {
      return true;
    }
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  }
  return false;
}

void appendHeader(std::string& out, std::string_view name, std::string_view value) {
  // All headers for runners pass this check, which prevents header injection.
  if (!isHeaderName(name) || !isHeaderValue(value)) {
    return;
  }
  out.append(name).append(": ").append(value).append("\r\n");
}

/// Appends the request line, and the caller's headers that may be forwarded.
void appendCallersPart(std::string& out, const http::Request& request, const HeaderNames& names,
                       const std::string& last_event_id) {
  out.reserve(kHeadBytes + request.body().size());
  out.append(http::viewOf(request.method_string())).append(" ");
  out.append(http::viewOf(request.target())).append(" HTTP/1.1\r\n");
  for (const auto& field : request) {
    const std::string_view name = http::viewOf(field.name_string());
    const bool replaced = sameName(name, names.last_event) && !last_event_id.empty();
    if (!replaced && !isOwnHeader(name, names) && !namedByConnection(request, name)) {
      appendHeader(out, name, http::viewOf(field.value()));
    }
  }
  if (!last_event_id.empty()) {
    appendHeader(out, names.last_event, last_event_id);
  }
}

void appendDeadline(std::string& out, const HeaderNames& names, int64_t remaining_ms) {
  appendHeader(out, names.deadline, std::to_string(std::max<int64_t>(remaining_ms, 1)));
}

/// Appends the end of the head, and the body.
void appendBody(std::string& out, const http::Request& request) {
  const bool has_body = !request.body().empty() || request.has_content_length() ||
                        request.chunked() || request.method() == http::Verb::post;
  if (has_body) {
    appendHeader(out, "Content-Length", std::to_string(request.body().size()));
  }
  out.append("\r\n").append(request.body());
}

/// @return the number in a header; nullopt if it is missing or malformed.
template <typename Number, typename Head>
std::optional<Number> numberIn(const Head& head, std::string_view name) {
  const auto text = http::fieldOf(head, name);
  Number number = 0;
  if (!text) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

std::string joinAddresses(const std::vector<std::string>& addresses) {
  std::string joined;
  for (const std::string& address : addresses) {
    joined.append(joined.empty() ? "" : std::string(1, kAddressSeparator)).append(address);
  }
  return joined;
}

/// @return the addresses in a header value; none if there is no header.
std::vector<std::string> addressesIn(const std::optional<std::string>& value) {
  std::vector<std::string> addresses;
  std::istringstream rest(value.value_or(""));
  for (std::string address; std::getline(rest, address, kAddressSeparator);) {
    addresses.push_back(address);
  }
  return addresses;
}

void setSentTo(http::Response& response, const std::vector<std::string>& sent_to) {
  if (!sent_to.empty()) {
    http::setHeader(response, kSentToHeader, joinAddresses(sent_to));
  }
}

} // namespace

std::string formatForRunner(const http::Request& request, const RelayRequest& relayed,
                            const RelayState& state, const AttemptHeaders& attempt) {
  const HeaderNames& names = state.dialect.headers();
  std::string out;
  appendCallersPart(out, request, names, attempt.last_event_id);
  appendDeadline(out, names, attempt.remaining_ms);
  appendHeader(out, names.target_runner, attempt.runner_id);
  appendHeader(out, names.priority, std::to_string(relayed.rank.priority));
  if (relayed.tenant != nullptr) {
    appendHeader(out, names.tenant, relayed.tenant->name);
  }
  if (!attempt.fetch_from.empty()) {
    appendHeader(out, names.fetch_from, attempt.fetch_from);
  }
  appendBody(out, request);
  return out;
}

std::string formatForPeer(const http::Request& request, const RelayState& state,
                          const ForwardedAttempt& attempt) {
  const HeaderNames& names = state.dialect.headers();
  std::string out;
  appendCallersPart(out, request, names, attempt.last_event_id);
  appendDeadline(out, names, attempt.remaining_ms);
  appendHeader(out, names.key, http::fieldOf(request, names.key).value_or(""));
  appendHeader(out, kConfigurationHeader, std::to_string(attempt.origin.configuration_version));
  appendHeader(out, kRunsHeader, std::to_string(attempt.origin.runs));
  if (attempt.origin.max_runs) {
    appendHeader(out, kMaxRunsHeader, std::to_string(*attempt.origin.max_runs));
  }
  if (attempt.origin.stream_version) {
    appendHeader(out, kStreamVersionHeader, *attempt.origin.stream_version);
  }
  if (!attempt.origin.sent_to.empty()) {
    appendHeader(out, kSentToHeader, joinAddresses(attempt.origin.sent_to));
  }
  appendBody(out, request);
  return out;
}

std::optional<ForwardOrigin> parseForwardOrigin(const http::Request& request) {
  const auto version = numberIn<uint64_t>(request, kConfigurationHeader);
  const auto runs = numberIn<uint32_t>(request, kRunsHeader);
  const auto max_runs = numberIn<uint32_t>(request, kMaxRunsHeader);
  const bool limited = http::fieldOf(request, kMaxRunsHeader).has_value();
  if (!version || !runs || (limited && max_runs.value_or(0) <= *runs)) {
    return std::nullopt;
  }
  return ForwardOrigin{.configuration_version = *version,
                       .runs = *runs,
                       .max_runs = max_runs,
                       .stream_version = http::fieldOf(request, kStreamVersionHeader),
                       .sent_to = addressesIn(http::fieldOf(request, kSentToHeader))};
}

void setStreamVersion(http::Response& response, const std::string& version) {
  http::setHeader(response, kStreamVersionHeader, version);
}

std::optional<std::string> streamVersionOf(const boost::beast::http::response_header<>& head) {
  return http::fieldOf(head, kStreamVersionHeader);
}

void setPeerRefusal(http::Response& response, const std::string& code,
                    const std::vector<std::string>& sent_to) {
  http::setHeader(response, kRefusalHeader, code);
  setSentTo(response, sent_to);
}

void setForwardedRuns(http::Response& response, const ForwardedRuns& runs) {
  http::setHeader(response, kRunsHeader, std::to_string(runs.runs));
  setSentTo(response, runs.sent_to);
}

std::optional<uint32_t> runsOf(const boost::beast::http::response_header<>& head) {
  return numberIn<uint32_t>(head, kRunsHeader);
}

std::vector<std::string> sentToOf(const boost::beast::http::response_header<>& head) {
  return addressesIn(http::fieldOf(head, kSentToHeader));
}

PeerRefusal peerRefusalOf(const boost::beast::http::response_header<>& head) {
  const auto code = http::fieldOf(head, kRefusalHeader);
  if (!code) {
    return PeerRefusal::None;
  }
  const bool of_peer = std::find(kPeerCodes.begin(), kPeerCodes.end(), *code) != kPeerCodes.end();
  return of_peer ? PeerRefusal::ByPeer : PeerRefusal::ByService;
}

bool isRelayHeader(std::string_view name) {
  return sameName(name, kConfigurationHeader) || sameName(name, kRunsHeader) ||
         sameName(name, kMaxRunsHeader) || sameName(name, kRefusalHeader) ||
         sameName(name, kStreamVersionHeader) || sameName(name, kSentToHeader);
}

} // namespace workshatch::daemon
