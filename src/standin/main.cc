/// @file
/// workshatch-standin: runs one stand-in process for tests: a model runner, a plain service or the
/// platform.
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"
#include "adapters/logging/json_log.h"
#include "adapters/process_signals.h"
#include "adapters/program.h"
#include "standin/model_runner.h"
#include "standin/plain_service.h"
#include "standin/platform.h"

DEFINE_string(kind, "", "\"model\", \"service\" or \"platform\"");
DEFINE_string(listen, "", "address to listen on, \"ip:port\"");
DEFINE_string(name, "standin", "name of the runner");
DEFINE_uint32(engines, 1, "model: number of engines");
DEFINE_uint32(step_ms, 5, "model: time between tokens, milliseconds");
DEFINE_uint32(prefill_us_per_token, 20, "model: time for a prompt token that is not cached");
DEFINE_uint32(max_batch, 0, "model: streams an engine works on at once; 0: no limit");
DEFINE_uint64(cache_blocks, 4096, "model: blocks of 16 tokens in the prefix cache");
DEFINE_int64(report_lag_ms, 500, "model: lag of load reports");
DEFINE_bool(checks_fencing, true, "model: refuse orders with an older fencing token");
DEFINE_string(run_log, "", "model, service: file that each run is noted in");
DEFINE_string(machines, "", "platform: JSON file with the list of machines");
DEFINE_int64(lag_ms, 0, "platform: lag of the list");
DEFINE_uint32(weights_per_second, 2, "platform: rate of the weight store");

namespace {

using namespace workshatch;

constexpr const char* kUsage = "workshatch-standin --kind KIND --listen IP:PORT [flags]\n"
                               "A stand-in for a back end or the platform, for trials and tests.";

standin::ModelRunnerOptions modelOptions() {
  standin::ModelRunnerOptions options;
  options.name = FLAGS_name;
  options.engines = FLAGS_engines;
  options.step_ms = FLAGS_step_ms;
  options.prefill_us_per_token = FLAGS_prefill_us_per_token;
  options.max_batch = FLAGS_max_batch;
  options.cache_blocks = FLAGS_cache_blocks;
  options.report_lag_ms = FLAGS_report_lag_ms;
  options.checks_fencing = FLAGS_checks_fencing;
  options.run_log = FLAGS_run_log;
  return options;
}

nlohmann::json readMachines() {
  std::ifstream in(FLAGS_machines);
  const nlohmann::json list = nlohmann::json::parse(in, nullptr, false);
  return list.is_array() ? list : nlohmann::json::array();
}

/// @return the handler of the stand-in that --kind selects; null if the kind is unknown.
http::Server::Handler makeHandler() {
  if (FLAGS_kind == "model") {
    auto runner = std::make_shared<standin::ModelRunner>(modelOptions());
    return [runner](http::Exchange& exchange) { return runner->handle(exchange); };
  }
  if (FLAGS_kind == "service") {
    auto service = std::make_shared<standin::PlainService>(FLAGS_name, FLAGS_run_log);
    return [service](http::Exchange& exchange) { return service->handle(exchange); };
  }
  if (FLAGS_kind == "platform") {
    auto platform =
        std::make_shared<standin::Platform>(readMachines(), FLAGS_lag_ms, FLAGS_weights_per_second);
    return [platform](http::Exchange& exchange) { return platform->handle(exchange); };
  }
  return nullptr;
}

} // namespace

int main(int argc, char** argv) {
  parseProgramFlags(&argc, &argv, kUsage, "standin/main.cc");
  const http::Server::Handler handler = makeHandler();
  if (handler == nullptr || FLAGS_listen.empty()) {
    std::fprintf(stderr, "workshatch-standin: expected --kind (model, service or platform) and "
                         "--listen; see --help\n");
    return kExitUsage;
  }
  blockHandledSignals();
  logging::initialize(FLAGS_name);
  WorkerPool workers(1);
  http::ServerLimits limits;
  limits.connections = 100'000;
  http::Server server(workers, limits, handler, [](http::Status status, const std::string& reason) {
    return http::makeProblem(http::Problem{.status = status, .code = "standin", .detail = reason});
  });
  const auto listening = server.listen(FLAGS_listen);
  if (isError(listening)) {
    std::fprintf(stderr, "workshatch-standin: %s\n", errorOf(listening).message.c_str());
    return kExitFailure;
  }
  workers.start();
  logging::write(logging::Severity::Info, "started", {{"kind", FLAGS_kind}});
  awaitStopSignal();
  workers.stop();
  return kExitOk;
}
