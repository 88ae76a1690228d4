#include "daemon/runner_list_reader.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>

#include "adapters/logging/line_log.h"
#include "core/relay/runner_entry.h"

namespace workshatch::daemon {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::chrono::milliseconds kReadTimeout{700};
constexpr size_t kMaxPageBytes = size_t{4} * 1024 * 1024;
constexpr size_t kMaxPages = 1000;
/// Limit on the decoded entries of all pages.
constexpr size_t kMaxListBytes = size_t{16} * 1024 * 1024;
/// Bounds a requested backoff, so that a wrong value can't leave the fleet without a list for long.
constexpr uint32_t kMaxBackoffMs = 30'000;

} // namespace

http::awaitable<Result<RunnerPage>> RunnerListReader::readPage(std::string page) {
  http::Request request(http::Verb::get, codec_.target(page), 11);
  const http::CallOptions options{.connect_timeout = kConnectTimeout, .read_timeout = kReadTimeout};
  http::CallResult called = co_await client_.call(address_, std::move(request), options);
  if (const auto* error = std::get_if<http::CallError>(&called)) {
    co_return Error{error->message};
  }
  auto answer = std::move(std::get<std::unique_ptr<http::ClientResponse>>(called));
  auto body = co_await answer->readAll(kMaxPageBytes);
  if (const auto* error = std::get_if<http::CallError>(&body)) {
    co_return Error{error->message};
  }
  recordBackoff(*answer);
  if (answer->status() != http::Status::ok) {
    co_return Error{"status " + std::to_string(static_cast<unsigned>(answer->status()))};
  }
  co_return codec_.decode(std::get<std::string>(body));
}

/// Starts a backoff if the response requests one.
void RunnerListReader::recordBackoff(const http::ClientResponse& answer) {
  const auto asked_ms = http::requestedBackoffMs(answer);
  if (!asked_ms) {
    return;
  }
  line_log::write("runner_list_backoff",
                  {{"status", static_cast<unsigned>(answer.status())}, {"asked_ms", *asked_ms}});
  backoff_.extend(std::min(*asked_ms, kMaxBackoffMs), clock_.monotonicMs());
}

/// Logs the numbers of rejected entries if they differ from those of the previous read.
void RunnerListReader::recordRejected(const RejectedEntries& rejected) {
  if (rejected == rejected_) {
    return;
  }
  rejected_ = rejected;
  line_log::write("runner_entries_rejected", {{"unreadable", rejected.unreadable},
                                              {"other_type", rejected.other_type},
                                              {"field", rejected.field},
                                              {"state", rejected.state},
                                              {"duplicate", rejected.duplicate}});
}

http::awaitable<Result<v1::RunnerList>> RunnerListReader::read() {
  v1::RunnerList list;
  RejectedEntries rejected;
  std::string page;
  size_t list_bytes = 0;
  if (backoff_.isActive(clock_.monotonicMs())) {
    co_return Error{"the backoff that the platform requested is still in effect"};
  }
  for (size_t pages = 1; pages <= kMaxPages; ++pages) {
    Result<RunnerPage> read = co_await readPage(page);
    if (isError(read)) {
      co_return errorOf(read);
    }
    RunnerPage& decoded = std::get<RunnerPage>(read);
    list_bytes += decoded.runners.ByteSizeLong();
    if (list_bytes > kMaxListBytes) {
      co_return Error{"the list is too large"};
    }
    list.mutable_runners()->MergeFrom(decoded.runners.runners());
    rejected += decoded.rejected;
    page = decoded.next_page;
    if (page.empty()) {
      pages_ = pages;
      rejected.duplicate += relay::dropDuplicates(list);
      recordRejected(rejected);
      co_return list;
    }
  }
  co_return Error{"the list has too many pages"};
}

} // namespace workshatch::daemon
