/// @file
/// The form of requests on their way to runners and to other relays.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http/http_types.h"
#include "daemon/relay/relay_state.h"

namespace workshatch::daemon {

struct RelayRequest;

/// Code of refusals of a relay that has no network path to the runners of a service.
inline constexpr std::string_view kNoPathCode = "no_path";
/// Code of refusals of a relay that has no memory left for the body of the request.
inline constexpr std::string_view kNoMemoryCode = "no_memory";

/// Header values that differ between the attempts of one request.
struct AttemptHeaders {
  std::string runner_id;
  int64_t remaining_ms = 0;
  /// Last event that the caller received; empty if the stream starts from the beginning.
  std::string last_event_id;
  /// Address of the runner from which to copy the prompt prefix; empty if there is none.
  std::string fetch_from;
};

/// What a relay tells another one about a request that it forwards.
struct ForwardOrigin {
  /// Version of the configuration under which the request was admitted. A relay with an older one
  /// refuses it.
  uint64_t configuration_version = 0;
  /// Number of runners that may have run the request.
  uint32_t runs = 0;
  /// Number of runners on which the request may run, those in `runs` included; nullopt (from a
  /// relay of an earlier version): that of its route.
  std::optional<uint32_t> max_runs;
  /// Version at which the stream may go on; empty: it has not begun.
  std::optional<std::string> stream_version;
  /// Addresses of the runners that have received the request.
  std::vector<std::string> sent_to;
};

/// A request on its way to another relay.
struct ForwardedAttempt {
  ForwardOrigin origin;
  int64_t remaining_ms = 0;
  /// As in `AttemptHeaders`.
  std::string last_event_id;
};

/// Whether a response is the refusal of a relay to which a request was forwarded. A refused request
/// has not run there.
enum class PeerRefusal {
  /// It is another response.
  None,
  /// The reason lies in that relay; another one may serve the request.
  ByPeer,
  /// All relays would refuse the request.
  ByService,
};

/// @return the head and body of the HTTP request for a runner.
std::string formatForRunner(const http::Request& request, const RelayRequest& relayed,
                            const RelayState& state, const AttemptHeaders& attempt);

/// @return the head and body of the HTTP request for another relay. It has the caller's key, since
/// that relay checks the key again.
std::string formatForPeer(const http::Request& request, const RelayState& state,
                          const ForwardedAttempt& attempt);

/// What a relay tells, in a response that is a failure, to the relay that forwarded the request.
struct ForwardedRuns {
  /// Number of runners that may have run the request, at both relays.
  uint32_t runs = 0;
  /// Addresses of the runners that have received it.
  std::vector<std::string> sent_to;
};

/// @return what another relay told about the request; nullopt if it is malformed.
std::optional<ForwardOrigin> parseForwardOrigin(const http::Request& request);

/// Tells the relay that forwarded a request which version began the stream.
void setStreamVersion(http::Response& response, const std::string& version);
/// @return the version that the other relay told; nullopt: none.
std::optional<std::string> streamVersionOf(const boost::beast::http::response_header<>& head);

/// Marks the response to a forwarded request as a refusal.
/// @param code code of the problem
/// @param sent_to addresses of the runners that have received the request and declined it
void setPeerRefusal(http::Response& response, const std::string& code,
                    const std::vector<std::string>& sent_to);
PeerRefusal peerRefusalOf(const boost::beast::http::response_header<>& head);
/// Tells the relay that forwarded a request where it may have run.
void setForwardedRuns(http::Response& response, const ForwardedRuns& runs);
/// @return the number of runners that may have run the request; nullopt: the other relay, of an
/// earlier version, does not tell it.
std::optional<uint32_t> runsOf(const boost::beast::http::response_header<>& head);
/// @return the addresses of the runners that have received the request, as the other relay tells in
/// a refusal or a failure.
std::vector<std::string> sentToOf(const boost::beast::http::response_header<>& head);

/// @return whether the header has a meaning between relays only, so that it must not be forwarded
/// from callers or to them.
bool isRelayHeader(std::string_view name);

} // namespace workshatch::daemon
