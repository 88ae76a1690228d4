/// @file
/// Reads the list of runners from the platform.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "adapters/http/http_client.h"
#include "core/backoff.h"
#include "core/result.h"
#include "ports/clock.h"
#include "ports/runner_list_codec.h"

namespace workshatch::daemon {

/// Reads all pages of the list. Lives on one event loop.
class RunnerListReader {
public:
  RunnerListReader(boost::asio::io_context& context, const Clock& clock, std::string address,
                   const RunnerListCodec& codec)
      : client_(context), clock_(clock), address_(std::move(address)), codec_(codec) {}

  /// Asks for nothing while the platform has told when to come back.
  /// @return the whole list without a version, or an error: no answer, too many calls, not a list.
  http::awaitable<Result<v1::RunnerList>> read();

  /// Calls that the last whole reading took; one before the first.
  size_t pages() const { return pages_; }

  /// Entries of the last whole reading that name no runner.
  const RejectedEntries& rejected() const { return rejected_; }

private:
  http::awaitable<Result<RunnerPage>> readPage(std::string page);
  void recordBackoff(const http::ClientResponse& answer);
  void recordRejected(const RejectedEntries& rejected);

  http::Client client_;
  const Clock& clock_;
  /// The platform asked for no calls.
  Backoff backoff_;
  const std::string address_;
  const RunnerListCodec& codec_;
  size_t pages_ = 1;
  RejectedEntries rejected_;
};

} // namespace workshatch::daemon
