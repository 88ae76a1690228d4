/// @file
/// workshatch-bench: measures the latency that the router adds to a request (`latency`), and how
/// state and processing time grow with the size of the fleet (`slopes`).
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <unistd.h>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include "adapters/http/http_client.h"
#include "adapters/program.h"
#include "adapters/system_clock.h"
#include "adapters/worker_pool.h"
#include "core/admission/permit_table.h"
#include "core/control/router_manager.h"
#include "core/routing/engine_owner.h"
#include "core/routing/ownership_cache.h"
#include "core/routing/rendezvous.h"
#include "slopes.h"

DEFINE_string(direct, "", "latency: address of the back end");
DEFINE_string(router, "", "latency: address of the router");
DEFINE_string(path, "/lookups/1", "latency: path at the back end");
DEFINE_string(service, "booking", "latency: service at the router");
DEFINE_string(tenant, "rangers", "latency: tenant");
DEFINE_uint32(requests, 20000, "latency: requests of each kind at each number of connections");
DEFINE_uint64(router_pid, 0, "latency: process of the router, for its processor time and memory");

namespace {

using namespace workshatch;
using namespace workshatch::bench;
using SteadyClock = std::chrono::steady_clock;

constexpr const char* kUsage = "workshatch-bench latency|slopes [flags]";

// ---- latency ------------------------------------------------------------------------------

/// Where requests are sent: to the back end directly, or through the router.
struct Endpoint {
  std::string name;
  std::string address;
  std::string target;
};

struct LatencyMeasurement {
  std::vector<double> micros;
  double seconds = 0;
  uint32_t failed = 0;
};

http::awaitable<void> sendRequests(http::Client& client, const Endpoint& endpoint, uint32_t count,
                                   LatencyMeasurement& measurement) {
  for (uint32_t i = 0; i < count; ++i) {
    http::Request request(http::Verb::get, endpoint.target, 11);
    request.set("X-Tenant", FLAGS_tenant);
    const http::CallOptions options;
    const auto started = SteadyClock::now();
    http::CallResult result = co_await client.call(endpoint.address, std::move(request), options);
    auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result);
    if (response == nullptr || (*response)->status() != http::Status::ok) {
      ++measurement.failed;
      continue;
    }
    co_await (*response)->readAll(1U << 20U);
    measurement.micros.push_back(microsSince(started));
  }
}

LatencyMeasurement measureEndpoint(const Endpoint& endpoint, uint32_t connections,
                                   uint32_t requests) {
  boost::asio::io_context context(1);
  const SystemClock clock;
  http::Client client(context, clock);
  LatencyMeasurement measurement;
  for (uint32_t i = 0; i < connections; ++i) {
    boost::asio::co_spawn(context,
                          sendRequests(client, endpoint, requests / connections, measurement),
                          boost::asio::detached);
  }
  const auto started = SteadyClock::now();
  context.run();
  measurement.seconds = microsSince(started) / 1e6;
  std::sort(measurement.micros.begin(), measurement.micros.end());
  return measurement;
}

/// @param fraction 0 to 1; 0.5 is the median
/// @return microseconds; zero when no request succeeded.
double percentile(const LatencyMeasurement& measurement, double fraction) {
  if (measurement.micros.empty()) {
    return 0;
  }
  const auto index =
      static_cast<size_t>(static_cast<double>(measurement.micros.size() - 1) * fraction);
  return measurement.micros[index];
}

/// @return user and system CPU time of a process, in seconds.
double cpuSeconds(uint64_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  constexpr int kUserField = 14;
  constexpr int kSystemField = 15;
  for (int field = 1; in >> word && field <= kSystemField; ++field) {
    ticks += field == kUserField || field == kSystemField ? std::stod(word) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string residentMemory(uint64_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) {
      return line.substr(line.find_first_of("0123456789"));
    }
  }
  return "unknown";
}

int runLatency() {
  const Endpoint direct{.name = "direct", .address = FLAGS_direct, .target = FLAGS_path};
  const Endpoint router{.name = "router",
                        .address = FLAGS_router,
                        .target = "/v1/services/" + FLAGS_service + FLAGS_path};
  std::printf("router resident memory before load: %s\n", residentMemory(FLAGS_router_pid).c_str());
  std::printf("%-11s %-7s %10s %10s %12s %7s\n", "connections", "side", "p50 us", "p99 us",
              "requests/s", "failed");
  for (const uint32_t connections : {1U, 64U}) {
    double direct_p50 = 0;
    for (int round = 0; round < 3; ++round) {
      for (const Endpoint& endpoint : {direct, router}) {
        const double before = cpuSeconds(FLAGS_router_pid);
        const LatencyMeasurement measurement =
            measureEndpoint(endpoint, connections, FLAGS_requests);
        const double cpu_seconds = cpuSeconds(FLAGS_router_pid) - before;
        const double rate = static_cast<double>(measurement.micros.size()) / measurement.seconds;
        std::printf("%-11u %-7s %10.0f %10.0f %12.0f %7u", connections, endpoint.name.c_str(),
                    percentile(measurement, 0.5), percentile(measurement, 0.99), rate,
                    measurement.failed);
        if (endpoint.name == "direct") {
          direct_p50 = percentile(measurement, 0.5);
          std::printf("\n");
        } else {
          std::printf("   added p50 %.0f us, %.0f requests a core second\n",
                      percentile(measurement, 0.5) - direct_p50,
                      static_cast<double>(measurement.micros.size()) / std::max(cpu_seconds, 1e-3));
        }
      }
    }
  }
  std::printf("router resident memory after load: %s\n", residentMemory(FLAGS_router_pid).c_str());
  return kExitOk;
}

// ---- slopes -------------------------------------------------------------------------------

uint64_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

v1::RouterEntry makeRouterEntry(uint32_t number) {
  v1::RouterEntry entry;
  entry.set_name("entry-" + std::to_string(number));
  entry.set_incarnation(0x123456789ABCDEF0ULL + number);
  entry.set_zone("zone-" + std::to_string(number % 10));
  entry.set_http_address("192.0.2." + std::to_string(number % 250) + ":8080");
  entry.set_peer_address("192.0.2." + std::to_string(number % 250) + ":8090");
  entry.set_state(v1::ROUTER_ACTIVE);
  return entry;
}

v1::View makeView(uint32_t routers) {
  v1::View view;
  view.set_number(routers);
  for (uint32_t i = 0; i < routers; ++i) {
    *view.add_routers() = makeRouterEntry(i);
  }
  return view;
}

v1::Configuration makeConfiguration(uint32_t tenants) {
  v1::Configuration configuration;
  for (uint32_t i = 0; i < tenants; ++i) {
    v1::Tenant* tenant = configuration.add_tenants();
    tenant->set_name("tenant-" + std::to_string(i));
    tenant->set_weight(1);
  }
  for (int i = 0; i < 7; ++i) {
    v1::Service* service = configuration.add_services();
    service->set_name("model-" + std::to_string(i));
    service->set_kind("model");
    service->set_aim_factor(1.1);
    service->set_queue_length(64);
  }
  return configuration;
}

void printRouterSlopes() {
  std::vector<Point> owner_lookups;
  std::vector<Point> view_bytes;
  std::vector<Point> renewals;
  for (const uint32_t routers : {12U, 100U, 390U}) {
    const v1::View view = makeView(routers);
    owner_lookups.push_back({double(routers), medianMicros(200, [&] {
                               (void)routing::ownerOf(view, "runner-77/3", "zone-3");
                             })});
    view_bytes.push_back({double(routers), double(view.ByteSizeLong())});
    control::ReplicatedState state;
    for (uint32_t i = 0; i < routers; ++i) {
      v1::Command command;
      *command.mutable_register_router() = makeRouterEntry(i);
      state.apply(command);
    }
    control::RouterManager router_manager{control::LeaseOptions{}};
    uint32_t next = 0;
    renewals.push_back({double(routers), medianMicros(200, [&] {
                          v1::RenewRequest request;
                          *request.mutable_router() = makeRouterEntry(next++ % routers);
                          request.set_view_in_force(state.view().number());
                          for (int i = 0; i < 7; ++i) {
                            v1::PoolLoad* load = request.add_loads();
                            load->set_service("model-" + std::to_string(i));
                            load->set_load(10);
                          }
                          (void)router_manager.renew(request, state, 1);
                        })});
  }
  printSlope("owner of an engine, by routers", "us", owner_lookups, 390);
  printSlope("view, by routers", "bytes", view_bytes, 390);
  printSlope("renewal at the leader, by routers", "us", renewals, 390);
}

void printEngineSlopes() {
  std::vector<Point> rankings;
  std::vector<Point> list_updates;
  std::vector<Point> cached_lookups;
  const auto view = std::make_shared<const v1::View>(makeView(390));
  routing::OwnershipCache ownership_cache("entry-7");
  for (const uint32_t engines : {40U, 400U, 2800U}) {
    std::vector<admission::EngineStatus> statuses;
    for (uint32_t i = 0; i < engines; ++i) {
      admission::EngineStatus status;
      status.engine = "runner-" + std::to_string(i / 4) + "/" + std::to_string(i % 4);
      status.service = "model-" + std::to_string(i % 7);
      status.owned = i % 390 == 0;
      statuses.push_back(std::move(status));
    }
    std::vector<std::string> names;
    for (const auto& status : statuses) {
      names.push_back(status.engine);
    }
    rankings.push_back({double(engines), medianMicros(5, [&] {
                          (void)routing::rank(
                              7, names,
                              [](const std::string& name) -> const std::string& { return name; });
                        })});
    cached_lookups.push_back({double(engines), medianMicros(2, [&] {
                                for (const std::string& name : names) {
                                  (void)ownership_cache.owns(view, name, "zone-3");
                                }
                              })});
    admission::PermitTable table;
    table.configure(makeConfiguration(380));
    list_updates.push_back({double(engines), medianMicros(2, [&] { table.setEngines(statuses); })});
  }
  printSlope("ranking for one request, by engines of the pool", "us", rankings, 2800);
  printSlope("owned engines under a known view, by engines", "us", cached_lookups, 2800);
  printSlope("new list of engines at a router, by engines", "us", list_updates, 2800);
}

void printStateSlopes() {
  std::vector<Point> moved_sessions;
  for (const uint32_t count : {20'000U, 40'000U, 65'536U}) {
    const uint64_t before = residentBytes();
    admission::MovedSessions sessions;
    sessions.setLimits(count, 1'000'000'000);
    for (uint64_t i = 0; i < count; ++i) {
      sessions.record(i * 0x9E3779B97F4A7C15ULL, "runner-123/3", static_cast<int64_t>(i));
    }
    moved_sessions.push_back({double(count), double(residentBytes() - before)});
  }
  printSlope("moved sessions at one router, by chats", "bytes", moved_sessions, 25'200);
  std::vector<Point> ledger;
  std::vector<Point> snapshot;
  for (const uint32_t count : {20'000U, 60'000U, 120'000U}) {
    const uint64_t before = residentBytes();
    control::Ledger table;
    v1::StateSnapshot saved;
    for (uint32_t i = 0; i < count; ++i) {
      v1::LedgerBeginRequest begin;
      begin.set_key("tenant-17\nbooking\nkey-" + std::to_string(i));
      begin.set_fingerprint("0123456789abcdef");
      begin.set_router("entry-17");
      begin.set_incarnation(0x123456789ABCDEF0ULL);
      begin.set_attempt(0x123456789ABCDEF0ULL + i);
      table.begin(begin, i);
      v1::LedgerFinishRequest finish;
      finish.set_key(begin.key());
      finish.set_attempt(begin.attempt());
      finish.mutable_answer()->set_http_status(200);
      finish.mutable_answer()->set_body(std::string(120, 'x'));
      table.finish(finish);
    }
    ledger.push_back({double(count), double(residentBytes() - before)});
    const auto started = SteadyClock::now();
    table.save(saved);
    snapshot.push_back({double(count), microsSince(started) / 1000});
  }
  printSlope("ledger at a control replica, by entries", "bytes", ledger, 1'000'000);
  printSlope("saving the ledger for a snapshot, by entries", "ms", snapshot, 1'000'000);
  std::vector<Point> configuration;
  std::vector<Point> apply;
  for (const uint32_t tenants : {10U, 100U, 380U}) {
    const v1::Configuration declared_configuration = makeConfiguration(tenants);
    configuration.push_back({double(tenants), double(declared_configuration.ByteSizeLong())});
    admission::PermitTable table;
    apply.push_back(
        {double(tenants), medianMicros(20, [&] { table.configure(declared_configuration); })});
  }
  printSlope("configuration, by tenants", "bytes", configuration, 380);
  printSlope("taking over a configuration at a router, by tenants", "us", apply, 380);
}

void printRequestSlopes() {
  std::vector<Point> permits;
  for (const uint32_t held_permits : {10U, 100U, 1000U}) {
    admission::PermitTable table;
    table.configure(makeConfiguration(380));
    table.setEngines({{.engine = "m/0", .service = "model-0", .owned = true}});
    v1::PoolLoad load;
    load.set_service("model-0");
    load.set_load(1'000'000);
    for (int i = 0; i < 3; ++i) {
      table.setPoolLoads({load});
    }
    uint64_t sequence = 0;
    const auto request_permit = [&] {
      v1::PermitRequest request;
      request.mutable_permit()->set_router("entry-1");
      request.mutable_permit()->set_sequence(++sequence);
      request.set_engine("m/0");
      request.set_service("model-0");
      request.set_tenant("tenant-1");
      request.set_cost(1);
      (void)table.request(request, 0);
    };
    for (uint32_t i = 0; i < held_permits; ++i) {
      request_permit();
    }
    permits.push_back({double(held_permits), medianMicros(200, [&] {
                         request_permit();
                         v1::PermitId permit;
                         permit.set_router("entry-1");
                         permit.set_sequence(sequence);
                         table.release(permit, "m/0");
                       })});
  }
  printSlope("permit and release at an owner, by permits held", "us", permits, 64);
}

int runSlopes() {
  std::printf("| what, by what | measured | slope | fit R2 | at the target size |\n"
              "|---|---|---|---|---|\n");
  printRouterSlopes();
  printEngineSlopes();
  printStateSlopes();
  printRequestSlopes();
  printRelaySlopes();
  return kExitOk;
}

} // namespace

int main(int argc, char** argv) {
  parseProgramFlags(&argc, &argv, kUsage, "bench/main.cc");
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "latency" && !FLAGS_direct.empty() && !FLAGS_router.empty()) {
    return runLatency();
  }
  if (command == "slopes") {
    return runSlopes();
  }
  std::fprintf(stderr, "%s\n", kUsage);
  return kExitUsage;
}
