/// @file
/// Stand-in for a model engine that crashes when it begins to answer a prompt with a certain part.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "adapters/http/http_types.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

/// Parts of prompts that crash runners, and when requests with them reached runners and crashed
/// them. Shared by all runners of a test. Safe for concurrent use.
class CrashingParts {
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit CrashingParts(std::set<std::string> parts) : parts_(std::move(parts)) {}

  /// Records the arrival of a request. @return the crashing part that it has; empty: none.
  std::string recordArrival(const std::string& request) {
    const std::lock_guard lock(mutex_);
    for (const std::string& part : parts_) {
      if (request.find(part) != std::string::npos) {
        arrivals_.emplace_back(part, std::chrono::steady_clock::now());
        return part;
      }
    }
    return "";
  }
  void recordCrash(const std::string& part) {
    const std::lock_guard lock(mutex_);
    crashes_.emplace_back(part, std::chrono::steady_clock::now());
  }
  size_t crashes() const {
    const std::lock_guard lock(mutex_);
    return crashes_.size();
  }
  /// @return number of requests with the part that reached runners later than `after` after the
  /// fifth crash under it.
  size_t lateArrivals(const std::string& part, std::chrono::milliseconds after) const {
    constexpr size_t kFifth = 4;
    const std::lock_guard lock(mutex_);
    const std::vector<Time> crashes = timesOf(crashes_, part);
    if (crashes.size() <= kFifth) {
      return 0;
    }
    const std::vector<Time> arrivals = timesOf(arrivals_, part);
    return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](Time arrival) {
      return arrival > crashes[kFifth] + after;
    }));
  }

private:
  using Event = std::pair<std::string, Time>;

  static std::vector<Time> timesOf(const std::vector<Event>& events, const std::string& part) {
    std::vector<Time> times;
    for (const auto& [name, time] : events) {
      if (name == part) {
        times.push_back(time);
      }
    }
    return times;
  }

  const std::set<std::string> parts_;
  mutable std::mutex mutex_;
  std::vector<Event> arrivals_;
  std::vector<Event> crashes_;
};

/// How a runner marks the end of its answers.
enum class AnswerFraming {
  Chunked,
  /// The answer ends with its connection. The runner writes an event before it crashes.
  Unframed,
};

/// Streams four events for each prompt. A crash closes all connections and the listener, which is
/// back at the same address after some time. Runs on a thread of its own.
class PromptRunner {
public:
  PromptRunner(CrashingParts& crashing_parts, std::chrono::milliseconds restart_after,
               AnswerFraming framing)
      : crashing_parts_(crashing_parts), restart_after_(restart_after), framing_(framing),
        acceptor_(context_) {
    listen();
    address_ = "127.0.0.1:" + std::to_string(endpoint_.port());
    thread_ = std::thread([this] { context_.run(); });
  }
  ~PromptRunner() {
    context_.stop();
    thread_.join();
  }
  PromptRunner(const PromptRunner&) = delete;
  PromptRunner& operator=(const PromptRunner&) = delete;

  const std::string& address() const { return address_; }
  /// @return whether the runner is down.
  bool crashed() const { return crashed_; }
  /// Number of its processes so far.
  size_t starts() const { return starts_; }
  /// Crashes the runner for no reason that lies in a prompt.
  void crash() {
    boost::asio::post(context_, [this] { crashNow(); });
  }

private:
  using Tcp = boost::asio::ip::tcp;
  static constexpr std::chrono::milliseconds kPrefill{40};
  static constexpr std::chrono::milliseconds kPause{20};
  static constexpr int kEvents = 4;
  static constexpr size_t kBodyBytes = 2;

  static constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

  void listen() {
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen();
    endpoint_ = acceptor_.local_endpoint();
    boost::asio::co_spawn(context_, acceptAll(), boost::asio::detached);
  }

  boost::asio::awaitable<void> acceptAll() {
    while (acceptor_.is_open()) {
      auto socket = std::make_shared<Tcp::socket>(context_);
      const auto [failure] = co_await acceptor_.async_accept(*socket, kAwait);
      if (failure) {
        co_return;
      }
      sockets_.push_back(socket);
      boost::asio::co_spawn(context_, serve(socket), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> pause(std::chrono::milliseconds time) {
    boost::asio::steady_timer timer(context_, time);
    co_await timer.async_wait(kAwait);
  }

  boost::asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> socket) {
    std::string request;
    const auto [failure, head_bytes] = co_await boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    if (!failure && isReportCall(request)) {
      // No run outlives its connection.
      const std::string report = reportAnswer("");
      co_await boost::asio::async_write(*socket, boost::asio::buffer(report), kAwait);
    } else if (!failure) {
      co_await answer(*socket, request);
    }
    boost::system::error_code ignored;
    socket->shutdown(Tcp::socket::shutdown_send, ignored);
    socket->close(ignored);
    std::erase(sockets_, socket);
  }

  std::string headOf(const std::string& request) const {
    const std::string id = requestIdOf(request);
    return framing_ == AnswerFraming::Chunked
               ? streamHead(id)
               : "HTTP/1.1 200 OK\r\nW-Request: " + id +
                     "\r\nW-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
  }
  static std::string eventOf(int number) {
    const std::string data = number == kEvents ? "whole" : "part";
    return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
  }

  boost::asio::awaitable<void> answer(Tcp::socket& socket, const std::string& request) {
    const std::string crashing_part = crashing_parts_.recordArrival(request);
    co_await pause(kPrefill);
    if (!crashing_part.empty() && socket.is_open()) {
      if (framing_ == AnswerFraming::Unframed) {
        const std::string begun = headOf(request) + eventOf(1);
        co_await boost::asio::async_write(socket, boost::asio::buffer(begun), kAwait);
      }
      crashing_parts_.recordCrash(crashing_part);
      crashNow();
      co_return;
    }
    const bool chunked = framing_ == AnswerFraming::Chunked;
    std::string bytes = headOf(request);
    for (int event = 1; event <= kEvents; ++event) {
      bytes += chunked ? chunk(eventOf(event)) : eventOf(event);
      bytes += chunked && event == kEvents ? kLastChunk : "";
      const auto [failure, written] =
          co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), kAwait);
      if (failure) {
        co_return;
      }
      bytes.clear();
      co_await pause(kPause);
    }
  }

  void crashNow() {
    if (crashed_.exchange(true)) {
      return;
    }
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& socket : sockets_) {
      socket->close(ignored);
    }
    boost::asio::co_spawn(context_, restart(), boost::asio::detached);
  }

  boost::asio::awaitable<void> restart() {
    co_await pause(restart_after_);
    listen();
    ++starts_;
    crashed_ = false;
  }

  CrashingParts& crashing_parts_;
  const std::chrono::milliseconds restart_after_;
  const AnswerFraming framing_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
      context_.get_executor()};
  Tcp::endpoint endpoint_{boost::asio::ip::make_address("127.0.0.1"), 0};
  Tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Tcp::socket>> sockets_;
  std::string address_;
  std::atomic<bool> crashed_{false};
  std::atomic<size_t> starts_{1};
  std::thread thread_;
};

} // namespace workshatch::test
