/// @file
/// The processes of a scenario: settings files, addresses, relays between daemons.
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

struct FleetPlan {
  /// Folder of the programs.
  std::string programs;
  /// Folder of settings, logs and data; made anew.
  std::string folder;
  /// First three numbers of all addresses.
  std::string network = "127.0.20";
  uint32_t routers = 5;
  uint32_t controls = 3;
  uint32_t models = 4;
  uint32_t engines = 2;
  uint32_t services = 2;
  uint32_t step_ms = 5;
  uint64_t cache_blocks = 4096;
  /// Daemons reach each other through relays, which can be cut.
  bool proxies = false;
  /// False: no route is declared as one that may not be repeated.
  bool non_repeatable_routes = true;
  uint32_t snapshot_entries = 4096;
  uint32_t engine_limit = 64;
  uint32_t queue_length = 64;
  uint32_t renew_ms = 250;
};

/// Owns the processes and relays. Used by the driver's main thread.
class Fleet {
public:
  explicit Fleet(FleetPlan plan);
  ~Fleet() { proxy_worker_.stop(); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Writes all files and opens the relays.
  Result<std::monostate> prepare();

  Process* find(const std::string& name);
  std::vector<std::string> names() const;
  const FleetPlan& plan() const { return plan_; }

  std::vector<std::string> routerAddresses() const;
  std::vector<std::string> controlAddresses() const;
  /// Name of the daemon with this control address; empty: none.
  std::string daemonAt(const std::string& control_address) const;
  std::string runnerAddress(const std::string& name) const;
  std::string platformAddress() const { return plan_.network + ".100:8000"; }
  std::string dataFolder(const std::string& daemon) const;
  std::string logPath(const std::string& name) const;
  std::vector<std::string> runLogs() const;
  std::vector<std::string> modelNames() const;

  /// Cuts what `from` sends to `to`.
  void setLinkCut(const std::string& from, const std::string& to, bool cut);
  void healAllLinks();

  /// The configuration that scenarios start with; `variant` makes it differ from others.
  v1::Configuration configuration(uint64_t variant) const;
  static constexpr const char* kOperatorToken = "scenario-operator-token";

private:
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
  /// Runs the relays; declared before them, since their sockets belong to it.
  WorkerPool proxy_worker_{1};
  /// By "from>to".
  std::map<std::string, Link> links_;
};

} // namespace workshatch::scenario
