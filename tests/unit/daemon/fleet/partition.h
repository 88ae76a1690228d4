/// @file
/// Stand-ins for partitions between one relay and all runners: connections that pass through gates,
/// and runners that keep their connections open.
#pragma once

#include <chrono>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "adapters/http/http_server.h"

namespace workshatch::test {

/// What a partition does to connections through it.
enum class Partition {
  None,
  /// Open connections carry nothing more, and new ones do not come up.
  Hang,
  /// Open connections are reset, and new ones refused.
  Reset,
  /// Open connections carry nothing more, and new ones are refused.
  Refuse,
  /// Open connections go on, and new ones are refused.
  RefuseNew,
};

/// Forwards the connections of one relay to runners, by one listener for each runner, until a
/// partition is set. Runs on a thread of its own.
class RunnerGates {
public:
  /// @param runners addresses of the runners
  explicit RunnerGates(const std::vector<std::string>& runners) {
    for (const std::string& runner : runners) {
      gates_.emplace_back();
      gates_.back().runner = *http::parseEndpoint(runner);
      open(gates_.back());
      const uint16_t port = gates_.back().address.port();
      overrides_[runner] = "127.0.0.1:" + std::to_string(port);
    }
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RunnerGates() {
    context_.stop();
    thread_.join();
  }
  RunnerGates(const RunnerGates&) = delete;
  RunnerGates& operator=(const RunnerGates&) = delete;

  /// Addresses of the gates by address of their runners.
  const std::map<std::string, std::string>& overrides() const { return overrides_; }

  /// Sets the partition between the relay and all runners. Ending one lets open connections that
  /// hang go on.
  void set(Partition partition) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      apply(partition);
      done.set_value();
    });
    done.get_future().wait();
  }

private:
  using Tcp = boost::asio::ip::tcp;

  /// One connection through a gate.
  struct Tunnel {
    explicit Tunnel(boost::asio::io_context& context) : relay(context), runner(context) {}
    Tcp::socket relay;
    Tcp::socket runner;
    /// Bytes that a partition holds up, by the socket that they are for.
    std::map<Tcp::socket*, std::string> held;
  };

  struct Gate {
    Tcp::endpoint runner;
    Tcp::endpoint address{boost::asio::ip::make_address("127.0.0.1"), 0};
    std::unique_ptr<Tcp::acceptor> acceptor;
    /// Connections that fill the listener's queue, so that further ones do not come up.
    std::vector<Tcp::socket> fillers;
  };

  void open(Gate& gate) {
    gate.acceptor = std::make_unique<Tcp::acceptor>(context_, gate.address);
    gate.address = gate.acceptor->local_endpoint();
    accept(gate);
  }

  void accept(Gate& gate) {
    if (!gate.acceptor) {
      return;
    }
    auto tunnel = std::make_shared<Tunnel>(context_);
    gate.acceptor->async_accept(tunnel->relay,
                                [this, &gate, tunnel](boost::system::error_code failure) {
                                  if (failure) {
                                    return;
                                  }
                                  boost::system::error_code refused;
                                  tunnel->runner.connect(gate.runner, refused);
                                  if (!refused) {
                                    tunnels_.push_back(tunnel);
                                    pump(tunnel, tunnel->relay, tunnel->runner);
                                    pump(tunnel, tunnel->runner, tunnel->relay);
                                  }
                                  accept(gate);
                                });
  }

  /// Forwards bytes from one socket of a tunnel to the other.
  void pump(const std::shared_ptr<Tunnel>& tunnel, Tcp::socket& from, Tcp::socket& to) {
    auto bytes = std::make_shared<std::vector<char>>(4096);
    from.async_read_some(
        boost::asio::buffer(*bytes),
        [this, tunnel, &from, &to, bytes](boost::system::error_code failure, size_t count) {
          if (failure) {
            boost::system::error_code ignored;
            to.shutdown(Tcp::socket::shutdown_send, ignored);
            return;
          }
          const std::string part(bytes->data(), count);
          if (hangs()) {
            tunnel->held[&to] += part;
          } else {
            boost::system::error_code ignored;
            boost::asio::write(to, boost::asio::buffer(part), ignored);
          }
          pump(tunnel, from, to);
        });
  }

  bool hangs() const { return partition_ == Partition::Hang || partition_ == Partition::Refuse; }

  void apply(Partition partition) {
    partition_ = partition;
    for (Gate& gate : gates_) {
      gate.acceptor.reset();
      gate.fillers.clear();
      if (partition == Partition::None) {
        open(gate);
      } else if (partition == Partition::Hang) {
        fill(gate);
      }
    }
    if (partition == Partition::Reset) {
      for (const auto& tunnel : tunnels_) {
        boost::system::error_code ignored;
        tunnel->relay.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        tunnel->relay.close(ignored);
        tunnel->runner.close(ignored);
      }
      tunnels_.clear();
    }
    if (!hangs()) {
      releaseHeld();
    }
  }

  /// Listens with a queue that is full: the system drops the opening packets of connections.
  void fill(Gate& gate) {
    constexpr size_t kFillers = 2;
    gate.acceptor = std::make_unique<Tcp::acceptor>(context_);
    gate.acceptor->open(Tcp::v4());
    gate.acceptor->set_option(boost::asio::socket_base::reuse_address(true));
    gate.acceptor->bind(gate.address);
    gate.acceptor->listen(0);
    for (size_t i = 0; i < kFillers; ++i) {
      gate.fillers.emplace_back(context_);
      gate.fillers.back().async_connect(gate.address, [](boost::system::error_code) {});
    }
  }

  void releaseHeld() {
    for (const auto& tunnel : tunnels_) {
      for (auto& [to, bytes] : std::exchange(tunnel->held, {})) {
        boost::system::error_code ignored;
        boost::asio::write(*to, boost::asio::buffer(bytes), ignored);
      }
    }
  }

  boost::asio::io_context context_;
  /// Keeps the thread running while a partition leaves nothing to wait for.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
      context_.get_executor()};
  /// A list, because handlers refer to its elements.
  std::list<Gate> gates_;
  std::vector<std::shared_ptr<Tunnel>> tunnels_;
  std::map<std::string, std::string> overrides_;
  Partition partition_ = Partition::None;
  std::thread thread_;
};

/// A plain runner that keeps connections open and answers each request after a fixed time.
class KeepingRunner {
public:
  explicit KeepingRunner(std::chrono::milliseconds service_time)
      : server_(
            workers_, http::ServerLimits{},
            [this, service_time](http::Exchange& exchange) {
              return answer(exchange, service_time);
            },
            [](http::Status status, const std::string&) {
              return http::makeResponse(status, "text/plain", "");
            }) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~KeepingRunner() { workers_.stop(); }
  KeepingRunner(const KeepingRunner&) = delete;
  KeepingRunner& operator=(const KeepingRunner&) = delete;

  const std::string& address() const { return address_; }

private:
  http::awaitable<void> answer(http::Exchange& exchange, std::chrono::milliseconds service_time) {
    boost::asio::steady_timer timer(workers_.context(0), service_time);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    http::Response response = http::makeResponse(http::Status::ok, "text/plain", "whole");
    response.set("W-Request", http::fieldOf(exchange.request(), "W-Request").value_or(""));
    response.set("W-Signature", "s");
    response.set(http::Field::keep_alive, "timeout=10");
    co_await exchange.respond(std::move(response));
  }

  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

} // namespace workshatch::test
