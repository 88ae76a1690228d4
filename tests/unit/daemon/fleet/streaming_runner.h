/// @file
/// Stand-in for a runner that answers each request with a stream of events which name the version
/// of the runner's software, and a caller's view of such streams.
#pragma once

#include <atomic>
#include <charconv>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/http_server.h"
#include "adapters/worker_pool.h"

namespace workshatch::test {

/// A runner that streams events with the ids 1 to `kEvents`, or the rest of them after the event
/// that a request names as the last one received. It does not check what began the stream. Safe for
/// concurrent use.
class StreamingRunner {
public:
  static constexpr int kEvents = 8;
  static constexpr int kEventsBeforeBreak = 3;

  /// @param pause time between two events
  StreamingRunner(std::string version, std::chrono::milliseconds pause)
      : version_(std::move(version)), pause_(pause),
        server_(
            workers_, http::ServerLimits{},
            [this](http::Exchange& exchange) {
              return exchange.request().target() == "/report" ? report(exchange) : stream(exchange);
            },
            [](http::Status status, const std::string&) {
              return http::makeResponse(status, "text/plain", "");
            }) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~StreamingRunner() { workers_.stop(); }
  StreamingRunner(const StreamingRunner&) = delete;
  StreamingRunner& operator=(const StreamingRunner&) = delete;

  const std::string& address() const { return address_; }
  const std::string& version() const { return version_; }
  /// Makes the runner break off one of this many streams that begin, after three events; zero:
  /// none.
  void breakOffOneOf(size_t streams) { breaks_one_of_ = streams; }
  /// Sets whether the platform lists the runner.
  void setListed(bool listed) { listed_ = listed; }
  bool listed() const { return listed_; }
  size_t requests() const { return requests_; }

private:
  static int lastEventOf(const http::Request& request) {
    const std::string text = http::fieldOf(request, "Last-Event-Id").value_or("0");
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
  }

  bool isNextToBreak() {
    const size_t one_of = breaks_one_of_;
    return one_of != 0 && ++begun_ % one_of == 0;
  }

  /// Reports that no request waits or runs: no run outlives its connection.
  static http::awaitable<void> report(http::Exchange& exchange) {
    http::Response response = http::makeResponse(http::Status::ok, "text/plain", "0");
    co_await exchange.respond(std::move(response));
  }

  http::awaitable<void> stream(http::Exchange& exchange) {
    ++requests_;
    const int last_received = lastEventOf(exchange.request());
    const bool breaks_off = last_received == 0 && isNextToBreak();
    http::Response head = http::makeResponse(http::Status::ok, "text/event-stream", "");
    head.set("W-Request", http::fieldOf(exchange.request(), "W-Request").value_or(""));
    head.set("W-Signature", version_);
    const bool started = co_await exchange.startStream(std::move(head));
    boost::asio::steady_timer timer(workers_.context(0));
    for (int event = last_received + 1; started && event <= kEvents; ++event) {
      timer.expires_after(pause_);
      co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      const std::string end = event == kEvents ? "whole" : "part";
      std::string bytes =
          "id: " + std::to_string(event) + "\ndata: " + version_ + " " + end + "\n\n";
      const bool written = co_await exchange.write(bytes);
      if (!written || (breaks_off && event == kEventsBeforeBreak)) {
        exchange.closeIncomplete();
        co_return;
      }
    }
    co_await exchange.finish();
  }

  const std::string version_;
  const std::chrono::milliseconds pause_;
  std::atomic<size_t> breaks_one_of_{0};
  std::atomic<size_t> begun_{0};
  std::atomic<bool> listed_{true};
  std::atomic<size_t> requests_{0};
  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

/// What a caller has of one stream, over all its attempts.
struct ReceivedStream {
  /// Id of the last event; zero: none was received.
  int last_event = 0;
  /// Versions of the runners whose events were received.
  std::set<std::string> versions;
  bool whole = false;
};

/// Adds the events of a response to what the caller has.
inline void addEvents(ReceivedStream& stream, const std::string& response) {
  const std::string id_field = "id: ";
  const std::string data_field = "\ndata: ";
  size_t position = response.find("\r\n\r\n");
  while ((position = response.find(id_field, position)) != std::string::npos) {
    const size_t data = response.find(data_field, position);
    const size_t end = data == std::string::npos ? data : response.find("\n\n", data);
    if (end == std::string::npos) {
      return;
    }
    const char* number = response.data() + position + id_field.size();
    std::from_chars(number, response.data() + data, stream.last_event);
    const std::string text =
        response.substr(data + data_field.size(), end - data - data_field.size());
    stream.versions.insert(text.substr(0, text.find(' ')));
    stream.whole = stream.whole || text.ends_with("whole");
    position = end;
  }
}

} // namespace workshatch::test
