/// @file
/// Port: header names, paths and small text formats of the interface between relays and callers,
/// operators and runners.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/relay/run_report.h"
#include "core/relay/runner_notice.h"
#include "core/result.h"
#include "core/scheduling/request_demand.h"

namespace workshatch {

/// Names of HTTP headers, compared without regard to case.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed by the runner.
  std::string request_id;
  /// The caller's key; never forwarded.
  std::string key;
  /// Name of the tenant that the key belongs to, set for the runner.
  std::string tenant;
  /// Time for which the sender will wait, in milliseconds.
  std::string deadline;
  /// The runner that the request is addressed to; any other runner declines it.
  std::string target_runner;
  /// Priority at a model engine; 0 is the highest.
  std::string priority;
  /// Prefix blocks of the prompt.
  std::string prefix_blocks;
  /// Marks the response of a runner that did not run the request.
  std::string not_run;
  /// Marks a response as a runner's; a success counts only with this header.
  std::string signature;
  /// Running requests, waiting requests and slots of the answering runner.
  std::string load;
  /// ID of the last event that the caller has received.
  std::string last_event;
  /// Request id of the attempt that brought the first event of a stream, sent by a caller that
  /// resumes the stream.
  std::string resumes;
  /// Address of a runner from which the engine fetches cached prefix blocks that it lacks.
  std::string fetch_from;
  /// Headers that runners obey as instructions of the system. They are removed from callers'
  /// requests, including those that this relay never sets itself.
  std::vector<std::string> system_only;
};

/// Paths of the requests that the system answers itself, or makes.
struct CallPaths {
  std::string resolve;
  std::string ready;
  std::string put_configuration;
  std::string get_configuration;
  /// At a runner: its report about its runs.
  std::string runner_report;
};

/// Operator's request that begins or ends the evacuation of a zone.
struct EvacuationCall {
  std::string zone;
  /// False: the request ends the evacuation.
  bool begin = false;
};

/// Operator's request that begins a rollout or asks for its status.
struct RolloutCall {
  /// False: the request asks for the status.
  bool begin = false;
  /// Service whose rollout status is requested; empty when a rollout begins.
  std::string service;
};

/// Parameters of a rollout that an operator begins.
struct RolloutRequest {
  std::string service;
  std::string target_version;
  /// Time until the rollout's deadline, in milliseconds; not zero.
  uint32_t duration_ms = 0;
};

/// Status of a rollout as reported to operators.
enum class RolloutState { Running, Succeeded, RolledBack };

/// One prefix block of a prompt. Blocks are listed in order; the last one belongs to the request or
/// its session alone.
struct PrefixBlock {
  std::string id;
  uint64_t tokens = 0;
};

/// @return the value of the header with this name, or nothing when it is absent.
using HeaderLookup = std::function<std::optional<std::string>(std::string_view name)>;

/// Status and headers of a runner's response.
struct ResponseHead {
  unsigned status = 0;
  HeaderLookup field;
};

/// Names and formats of one external interface. Stateless; safe for concurrent use.
class RelayDialect {
public:
  virtual ~RelayDialect() = default;

  virtual const HeaderNames& headers() const = 0;
  virtual const CallPaths& paths() const = 0;
  /// Parses the path of an operator's request.
  /// @return the request, or nothing when the path is that of another request.
  virtual std::optional<EvacuationCall> parseEvacuationCall(std::string_view path) const = 0;
  /// Parses the path of an operator's request.
  /// @return the request, or nothing when the path is that of another request.
  virtual std::optional<RolloutCall> parseRolloutCall(std::string_view path) const = 0;
  /// Parses the body of a request that begins a rollout.
  /// @return the parameters, or an error that says what is wrong with the body.
  virtual Result<RolloutRequest> parseRolloutRequest(std::string_view body) const = 0;
  /// @return the body of the response to a request for a rollout's status.
  virtual std::string rolloutStatusBody(RolloutState state,
                                        const std::string& target_version) const = 0;
  /// Parses the header with the prefix blocks of a prompt.
  /// @return the blocks; none when the value is malformed.
  virtual std::vector<PrefixBlock> parsePrefixBlocks(std::string_view value) const = 0;
  /// Parses the headers of a caller's request that state its size.
  /// @return the figures; those that are malformed are empty and counted as rejected. Whether a
  /// figure is plausible is not checked.
  virtual relay::StatedDemand parseStatedDemand(const HeaderLookup& field) const = 0;
  /// Parses the headers of a response that describe the runner.
  /// @return an empty notice if the response comes from a runner other than the addressed one.
  virtual relay::RunnerNotice parseRunnerNotice(const ResponseHead& head) const = 0;
  /// Parses the body of a runner's report.
  /// @return the report; nullopt if it is malformed or does not name the runs in progress.
  virtual std::optional<relay::RunnerReport> parseRunnerReport(std::string_view body) const = 0;
  /// @return the body of the response that gives a caller the addresses to use.
  /// @param ttl_s time for which the addresses may be used, in seconds
  virtual std::string addresses(const std::vector<std::string>& addresses,
                                uint32_t ttl_s) const = 0;
  /// Name of the query parameter that holds the host that the caller will send requests to.
  virtual std::string hostParameter() const = 0;
  /// Name of the query parameter that holds the caller's zone.
  virtual std::string zoneParameter() const = 0;
  /// Name of the query parameter that holds the caller's region.
  virtual std::string regionParameter() const = 0;
  /// @return the value of a Retry-After header.
  virtual std::string retryAfter(uint32_t milliseconds) const = 0;
};

} // namespace workshatch
