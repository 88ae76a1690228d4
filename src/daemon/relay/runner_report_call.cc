#include "daemon/relay/runner_report_call.h"

#include <chrono>
#include <string>

namespace workshatch::daemon {

namespace {

/// Limits of the connection and of each wait for a part of the response: a report takes a round
/// trip and no slot.
constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::chrono::milliseconds kReadTimeout{300};
constexpr size_t kMaxReportBytes = size_t{256} * 1024;
constexpr unsigned kOk = 200;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerErrors = 500;

std::string requestText(const RelayDialect& dialect, const relay::Runner& runner) {
  return "GET " + dialect.paths().runner_report + " HTTP/1.1\r\nHost: " + runner.entry.address() +
         "\r\n" + dialect.headers().target_runner + ": " + runner.entry.id() +
         "\r\nConnection: close\r\n\r\n";
}

ReportFailure failureOf(unsigned status) {
  if (status == kMisdirected) {
    return ReportFailure::OtherProcess;
  }
  const bool temporary =
      status == kRequestTimeout || status == kTooManyRequests || status >= kServerErrors;
  return temporary ? ReportFailure::NoResponse : ReportFailure::NotSupported;
}

/// @return the whole body; nullopt if it did not come in time or is too long.
http::awaitable<std::optional<std::string>> readBody(http::RunnerConnection& connection) {
  if (!connection.limitBody(kMaxReportBytes)) {
    co_return std::nullopt;
  }
  std::string body;
  while (true) {
    auto part = co_await connection.read(kReadTimeout);
    const auto* text = std::get_if<std::string>(&part);
    if (text == nullptr) {
      co_return std::nullopt;
    }
    if (text->empty()) {
      co_return body;
    }
    body += *text;
  }
}

} // namespace

http::awaitable<ReportResult>
RunnerReportCall::ask(std::shared_ptr<http::RunnerConnection> connection,
                      const relay::Runner& runner) const {
  const std::string address = runner.entry.address();
  const auto error = co_await dialer_.dial(connection, address, kConnectTimeout);
  if (error) {
    co_return error->refused ? ReportFailure::Refused : ReportFailure::Unreachable;
  }
  connection->send(requestText(dialect_, runner));
  const auto silence = co_await connection->awaitHead(kReadTimeout);
  if (silence) {
    co_return ReportFailure::NoResponse;
  }
  const unsigned status = connection->head().result_int();
  if (status != kOk) {
    co_return failureOf(status);
  }
  const auto body = co_await readBody(*connection);
  if (!body) {
    co_return ReportFailure::NoResponse;
  }
  auto report = dialect_.parseRunnerReport(*body);
  if (!report) {
    co_return ReportFailure::NotSupported;
  }
  co_return std::move(*report);
}

} // namespace workshatch::daemon
