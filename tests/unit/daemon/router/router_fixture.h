/// @file
/// Fixture that runs the request handling of one router on loopback.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/system_clock.h"
#include "daemon/router/request_handler.h"

namespace workshatch::test {

inline constexpr uint64_t kRouterIncarnation = 7;
inline constexpr uint32_t kRouterPermitTimeoutMs = 50;
inline constexpr size_t kMaxRouterBodyBytes = 65536;
inline constexpr uint32_t kRouterLeaseMs = 60'000;

inline v1::Settings settingsOfRouter() {
  v1::Settings settings;
  settings.set_name("entry-1");
  settings.set_zone("a");
  settings.mutable_router()->set_deadline_ms(kRouterLeaseMs);
  return settings;
}

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
  /// @param kind of the only service
  void serveTenant(const std::string& tenant, const std::string& runner_address,
                   const std::string& kind = "model") {
    v1::RenewReply lease;
    lease.set_lease_ms(kRouterLeaseMs);
    lease.set_revision(1);
    v1::Tenant* limited = lease.mutable_configuration()->add_tenants();
    limited->set_name(tenant);
    limited->set_max_in_flight(1);
    v1::Service* service = lease.mutable_configuration()->add_services();
    service->set_name("assistant");
    service->set_kind(kind);
    service->set_load_unit("requests");
    service->set_cap_factor(1.25);
    service->set_aim_factor(1.1);
    lease.set_view_number(1);
    lease.set_settled_view(1);
    lease.mutable_view()->set_number(1);
    v1::RouterEntry* self = lease.mutable_view()->add_routers();
    self->set_name(settings_.name());
    self->set_incarnation(kRouterIncarnation);
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

  /// A complete response.
  struct Answer {
    http::Status status{};
    std::string body;
  };

  /// Sends the request. @return the response; nothing if the connection broke off within it.
  std::optional<Answer> answerTo(http::Request request) const {
    std::optional<http::Status> status;
    const auto body = send(std::move(request), [&status](http::CallResult& result) {
      if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
        status = (*response)->status();
      }
    });
    return status && body ? std::optional(Answer{.status = *status, .body = *body}) : std::nullopt;
  }

private:
  /// Sends the request, calls `inspect` with the result and reads the response, if there is one, to
  /// its end.
  /// @return the body of the response; nothing if it is not complete.
  template <typename Inspect>
  std::optional<std::string> send(http::Request request, Inspect inspect) const {
    std::optional<std::string> body;
    boost::asio::io_context context;
    http::Client client(context, clock_);
    boost::asio::co_spawn(
        context,
        [&]() -> http::awaitable<void> {
          http::CallResult result = co_await client.call(address_, std::move(request), {});
          inspect(result);
          if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
            auto rest = co_await (*response)->readAll(kMaxRouterBodyBytes);
            if (auto* text = std::get_if<std::string>(&rest)) {
              body = std::move(*text);
            }
          }
        },
        boost::asio::detached);
    context.run();
    return body;
  }

  const v1::Settings settings_ = settingsOfRouter();
  SystemClock clock_;
  WorkerPool workers_{1};
  const AddressOverrides addresses_{settings_};
  metrics::RouterStats stats_;
  daemon::RouterTables tables_{settings_.name(), clock_, routing::HoldDownOptions{}};
  datagram::PeerSocket socket_{workers_.context(0), "key", addresses_, settings_.name(),
                               kRouterIncarnation};
  daemon::PermitClient permits_{settings_.name(), kRouterIncarnation,    tables_, socket_, clock_,
                                stats_,           kRouterPermitTimeoutMs};
  daemon::EngineSelector selector_{tables_, permits_, clock_, stats_};
  rpc::ControlClient control_{{"127.0.0.1:1"}, "key", addresses_};
  daemon::RequestHandler handler_{
      daemon::RequestHandler::Dependencies{.settings = settings_,
                                           .incarnation = kRouterIncarnation,
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

inline http::Request chatRequest() {
  http::Request request(http::Verb::post, "/v1/chat/completions", 11);
  request.set("X-Request-Id", "flood-312");
  request.set("X-Tenant", "acampar");
  request.body() = R"({"model":"assistant","messages":[{"role":"user","content":"hello"}]})";
  return request;
}

/// @return a request to the service that `TestRouter::serveTenant` configures, if it is a plain
/// one.
inline http::Request serviceRequest() {
  http::Request request(http::Verb::get, "/v1/services/assistant/work", 11);
  request.set("X-Request-Id", "q1");
  request.set("X-Tenant", "acampar");
  return request;
}

} // namespace workshatch::test
