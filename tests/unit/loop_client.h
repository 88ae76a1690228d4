/// @file
/// The general HTTP client on an event loop of its own.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "adapters/http/http_client.h"
#include "adapters/system_clock.h"

namespace workshatch::test {

/// A complete response.
struct ClientAnswer {
  http::Status status{};
  std::string body;
};

/// A client on an event loop of its own.
class LoopClient {
public:
  /// @return the response; nothing if it is not complete.
  std::optional<ClientAnswer> call(const std::string& address, const std::string& upload = "") {
    std::optional<ClientAnswer> answer;
    boost::asio::co_spawn(
        context_,
        [&]() -> http::awaitable<void> {
          http::Request request(upload.empty() ? http::Verb::get : http::Verb::post, "/", 11);
          request.body() = upload;
          http::CallResult result = co_await client_.call(address, std::move(request), {});
          if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
            auto body = co_await (*response)->readAll(kMaxBodyBytes);
            if (auto* text = std::get_if<std::string>(&body)) {
              answer = ClientAnswer{.status = (*response)->status(), .body = *text};
            }
          }
        },
        boost::asio::detached);
    context_.restart();
    context_.run();
    return answer;
  }

private:
  static constexpr size_t kMaxBodyBytes = 65536;

  SystemClock clock_;
  boost::asio::io_context context_;
  http::Client client_{context_, clock_};
};

} // namespace workshatch::test
