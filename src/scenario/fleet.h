/// @file
/// The processes of a scenario: their addresses, settings files and the network proxies between the
/// daemons.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/worker_pool.h"
#include "scenario/network_proxy.h"
#include "scenario/process.h"
#include "workshatch/v1/configuration.pb.h"

namespace workshatch::scenario {

/// Options of the scenario command `fleet`.
struct FleetPlan {
  /// Folder of the executables.
  std::string programs;
  /// Folder of settings, logs and data. `Fleet::prepare` deletes and recreates it.
  std::string folder;
  /// First three octets of all addresses.
  std::string network = "127.0.20";
  /// Number of daemons; each is a router.
  uint32_t routers = 5;
  /// Number of daemons that are control replicas too, starting with the first.
  uint32_t controls = 3;
  /// Number of model runners.
  uint32_t models = 4;
  /// Engines of each model runner.
  uint32_t engines = 2;
  /// Number of runners of the plain service.
  uint32_t services = 2;
  uint32_t step_ms = 5;
  uint64_t cache_blocks = 4096;
  /// Whether daemons reach each other through proxies, which can cut the links between them.
  bool proxies = false;
  /// Whether the configuration declares non-repeatable routes, which use the ledger to run requests
  /// only once.
  bool non_repeatable_routes = true;
  uint32_t snapshot_entries = 4096;
  uint32_t engine_limit = 64;
  uint32_t queue_length = 64;
  uint32_t renew_ms = 250;
};

/// Owns the processes and network proxies. Used only by the driver's main thread.
class Fleet {
public:
  explicit Fleet(FleetPlan plan);
  ~Fleet() { proxy_worker_.stop(); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Writes all settings files and starts the network proxies. Starts no process.
  Result<std::monostate> prepare();

  /// @return the process, owned by this object, or null if there is none of this name.
  Process* find(const std::string& name);
  std::vector<std::string> names() const;
  const FleetPlan& plan() const { return plan_; }

  std::vector<std::string> routerAddresses() const;
  std::vector<std::string> controlAddresses() const;
  /// @return the name of the daemon with this control address, or an empty text.
  std::string daemonAt(const std::string& control_address) const;
  /// @return the address of the runner, or an empty text.
  std::string runnerAddress(const std::string& name) const;
  std::string platformAddress() const { return plan_.network + ".100:8000"; }
  std::string dataFolder(const std::string& daemon) const;
  std::string logPath(const std::string& name) const;
  /// @return the files in which the runners record their runs.
  std::vector<std::string> runLogs() const;
  std::vector<std::string> modelNames() const;

  /// Cuts or restores the traffic that `from` sends to `to`, its responses on connections of `to`
  /// included.
  void setLinkCut(const std::string& from, const std::string& to, bool cut);
  /// Restores all links.
  void healAllLinks();

  /// @return the configuration of the scenarios. Each `variant` gives a different one.
  v1::Configuration configuration(uint64_t variant) const;
  static constexpr const char* kOperatorToken = "scenario-operator-token";

private:
  /// Proxies of the traffic from one daemon to another.
  struct Link {
    std::unique_ptr<TcpProxy> rpc;
    std::unique_ptr<UdpProxy> peer;
  };

  std::string hostOf(uint32_t router) const;
  Result<std::monostate> writeSettings(uint32_t router);
  Result<std::monostate> startProxies();
  Result<std::monostate> startLinkProxies(uint32_t from, uint32_t to);
  void addRunner(const std::string& name, const std::string& kind, uint32_t host);

  const FleetPlan plan_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::map<std::string, std::string> runner_addresses_;
  /// Runs the proxies. Declared before them because their sockets use its I/O context.
  WorkerPool proxy_worker_{1};
  /// By name, "from>to".
  std::map<std::string, Link> links_;
};

} // namespace workshatch::scenario
