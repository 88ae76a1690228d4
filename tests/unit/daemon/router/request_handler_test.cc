/// @file
/// Tests of the execution state that the request handler reports for requests that it refuses.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/system_clock.h"
#include "daemon/router/request_handler.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;

constexpr uint64_t kIncarnation = 7;
constexpr uint32_t kPermitTimeoutMs = 50;
constexpr size_t kMaxBodyBytes = 65536;

v1::Settings settingsOfRouter() {
  v1::Settings settings;
  settings.set_name("entry-1");
  settings.set_zone("a");
  return settings;
}

/// A router's request handler behind an HTTP server. It has no lease, like a router that has just
/// started.
class RouterWithoutLease {
public:
  RouterWithoutLease()
      : server_(
            workers_, http::ServerLimits{},
            [this](http::Exchange& exchange) { return handler_.handle(exchange); },
            [this](http::Status status, const std::string& reason) {
              return handler_.makeRefusal(status, reason);
            }) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~RouterWithoutLease() { workers_.stop(); }
  RouterWithoutLease(const RouterWithoutLease&) = delete;
  RouterWithoutLease& operator=(const RouterWithoutLease&) = delete;

  /// Sends the request.
  /// @return the header `X-Execution` of the response.
  std::string executionHeaderFor(http::Request request) const {
    asio::io_context context;
    http::Client client(context, clock_);
    std::string execution;
    asio::co_spawn(
        context,
        [&]() -> http::awaitable<void> {
          http::CallResult result = co_await client.call(address_, std::move(request), {});
          auto& response = *std::get<std::unique_ptr<http::ClientResponse>>(result);
          execution = response.header("X-Execution").value_or("missing");
          co_await response.readAll(kMaxBodyBytes);
        },
        asio::detached);
    context.run();
    return execution;
  }

private:
  const v1::Settings settings_ = settingsOfRouter();
  SystemClock clock_;
  WorkerPool workers_{1};
  const AddressOverrides addresses_{settings_};
  metrics::RouterStats stats_;
  daemon::RouterTables tables_{settings_.name(), clock_, routing::HoldDownOptions{}};
  datagram::PeerSocket socket_{workers_.context(0), "key", addresses_, settings_.name(),
                               kIncarnation};
  daemon::PermitClient permits_{settings_.name(), kIncarnation, tables_,         socket_,
                                clock_,           stats_,       kPermitTimeoutMs};
  daemon::EngineSelector selector_{tables_, permits_, clock_, stats_};
  rpc::ControlClient control_{{"127.0.0.1:1"}, "key", addresses_};
  daemon::RequestHandler handler_{
      daemon::RequestHandler::Dependencies{.settings = settings_,
                                           .incarnation = kIncarnation,
                                           .tables = tables_,
                                           .permits = permits_,
                                           .selector = selector_,
                                           .control = control_,
                                           .stats = stats_,
                                           .clock = clock_,
                                           .workers = workers_,
                                           .network_metrics = [] { return std::string(); }}};
  http::Server server_;
  std::string address_;
};

http::Request chatRequest() {
  http::Request request(http::Verb::post, "/v1/chat/completions", 11);
  request.set("X-Request-Id", "flood-312");
  request.set("X-Tenant", "acampar");
  request.body() = R"({"model":"assistant","messages":[{"role":"user","content":"hello"}]})";
  return request;
}

} // namespace

TEST_CASE("Without a lease, a request that resumes a stream is refused with execution unknown") {
  const RouterWithoutLease router;
  CHECK(router.executionHeaderFor(chatRequest()) == "not-run");

  http::Request resumed = chatRequest();
  resumed.set("Last-Event-ID", "assistant-1/0:3");
  CHECK(router.executionHeaderFor(std::move(resumed)) == "unknown");
}

} // namespace workshatch::test
