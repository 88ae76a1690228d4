/// @file
/// The software version of the runner that began a stream: found for a caller that resumes the
/// stream, and recorded at other relays for one that may.
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/served_versions.h"
#include "core/relay/stream_lifetime.h"
#include "core/relay/stream_resumption.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

namespace {

/// Period in which the record of a stream in progress is stored again, since relays that hold it
/// may have restarted.
constexpr int64_t kRecordPeriodMs = 4000;

} // namespace

/// @return whether the caller has events of the stream from an earlier attempt.
bool ActiveRequest::resumesStream() const {
  const std::string& last_event = state_.dialect.headers().last_event;
  return request_.route->kind == relay::RouteKind::Streaming &&
         (!request_.resumes.empty() || http::fieldOf(exchange_.request(), last_event).has_value());
}

relay::StreamId ActiveRequest::streamId() const {
  return relay::streamIdOf(request_.tenant == nullptr ? "" : request_.tenant->name,
                           request_.resumes.empty() ? request_.id : request_.resumes);
}

/// Finds the version at which the stream may go on that the caller resumes.
http::awaitable<void> ActiveRequest::findOrigin() {
  if (!state_.stream_origins) {
    co_return;
  }
  if (request_.origin && request_.origin->stream_version) {
    stream_version_ = request_.origin->stream_version;
    co_return;
  }
  const bool lease_holds = state_.lease.holds(state_.clock.monotonicMs());
  relay::ResumptionVersion decision =
      relay::decideByServedVersions(state_.runners.servedVersions(), lease_holds, request_.service);
  StreamLookup lookup;
  if (!decision.known() && !request_.resumes.empty()) {
    lookup = co_await state_.stream_origins->lookUp(streamId());
    decision = relay::decideByRecord(lookup.origin, request_.service);
  }
  version_unknown_ = !decision.known();
  others_do_not_know_ = lookup.answers > 0;
  if (decision.known()) {
    stream_version_ = decision.version;
  }
  line_log::write("stream_resumed", {{"request", request_.id},
                                     {"resumes", request_.resumes},
                                     {"service", request_.service},
                                     {"basis", relay::nameOf(decision.basis)},
                                     {"version", decision.version},
                                     {"relays_answered", lookup.answers},
                                     {"served_versions", state_.runners.servedVersions().version()},
                                     {"lease_holds", lease_holds}});
}

/// @return whether callers of this stream may resume it when its version is not the only one that
/// may have begun it. A stream is recorded by the relay that sends it to a runner.
bool ActiveRequest::recordsOrigin() const {
  if (!state_.stream_origins || !at_runner_ || !request_.repeatable()) {
    return false;
  }
  return !relay::soleServedVersion(state_.runners.servedVersions(), request_.service);
}

/// @return whether the origin of the stream is to be recorded before the next event is relayed.
bool ActiveRequest::originRecordDue() const {
  const bool due =
      recorded_ms_ == 0 || state_.clock.monotonicMs() - recorded_ms_ >= kRecordPeriodMs;
  return due && stream_version_ && recordsOrigin();
}

/// Records the version of the runner that began the stream at other relays.
http::awaitable<void> ActiveRequest::recordOrigin() {
  const bool begins = !stream_started_ && !resumesStream();
  recorded_ms_ = state_.clock.monotonicMs();
  relay::StreamOrigin origin{.service = request_.service, .version = *stream_version_};
  const int64_t lifetime_ms = relay::streamLifetimeMs(*request_.route);
  if (begins) {
    co_await state_.stream_origins->record(streamId(), std::move(origin), lifetime_ms);
  } else {
    state_.stream_origins->repeat(streamId(), origin, lifetime_ms);
  }
}

} // namespace workshatch::daemon
