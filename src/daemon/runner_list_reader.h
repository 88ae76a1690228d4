/// @file
/// Reads the list of runners from the platform's HTTP interface, page by page.
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

/// Reads the list of runners and observes the backoffs that the platform requests. Lives on one
/// event loop; not safe for concurrent use.
class RunnerListReader {
public:
  RunnerListReader(boost::asio::io_context& context, const Clock& clock, std::string address,
                   const RunnerListCodec& codec)
      : client_(context, clock), clock_(clock), address_(std::move(address)), codec_(codec) {}

  /// Reads all pages. Makes no call during a backoff that the platform requested.
  /// @return the complete list, without a version. An error if a backoff is in effect, a call
  /// fails, a page can't be decoded, or there are too many or too large pages.
  http::awaitable<Result<v1::RunnerList>> read();

  /// Number of calls that the last complete read needed; 1 before the first one.
  size_t pages() const { return pages_; }

  /// Entries that the last complete read ignored because they describe no valid runner.
  const RejectedEntries& rejected() const { return rejected_; }

private:
  http::awaitable<Result<RunnerPage>> readPage(std::string page);
  void recordBackoff(const http::ClientResponse& answer);
  void recordRejected(const RejectedEntries& rejected);

  http::Client client_;
  const Clock& clock_;
  /// The last backoff that the platform requested.
  Backoff backoff_;
  const std::string address_;
  const RunnerListCodec& codec_;
  size_t pages_ = 1;
  RejectedEntries rejected_;
};

} // namespace workshatch::daemon
