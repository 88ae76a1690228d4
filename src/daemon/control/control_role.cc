#include "daemon/control/control_role.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kHelloPeriod{200};

ReplicaOptions optionsOf(const v1::Settings& settings) {
  const v1::ControlSettings& control = settings.control();
  ReplicaOptions options;
  options.initial_addresses.assign(settings.control_addresses().begin(),
                                   settings.control_addresses().end());
  std::sort(options.initial_addresses.begin(), options.initial_addresses.end());
  options.own_address = control.rpc_address();
  options.heartbeat_ms = control.heartbeat_ms();
  options.election_ticks = control.election_timeout_ms() / control.heartbeat_ms();
  options.leases.lease_ms = control.lease_ms();
  options.accept_wait_ms = control.accept_wait_ms();
  options.snapshot_entries = control.snapshot_entries();
  return options;
}

} // namespace

ControlRole::ControlRole(const v1::Settings& settings, WorkerPool& workers, const Clock& clock)
    : settings_(settings), workers_(workers), random_(SeededRandom::fromEntropy()),
      store_(settings.control().data_folder(), random_),
      transport_(settings.control().rpc_address(), settings.control_key(),
                 AddressOverrides(settings)),
      replica_(optionsOf(settings), store_, clock, random_, transport_) {}

// Ends the transport first: replies to hellos are passed to the replica, which is destroyed before
// the transport.
ControlRole::~ControlRole() { transport_.end(); }

Result<std::monostate> ControlRole::start() {
  if (const auto started = replica_.start(); isError(started)) {
    return started;
  }
  services_ = std::make_unique<ControlServices>(
      replica_, ServiceKeys{.control_key = settings_.control_key(),
                            .operator_token = settings_.control().operator_token()});
  if (const auto listening = services_->listen(settings_.control().rpc_address());
      isError(listening)) {
    return listening;
  }
  asio::co_spawn(workers_.context(0), helloLoop(), asio::detached);
  return std::monostate{};
}

StopOutcome ControlRole::stop() {
  const StopOutcome outcome = replica_.stop();
  transport_.end();
  services_.reset();
  return outcome;
}

asio::awaitable<void> ControlRole::helloLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (replica_.ungrouped()) {
    for (const std::string& address : settings_.control_addresses()) {
      if (address != settings_.control().rpc_address()) {
        transport_.sendHello(address, replica_.id(), [this, address](const v1::HelloReply& reply) {
          replica_.helloReplyReceived(address, reply);
        });
      }
    }
    timer.expires_after(kHelloPeriod);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

} // namespace workshatch::daemon
