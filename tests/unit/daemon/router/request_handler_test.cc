/// @file
/// Tests of the execution state that the request handler reports for requests that it refuses, and
/// of the limit of a tenant's requests in progress.
#include <optional>
#include <string>

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
constexpr uint32_t kLeaseMs = 60'000;

v1::Settings settingsOfRouter() {
  v1::Settings settings;
  settings.set_name("entry-1");
  settings.set_zone("a");
  settings.mutable_router()->set_deadline_ms(kLeaseMs);
  return settings;
}

/// A model runner whose events have a number as their JSON member `id` instead of a string, which
/// makes the handler throw.
class UnexpectedRunner {
public:
  UnexpectedRunner() : server_(workers_, http::ServerLimits{}, &answer, &refuse) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~UnexpectedRunner() { workers_.stop(); }
  UnexpectedRunner(const UnexpectedRunner&) = delete;
  UnexpectedRunner& operator=(const UnexpectedRunner&) = delete;

  const std::string& address() const { return address_; }

private:
  static http::awaitable<void> answer(http::Exchange& exchange) {
    const std::string events = "id: 1\ndata: {\"id\":7}\n\n";
    http::Response response = http::makeResponse(http::Status::ok, "text/event-stream", events);
    co_await exchange.respond(std::move(response));
  }
  static http::Response refuse(http::Status status, const std::string&) {
    return http::makeResponse(status, "text/plain", "");
  }

  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

/// A router's request handler behind an HTTP server. It has no lease until `serveTenant`, like a
/// router that has just started.
class TestRouter {
public:
  TestRouter()
      : server_(
            workers_, http::ServerLimits{},
            [this](http::Exchange& exchange) { return handler_.handle(exchange); },
            [this](http::Status status, const std::string& reason) {
              return handler_.makeRefusal(status, reason);
            }) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~TestRouter() { workers_.stop(); }
  TestRouter(const TestRouter&) = delete;
  TestRouter& operator=(const TestRouter&) = delete;

  /// Sends the request.
  /// @return the header `X-Execution` of the response.
  std::string executionHeaderFor(http::Request request) const {
    std::string execution;
    send(std::move(request), [&execution](http::CallResult& result) {
      auto& response = *std::get<std::unique_ptr<http::ClientResponse>>(result);
      execution = response.header("X-Execution").value_or("missing");
    });
    return execution;
  }

  /// Serves one tenant, which may have one request in progress, with one runner.
  void serveTenant(const std::string& tenant, const std::string& runner_address) {
    v1::RenewReply lease;
    lease.set_lease_ms(kLeaseMs);
    lease.set_revision(1);
    v1::Tenant* limited = lease.mutable_configuration()->add_tenants();
    limited->set_name(tenant);
    limited->set_max_in_flight(1);
    v1::Service* service = lease.mutable_configuration()->add_services();
    service->set_name("assistant");
    service->set_kind("model");
    service->set_load_unit("requests");
    service->set_cap_factor(1.25);
    service->set_aim_factor(1.1);
    lease.set_view_number(1);
    lease.set_settled_view(1);
    lease.mutable_view()->set_number(1);
    v1::RouterEntry* self = lease.mutable_view()->add_routers();
    self->set_name(settings_.name());
    self->set_incarnation(kIncarnation);
    self->set_zone(settings_.zone());
    self->set_state(v1::ROUTER_ACTIVE);
    REQUIRE(tables_.applyRenewal(lease, clock_.monotonicMs()));
    handler_.configure(lease.configuration());
    tables_.setListed({routing::ListedRunner{.runner = "assistant-1",
                                             .address = runner_address,
                                             .service = "assistant",
                                             .zone = settings_.zone()}});
  }

  /// Sends the request. @return the status of the response; nothing if the connection broke off.
  std::optional<http::Status> statusFor(http::Request request) const {
    std::optional<http::Status> status;
    send(std::move(request), [&status](http::CallResult& result) {
      if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
        status = (*response)->status();
      }
    });
    return status;
  }

private:
  /// Sends the request, calls `inspect` with the result and reads the response, if there is one, to
  /// its end.
  template <typename Inspect> void send(http::Request request, Inspect inspect) const {
    asio::io_context context;
    http::Client client(context, clock_);
    asio::co_spawn(
        context,
        [&]() -> http::awaitable<void> {
          http::CallResult result = co_await client.call(address_, std::move(request), {});
          inspect(result);
          if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
            co_await (*response)->readAll(kMaxBodyBytes);
          }
        },
        asio::detached);
    context.run();
  }

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
  const TestRouter router;
  CHECK(router.executionHeaderFor(chatRequest()) == "not-run");

  http::Request resumed = chatRequest();
  resumed.set("Last-Event-ID", "assistant-1/0:3");
  CHECK(router.executionHeaderFor(std::move(resumed)) == "unknown");
}

// Guards against a tenant that is refused for good because a request whose handler threw still
// counts as in progress.
TEST_CASE("A request whose handler throws does not count as in progress any more") {
  const UnexpectedRunner runner;
  TestRouter router;
  router.serveTenant("acampar", runner.address());
  CHECK(router.statusFor(chatRequest()) == std::nullopt);
  CHECK(router.statusFor(chatRequest()) != http::Status::too_many_requests);
}

} // namespace workshatch::test
