/// @file
/// The software version of the runner that began a stream: found for a caller that resumes the
/// stream, and recorded at other relays for one that may.
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/stream_resumption.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

namespace {

/// Time within which a caller whose stream broke off resumes it.
constexpr int64_t kResumeWithinMs = 10'000;
/// Period in which the record of a stream in progress is stored again, since relays that hold it
/// may have restarted.
constexpr int64_t kRecordPeriodMs = 4000;

/// @return the time for which a record is valid, and within which a stream that is resumed began or
/// was last recorded.
int64_t recordLifetimeMs(const relay::Route& route) { return route.timeout_ms + kResumeWithinMs; }

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
  const int64_t window_ms = recordLifetimeMs(*request_.route);
  StreamLookup lookup;
  if (!request_.resumes.empty()) {
    StreamQuery query{.stream = streamId(), .service = request_.service, .window_ms = window_ms};
    lookup = co_await state_.stream_origins->lookUp(std::move(query));
  }
  const int64_t now_ms = state_.clock.monotonicMs();
  const relay::VersionMix* versions = state_.runners.versionsOf(request_.service);
  const relay::ResumptionVersion decision = relay::decideResumption(relay::ResumptionEvidence{
      .service = request_.service,
      .record = lookup.origin,
      .mixed_now = versions != nullptr && versions->isMixed(),
      .mixed_recently = versions != nullptr && versions->wasMixedWithin(window_ms, now_ms),
      .sole_version = versions == nullptr ? std::nullopt : versions->soleVersion(),
      .list_is_fresh = state_.lease.isFresh(now_ms),
      .others_answered = lookup.answers > 0,
      .mixed_by_others = lookup.versions_mixed,
      .others_complete = lookup.complete});
  version_unknown_ = !decision.known;
  others_do_not_know_ = lookup.answers > 0;
  stream_version_ = decision.version;
  line_log::write("stream_resumed",
                  {{"request", request_.id},
                   {"resumes", request_.resumes},
                   {"service", request_.service},
                   {"known", decision.known},
                   {"version", decision.version.value_or("")},
                   {"recorded", lookup.origin.has_value()},
                   {"relays_answered", lookup.answers},
                   {"relays_complete", lookup.complete},
                   {"mixed", lookup.versions_mixed || (versions != nullptr && versions->isMixed())},
                   {"up_ms", now_ms - state_.started_ms}});
}

/// @return whether callers of this stream may resume it while runners of several versions serve. A
/// stream is recorded by the relay that sends it to a runner.
bool ActiveRequest::recordsOrigin() const {
  if (!state_.stream_origins || !at_runner_ || !request_.repeatable()) {
    return false;
  }
  const relay::VersionMix* versions = state_.runners.versionsOf(request_.service);
  return versions != nullptr &&
         versions->wasMixedWithin(recordLifetimeMs(*request_.route), state_.clock.monotonicMs());
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
  const int64_t lifetime_ms = recordLifetimeMs(*request_.route);
  if (begins) {
    co_await state_.stream_origins->record(streamId(), std::move(origin), lifetime_ms);
  } else {
    state_.stream_origins->repeat(streamId(), origin, lifetime_ms);
  }
}

} // namespace workshatch::daemon
