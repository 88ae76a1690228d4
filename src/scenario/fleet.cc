#include "scenario/fleet.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

namespace workshatch::scenario {

using nlohmann::json;

namespace {

constexpr const char* kControlKey = "scenario-control-key";
constexpr const char* kPeerKey = "scenario-peer-key";
constexpr std::array<const char*, 3> kZones = {"mendoza-a", "mendoza-b", "san-juan"};
constexpr uint32_t kFirstModelHost = 21;
constexpr uint32_t kFirstServiceHost = 61;
constexpr uint32_t kFirstProxyPort = 20'000;
/// Proxy ports for the links from one daemon; each link uses two.
constexpr uint32_t kProxyPortsPerDaemon = 64;

Result<std::monostate> writeFile(const std::string& path, const std::string& content) {
  std::ofstream out(path, std::ios::trunc);
  out << content;
  out.close();
  std::filesystem::permissions(path, std::filesystem::perms::owner_read |
                                         std::filesystem::perms::owner_write);
  if (!out) {
    return Error{"cannot write " + path};
  }
  return std::monostate{};
}

std::string routerName(uint32_t router) { return "entry-" + std::to_string(router); }

std::string linkName(const std::string& from, const std::string& to) { return from + ">" + to; }

} // namespace

Fleet::Fleet(FleetPlan plan) : plan_(std::move(plan)) {}

std::string Fleet::hostOf(uint32_t router) const {
  return plan_.network + "." + std::to_string(router);
}

void Fleet::addRunner(const std::string& name, const std::string& kind, uint32_t host) {
  const std::string address = plan_.network + "." + std::to_string(host) + ":8000";
  std::vector<std::string> command = {plan_.programs + "/workshatch-standin", "--kind=" + kind,
                                      "--name=" + name, "--listen=" + address,
                                      "--run_log=" + plan_.folder + "/runs/" + name};
  if (kind == "model") {
    command.push_back("--engines=" + std::to_string(plan_.engines));
    command.push_back("--step_ms=" + std::to_string(plan_.step_ms));
    command.push_back("--cache_blocks=" + std::to_string(plan_.cache_blocks));
  }
  runner_addresses_[name] = address;
  processes_[name] = std::make_unique<Process>(std::move(command), logPath(name));
}

Result<std::monostate> Fleet::prepare() {
  std::filesystem::remove_all(plan_.folder);
  for (const char* subfolder : {"settings", "logs", "data", "runs"}) {
    std::filesystem::create_directories(plan_.folder + "/" + subfolder);
  }
  if (plan_.proxies) {
    if (const auto opened = startProxies(); isError(opened)) {
      return opened;
    }
  }
  json machines = json::array();
  const auto add = [&](const std::string& name, const std::string& service, uint32_t index,
                       uint32_t engines) {
    machines.push_back({{"runner", name},
                        {"address", runner_addresses_[name]},
                        {"service", service},
                        {"zone", kZones[index % kZones.size()]},
                        {"engines", engines},
                        {"state", "live"}});
  };
  for (uint32_t i = 0; i < plan_.models; ++i) {
    const std::string name = "assistant-" + std::to_string(i + 1);
    addRunner(name, "model", kFirstModelHost + i);
    add(name, "assistant", i, plan_.engines);
  }
  for (uint32_t i = 0; i < plan_.services; ++i) {
    const std::string name = "booking-" + std::to_string(i + 1);
    addRunner(name, "service", kFirstServiceHost + i);
    add(name, "booking", i, 1);
  }
  const std::string machines_path = plan_.folder + "/machines.json";
  if (const auto written = writeFile(machines_path, machines.dump()); isError(written)) {
    return written;
  }
  processes_["platform"] = std::make_unique<Process>(
      std::vector<std::string>{plan_.programs + "/workshatch-standin", "--kind=platform",
                               "--listen=" + platformAddress(), "--machines=" + machines_path},
      logPath("platform"));
  for (uint32_t router = 1; router <= plan_.routers; ++router) {
    if (const auto written = writeSettings(router); isError(written)) {
      return written;
    }
  }
  proxy_worker_.start();
  return std::monostate{};
}

Result<std::monostate> Fleet::writeSettings(uint32_t router) {
  const std::string name = routerName(router);
  json settings = {
      {"name", name},
      {"zone", kZones[(router - 1) % kZones.size()]},
      {"control_addresses", controlAddresses()},
      {"control_key", kControlKey},
      {"router",
       {{"http_address", hostOf(router) + ":8080"},
        {"peer_address", hostOf(router) + ":8090"},
        {"peer_key", kPeerKey},
        {"platform_address", platformAddress()},
        {"endpoints_ttl_ms", 500},
        {"platform_period_ms", 200},
        {"renew_period_ms", plan_.renew_ms},
        {"max_connections", 20'000}}},
  };
  if (router <= plan_.controls) {
    settings["control"] = {{"data_folder", dataFolder(name)},
                           {"rpc_address", hostOf(router) + ":8070"},
                           {"operator_token", kOperatorToken},
                           {"snapshot_entries", plan_.snapshot_entries}};
  }
  for (uint32_t to = 1; plan_.proxies && to <= plan_.routers; ++to) {
    if (to == router) {
      continue;
    }
    const uint32_t port = kFirstProxyPort + router * kProxyPortsPerDaemon + to * 2;
    const std::string proxy_host = plan_.network + ".200:";
    json& overrides = settings["address_overrides"];
    overrides.push_back(
        {{"address", hostOf(to) + ":8090"}, {"connect_to", proxy_host + std::to_string(port + 1)}});
    if (to <= plan_.controls) {
      overrides.push_back(
          {{"address", hostOf(to) + ":8070"}, {"connect_to", proxy_host + std::to_string(port)}});
    }
  }
  const std::string path = plan_.folder + "/settings/" + name + ".json";
  processes_[name] = std::make_unique<Process>(
      std::vector<std::string>{plan_.programs + "/workshatchd", "--config=" + path}, logPath(name));
  return writeFile(path, settings.dump(2));
}

Result<std::monostate> Fleet::startProxies() {
  for (uint32_t from = 1; from <= plan_.routers; ++from) {
    for (uint32_t to = 1; to <= plan_.routers; ++to) {
      if (from == to) {
        continue;
      }
      if (const auto opened = startLinkProxies(from, to); isError(opened)) {
        return opened;
      }
    }
  }
  return std::monostate{};
}

Result<std::monostate> Fleet::startLinkProxies(uint32_t from, uint32_t to) {
  Link link;
  const uint32_t port = kFirstProxyPort + from * kProxyPortsPerDaemon + to * 2;
  const std::string proxy_host = plan_.network + ".200:";
  if (to <= plan_.controls) {
    link.rpc = std::make_unique<TcpProxy>(proxy_worker_.context(0), hostOf(to) + ":8070");
    if (const auto listening = link.rpc->listen(proxy_host + std::to_string(port));
        isError(listening)) {
      return listening;
    }
  }
  link.peer = std::make_unique<UdpProxy>(proxy_worker_.context(0), hostOf(to) + ":8090");
  if (const auto listening = link.peer->listen(proxy_host + std::to_string(port + 1));
      isError(listening)) {
    return listening;
  }
  links_[linkName(routerName(from), routerName(to))] = std::move(link);
  return std::monostate{};
}

void Fleet::setLinkCut(const std::string& from, const std::string& to, bool cut) {
  const auto forward = links_.find(linkName(from, to));
  if (forward != links_.end()) {
    forward->second.peer->cuts().forward = cut;
    if (forward->second.rpc) {
      forward->second.rpc->cuts().forward = cut;
    }
  }
  // Responses that `from` sends on connections opened by `to`.
  const auto backward = links_.find(linkName(to, from));
  if (backward != links_.end() && backward->second.rpc) {
    backward->second.rpc->cuts().backward = cut;
  }
}

void Fleet::healAllLinks() {
  for (auto& [name, link] : links_) {
    link.peer->cuts().forward = false;
    if (link.rpc) {
      link.rpc->cuts().forward = false;
      link.rpc->cuts().backward = false;
    }
  }
}

Process* Fleet::find(const std::string& name) {
  const auto found = processes_.find(name);
  return found == processes_.end() ? nullptr : found->second.get();
}

std::vector<std::string> Fleet::names() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Fleet::routerAddresses() const {
  std::vector<std::string> addresses;
  for (uint32_t router = 1; router <= plan_.routers; ++router) {
    addresses.push_back(hostOf(router) + ":8080");
  }
  return addresses;
}

std::vector<std::string> Fleet::controlAddresses() const {
  std::vector<std::string> addresses;
  for (uint32_t router = 1; router <= plan_.controls; ++router) {
    addresses.push_back(hostOf(router) + ":8070");
  }
  return addresses;
}

std::string Fleet::daemonAt(const std::string& control_address) const {
  for (uint32_t router = 1; router <= plan_.controls; ++router) {
    if (hostOf(router) + ":8070" == control_address) {
      return routerName(router);
    }
  }
  return "";
}

std::string Fleet::runnerAddress(const std::string& name) const {
  const auto found = runner_addresses_.find(name);
  return found == runner_addresses_.end() ? "" : found->second;
}

std::string Fleet::dataFolder(const std::string& daemon) const {
  return plan_.folder + "/data/" + daemon;
}

std::string Fleet::logPath(const std::string& name) const {
  return plan_.folder + "/logs/" + name + ".log";
}

std::vector<std::string> Fleet::runLogs() const {
  std::vector<std::string> paths;
  for (const auto& [name, address] : runner_addresses_) {
    paths.push_back(plan_.folder + "/runs/" + name);
  }
  return paths;
}

std::vector<std::string> Fleet::modelNames() const {
  std::vector<std::string> names;
  for (const auto& [name, address] : runner_addresses_) {
    if (name.starts_with("assistant-")) {
      names.push_back(name);
    }
  }
  return names;
}

v1::Configuration Fleet::configuration(uint64_t variant) const {
  v1::Configuration configuration;
  for (const char* name : {"large", "small-1", "small-2"}) {
    v1::Tenant* tenant = configuration.add_tenants();
    tenant->set_name(name);
    tenant->set_weight(1);
  }
  v1::Service* assistant = configuration.add_services();
  assistant->set_name("assistant");
  assistant->set_kind("model");
  v1::Service* booking = configuration.add_services();
  booking->set_name("booking");
  booking->set_kind("plain");
  for (v1::Service* service : {assistant, booking}) {
    service->set_load_unit("requests");
    service->set_cap_factor(1.25);
    service->set_aim_factor(1.1);
    service->set_engine_limit(plan_.engine_limit);
    service->set_queue_length(plan_.queue_length);
  }
  v1::Route* confirmations = configuration.add_routes();
  confirmations->set_service("booking");
  confirmations->set_path_prefix("/confirmations");
  confirmations->set_repeatable(!plan_.non_repeatable_routes);
  confirmations->set_deadline_ms(20'000);
  v1::Route* chats = configuration.add_routes();
  chats->set_service("assistant");
  chats->set_path_prefix("/");
  chats->set_repeatable(true);
  chats->set_deadline_ms(30'000);
  configuration.mutable_sessions()->set_remember_entries(65'536);
  configuration.mutable_sessions()->set_remember_seconds(3600);
  v1::Model* model = configuration.add_models();
  model->set_name("assistant");
  model->set_version(std::to_string(variant));
  return configuration;
}

} // namespace workshatch::scenario
