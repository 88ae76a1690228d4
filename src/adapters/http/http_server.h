/// @file
/// HTTP/1.1 server on Boost.Beast with limits against callers that send too much or too slowly.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "adapters/http/http_types.h"
#include "adapters/worker_pool.h"
#include "core/result.h"

namespace workshatch::http {

struct ServerLimits {
  uint32_t header_bytes = 16U * 1024;
  uint64_t body_bytes = 4ULL * 1024 * 1024;
  size_t connections = 1024;
  /// How long a connection may wait for its next request.
  std::chrono::milliseconds idle_timeout{60'000};
  /// How long a request may take to arrive whole, and a caller to take a part of the answer.
  std::chrono::milliseconds read_timeout{10'000};
};

/// One request and the answer to it. Lives on the worker of its connection.
class Exchange {
public:
  Exchange(boost::beast::tcp_stream& stream, Request request, std::chrono::milliseconds timeout,
           bool keep_alive);

  const Request& request() const { return request_; }
  std::string_view target() const { return viewOf(request_.target()); }
  std::string_view path() const { return pathOf(target()); }
  /// Address and port of the connection's other end.
  std::string peer() const;

  /// Sends a whole answer. @return false when the caller is gone.
  awaitable<bool> respond(Response response);

  /// Starts an answer whose length is not known yet; its body follows by `write` and `finish`.
  awaitable<bool> startStream(Response head);
  awaitable<bool> write(std::string_view data);
  /// As `write`, without waiting: what the caller does not take at once is held here and written as
  /// the caller reads.
  void send(std::string_view data);
  /// Waits until at most so many bytes are held. @return false when the caller is gone.
  awaitable<bool> drainTo(size_t max_bytes);
  /// Waits for what is held, then ends the answer.
  awaitable<bool> finish();

  /// Bytes of the answer that the caller has not taken, and that it has.
  size_t bufferedBytes() const { return backlog_.size() + writing_bytes_; }
  uint64_t writtenBytes() const { return written_bytes_; }
  /// `hook` runs on this worker each time `bufferedBytes` changes.
  void onBufferedBytesChange(std::function<void()> hook) { buffered_bytes_hook_ = std::move(hook); }
  /// Waits until nothing is being written any more; the exchange must not end before.
  awaitable<void> awaitWrites();

  /// Whether the caller still takes the answer.
  bool isWritable() const { return !broken_; }
  bool responseStarted() const { return response_started_; }
  bool keepAlive() const { return keep_alive_ && !broken_; }
  /// Closes the connection after this answer.
  void closeAfterResponse() { keep_alive_ = false; }
  /// Ends the connection without a further byte; bytes under way may be lost.
  void abort();
  /// Ends the connection after what was written, without the end of the answer.
  void closeIncomplete();

  /// Whether the caller has closed its connection.
  bool clientDisconnected() const { return client_disconnected_; }
  /// `hook` runs once, on this worker, when the caller closes its connection.
  void onDisconnect(std::function<void()> hook);
  void handleDisconnect();

private:
  boost::beast::tcp_stream& stream_;
  Request request_;
  std::chrono::milliseconds timeout_;
  bool keep_alive_;
  bool response_started_ = false;
  bool broken_ = false;
  bool client_disconnected_ = false;
  std::function<void()> disconnect_hook_;

  awaitable<void> writeBacklog();
  void notifyBufferedBytesChange();

  /// Not written yet, framed as chunks.
  std::string backlog_;
  /// The writer runs, and has so many bytes under way.
  bool writing_ = false;
  size_t writing_bytes_ = 0;
  uint64_t written_bytes_ = 0;
  std::function<void()> buffered_bytes_hook_;
  /// Cancelled each time `bufferedBytes` changes.
  boost::asio::steady_timer buffered_bytes_timer_;
};

/// Counters of one server. Safe for concurrent use.
struct ServerStats {
  std::atomic<uint64_t> connections{0};
  std::atomic<uint64_t> open_connections{0};
  std::atomic<uint64_t> refused_connections{0};
  std::atomic<uint64_t> bad_requests{0};
};

/// Accepts connections and runs the handler for each request. Methods are safe for concurrent use.
class Server {
public:
  using Handler = std::function<awaitable<void>(Exchange&)>;
  /// Makes the answer to a request that the server itself refuses.
  using ErrorResponder = std::function<Response(Status status, const std::string& reason)>;
  /// Gives the limits in force for the next request.
  using LimitsSource = std::function<ServerLimits()>;

  Server(WorkerPool& workers, LimitsSource limits, Handler handler, ErrorResponder error_responder);
  Server(WorkerPool& workers, ServerLimits limits, Handler handler, ErrorResponder error_responder);
  ~Server();

  /// @return the address in use, which matters for port zero.
  Result<std::string> listen(const std::string& address);

  /// Accepts no more connections; requests in progress go on.
  void stopAccepting();
  /// Closes connections that wait for their next request.
  void closeIdle();
  /// Answers from now on close their connection.
  void closeConnections() { closing_ = true; }

  /// Requests that a handler is working on.
  size_t requestsInProgress() const { return in_progress_.load(); }
  const ServerStats& stats() const { return stats_; }

private:
  awaitable<void> accept();
  awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  awaitable<void> serveRequests(boost::beast::tcp_stream& stream);
  awaitable<bool> awaitRequest(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);
  awaitable<void> reject(boost::beast::tcp_stream& stream, Status status, std::string reason);

  WorkerPool& workers_;
  const LimitsSource limits_;
  const Handler handler_;
  const ErrorResponder error_responder_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::atomic<bool> closing_{false};
  std::atomic<size_t> in_progress_{0};
  ServerStats stats_;
  std::mutex idle_mutex_;
  /// Connections that wait for their next request; guarded by idle_mutex_.
  std::set<boost::beast::tcp_stream*> idle_;
};

} // namespace workshatch::http
