/// @file
/// HTTP/1.1 server on Boost.Beast, with limits on the size of requests, the number of connections
/// and the time for which a client may block a connection.
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
#include "core/limits/body_budget.h"
#include "core/result.h"

namespace workshatch::http {

/// Limits of one server.
struct ServerLimits {
  uint32_t header_bytes = 16U * 1024;
  uint64_t body_bytes = 4ULL * 1024 * 1024;
  size_t connections = 1024;
  /// How long a connection may stay idle between requests.
  std::chrono::milliseconds idle_timeout{60'000};
  /// How long a request may take to arrive completely, and a client to accept each write of the
  /// response.
  std::chrono::milliseconds read_timeout{10'000};
};

/// One request and its response. Used only on the worker of its connection.
class Exchange {
public:
  /// @param keep_alive called when the response begins: whether the connection stays open after it.
  Exchange(boost::beast::tcp_stream& stream, Request request, std::chrono::milliseconds timeout,
           std::function<bool()> keep_alive);

  const Request& request() const { return request_; }
  std::string_view target() const { return viewOf(request_.target()); }
  std::string_view path() const { return pathOf(target()); }
  /// Address and port of the client; empty if they are unknown.
  std::string peer() const;

  /// Sends a complete response. @return false if the connection failed.
  awaitable<bool> respond(Response response);

  /// Sends the header of a response of unknown length. The body follows with `write` or `send`, and
  /// `finish`. @return false if the connection failed.
  awaitable<bool> startStream(Response head);
  /// Writes a chunk of the body and waits until it is written.
  /// @return false if the connection failed.
  awaitable<bool> write(std::string_view data);
  /// Queues a chunk of the body without waiting. It is buffered here and written as the client
  /// reads.
  void send(std::string_view data);
  /// Waits until at most `max_bytes` are buffered. @return false if the connection failed.
  awaitable<bool> drainTo(size_t max_bytes);
  /// Waits until the buffer is empty, then writes the last chunk of the response.
  /// @return false if the connection failed.
  awaitable<bool> finish();

  /// Bytes of the response that were queued by `send` and are not written yet.
  size_t bufferedBytes() const { return backlog_.size() + writing_bytes_; }
  /// Bytes queued by `send` that were written to the connection since the response began.
  uint64_t writtenBytes() const { return written_bytes_; }
  /// Sets a hook that runs on this worker each time `bufferedBytes` changes; null removes it.
  void onBufferedBytesChange(std::function<void()> hook) { buffered_bytes_hook_ = std::move(hook); }
  /// Waits until no write is in progress. The exchange must not be destroyed before.
  awaitable<void> awaitWrites();

  /// Whether the connection has neither failed nor been closed.
  bool isWritable() const { return !broken_; }
  /// Whether a response was started, or is no longer possible since the connection was closed.
  bool responseStarted() const { return response_started_; }
  /// Whether the connection stays open. Valid once the response has begun.
  bool keepAlive() const { return keep_alive_ && !broken_; }
  /// Closes the connection after this response.
  void closeAfterResponse() { close_after_response_ = true; }
  /// Resets the connection (RST) at once. Bytes that the client has not received may be lost.
  void abort();
  /// Stops a streamed response. The connection is closed when the handler returns, without the end
  /// of the response, so that the client sees that it is incomplete. Bytes already written are
  /// delivered; buffered ones are dropped.
  void closeIncomplete();

  /// Whether the client has closed its connection.
  bool clientDisconnected() const { return client_disconnected_; }
  /// Sets a hook that runs once, on this worker, when the client closes its connection; at once if
  /// it has already. Null removes the hook.
  void onDisconnect(std::function<void()> hook);
  /// Marks the connection as closed by the client and runs the hook.
  void handleDisconnect();

private:
  boost::beast::tcp_stream& stream_;
  Request request_;
  std::chrono::milliseconds timeout_;
  std::function<bool()> may_keep_alive_;
  bool close_after_response_ = false;
  bool keep_alive_ = false;
  bool response_started_ = false;
  bool broken_ = false;
  bool client_disconnected_ = false;
  std::function<void()> disconnect_hook_;

  /// Decides whether the connection stays open after the response that begins.
  bool beginResponse();
  awaitable<void> writeBacklogOrBreak();
  awaitable<void> writeBacklog();
  void notifyBufferedBytesChange();

  /// Body bytes that are not written yet, with their chunk framing.
  std::string backlog_;
  /// Whether `writeBacklog` is running, and the size of the write in progress.
  bool writing_ = false;
  size_t writing_bytes_ = 0;
  uint64_t written_bytes_ = 0;
  std::function<void()> buffered_bytes_hook_;
  /// Never expires. It is cancelled each time `bufferedBytes` changes, to wake the coroutines that
  /// wait for such a change.
  boost::asio::steady_timer buffered_bytes_timer_;
};

/// How often the body of a request is held: as it arrived, and as it is sent on.
inline constexpr uint64_t kBodyCopies = 2;

/// The memory that bodies may take, and the response to a request for whose body none is left.
struct BodyAdmission {
  /// May be shared by several servers. Null: the bodies are not limited in total.
  std::shared_ptr<limits::BodyBudget> budget;
  /// Builds the response to a request that has not run, from its head.
  std::function<Response(const Request& head)> refuse;
};

/// Counters of one server. Safe for concurrent use.
struct ServerStats {
  std::atomic<uint64_t> connections{0};
  std::atomic<uint64_t> open_connections{0};
  std::atomic<uint64_t> refused_connections{0};
  std::atomic<uint64_t> bad_requests{0};
};

/// Accepts connections and runs the handler for each request, on the worker of the connection.
/// Methods are safe for concurrent use.
class Server {
public:
  using Handler = std::function<awaitable<void>(Exchange&)>;
  /// Builds the response to a request that the server itself rejects.
  using ErrorResponder = std::function<Response(Status status, const std::string& reason)>;
  /// @return the limits for the next connection or request.
  using LimitsSource = std::function<ServerLimits()>;

  Server(WorkerPool& workers, LimitsSource limits, Handler handler, ErrorResponder error_responder);
  Server(WorkerPool& workers, ServerLimits limits, Handler handler, ErrorResponder error_responder);
  ~Server();

  /// Limits the memory that bodies take. Must be called before `listen`.
  void limitBodies(BodyAdmission admission) { bodies_ = std::move(admission); }

  /// Starts to accept connections. @return the bound address; with port zero the operating system
  /// chooses the port.
  Result<std::string> listen(const std::string& address);

  /// Accepts the connections that wait in the backlog, then no more. Requests in progress continue.
  /// Open connections are closed as after `closeConnections`.
  void stopAccepting();
  /// Closes idle connections, from now on also those that become idle.
  void closeIdle();
  /// From now on connections are closed after a response, unless their next request has arrived.
  void closeConnections() { closing_ = true; }

  /// Number of requests of which bytes have arrived and whose response is not written yet.
  size_t requestsInProgress() const { return in_progress_->load(); }
  /// Number of connections whose last response is written and whose client has not closed its side
  /// yet. Limited in time for each connection.
  size_t connectionsClosing() const { return connections_closing_->load(); }
  const ServerStats& stats() const { return stats_; }

private:
  /// Limits of the input that is discarded after the last response, before the connection is
  /// closed.
  struct DiscardLimits {
    uint64_t bytes = 0;
    std::chrono::milliseconds time{0};
  };
  static constexpr DiscardLimits kDiscardAfterResponse{.bytes = uint64_t{1} << 20U,
                                                       .time = std::chrono::seconds(1)};

  awaitable<void> accept();
  awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  awaitable<DiscardLimits> serveRequests(boost::beast::tcp_stream& stream);
  awaitable<void> runHandler(Exchange& exchange);
  void forgetIdle(boost::beast::tcp_stream& stream);
  awaitable<bool> awaitRequest(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);
  awaitable<void> reject(boost::beast::tcp_stream& stream, Status status, std::string reason);
  awaitable<void> rejectWith(boost::beast::tcp_stream& stream, Response response);
  awaitable<void> closeGracefully(boost::beast::tcp_stream& stream, DiscardLimits discard);

  WorkerPool& workers_;
  const LimitsSource limits_;
  const Handler handler_;
  const ErrorResponder error_responder_;
  BodyAdmission bodies_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::atomic<bool> closing_{false};
  std::atomic<bool> closing_idle_{false};
  /// Shared with the connections, which the workers may destroy after this server.
  const std::shared_ptr<std::atomic<size_t>> in_progress_ =
      std::make_shared<std::atomic<size_t>>(0);
  const std::shared_ptr<std::atomic<size_t>> connections_closing_ =
      std::make_shared<std::atomic<size_t>>(0);
  ServerStats stats_;
  std::mutex idle_mutex_;
  /// Connections between requests; guarded by idle_mutex_.
  std::set<boost::beast::tcp_stream*> idle_;
};

} // namespace workshatch::http
