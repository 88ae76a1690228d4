/// @file
/// Port: the names and small formats that callers, operators and runners use around a request.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/relay/runner_notice.h"
#include "core/result.h"

namespace workshatch {

/// Names of headers, lower or upper case alike.
struct HeaderNames {
  /// Identity of one attempt of a caller, echoed by the runner.
  std::string request_id;
  /// The caller's key; never passed on.
  std::string key;
  /// Name of the key's tenant, set for the runner.
  std::string tenant;
  /// Milliseconds that the sender will wait.
  std::string deadline;
  /// The runner that is meant; any other declines.
  std::string target_runner;
  /// Urgency at a model engine, 0 the most urgent.
  std::string priority;
  /// Parts of the prompt.
  std::string prefix_blocks;
  /// Marks the answer of a runner that did not run the request.
  std::string not_run;
  /// Marks the answer of a runner; a success counts only with it.
  std::string signature;
  /// Requests running, waiting, and slots of the answering runner.
  std::string load;
  /// Id of the last event that the caller has.
  std::string last_event;
  /// Address of a runner from which the engine takes cached parts that it lacks itself.
  std::string fetch_from;
  /// Headers that runners obey as orders of the system; those that a caller sends are dropped, also
  /// where this relay sets none of them itself.
  std::vector<std::string> system_only;
};

/// Paths of the calls that the system answers itself.
struct CallPaths {
  std::string resolve;
  std::string ready;
  std::string put_configuration;
  std::string get_configuration;
};

/// An operator's call that begins or ends the evacuation of a zone.
struct EvacuationCall {
  std::string zone;
  /// False: the evacuation ends.
  bool begin = false;
};

/// An operator's call that begins a rollout, or asks how far one is.
struct RolloutCall {
  /// False: it asks.
  bool begin = false;
  /// Of the rollout that is asked for; empty when one begins.
  std::string service;
};

/// What the operator wants of a rollout that begins.
struct RolloutRequest {
  std::string service;
  std::string target_version;
  /// Until its deadline, milliseconds; not zero.
  uint32_t duration_ms = 0;
};

/// How far a rollout is, as operators see it.
enum class RolloutState { Running, Succeeded, RolledBack };

/// A part of a prompt, in order; the last belongs to the request or its session.
struct PrefixBlock {
  std::string id;
  uint64_t tokens = 0;
};

/// The head of a runner's answer.
struct ResponseHead {
  unsigned status = 0;
  /// @return the value of the header with this name; nothing: it has none.
  std::function<std::optional<std::string>(std::string_view name)> field;
};

/// Names and formats of one outside interface. Stateless; safe for concurrent use.
class RelayDialect {
public:
  virtual ~RelayDialect() = default;

  virtual const HeaderNames& headers() const = 0;
  virtual const CallPaths& paths() const = 0;
  /// @return the call that a path stands for; nothing: the path is of another call.
  virtual std::optional<EvacuationCall> parseEvacuationCall(std::string_view path) const = 0;
  virtual std::optional<RolloutCall> parseRolloutCall(std::string_view path) const = 0;
  /// @return what the body of a call that begins a rollout says, or what is wrong with it.
  virtual Result<RolloutRequest> parseRolloutRequest(std::string_view body) const = 0;
  /// @return the body of the answer to how far a rollout is.
  virtual std::string rolloutStatusBody(RolloutState state,
                                        const std::string& target_version) const = 0;
  /// @return the parts, or nothing when the value can't be read.
  virtual std::vector<PrefixBlock> parsePrefixBlocks(std::string_view value) const = 0;
  /// @return what an answer says of its runner; of an answer of another runner than the one that
  /// was meant, nothing.
  virtual relay::RunnerNotice parseRunnerNotice(const ResponseHead& head) const = 0;
  /// Body of the answer that tells a caller where to go.
  virtual std::string addresses(const std::vector<std::string>& addresses,
                                uint32_t ttl_s) const = 0;
  /// Name of the query parameter that holds the caller's zone.
  virtual std::string zoneParameter() const = 0;
  /// Name of the query parameter that holds the caller's region.
  virtual std::string regionParameter() const = 0;
  /// Value of Retry-After.
  virtual std::string retryAfter(uint32_t milliseconds) const = 0;
};

} // namespace workshatch
