/// @file
/// workshatch: the operators' command-line tool.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>
#include <nlohmann/json.hpp>

#include "adapters/http/blocking_client.h"
#include "adapters/program.h"
#include "adapters/rpc/operator_client.h"
#include "adapters/settings/settings_file.h"
#include "cli/log_commands.h"

DEFINE_string(control, "", "addresses of control replicas, \"ip:port\", separated by commas");
DEFINE_string(token_file, "", "file with the operator's token");
DEFINE_string(output, "text", "\"text\" or \"json\"");
DEFINE_int64(expected_revision, -1, "apply: the revision that the change is made against");
DEFINE_string(request_id, "", "apply, drain: id of the change, the same when it is sent again");
DEFINE_int64(timeout_ms, 15000, "how long to look for the control leader");
DEFINE_string(router, "", "resolve: address of any router");
DEFINE_string(service, "", "resolve: name of the service");
DEFINE_string(session, "", "resolve: name of the session");
DEFINE_string(tenant, "", "resolve: name of the tenant");
DEFINE_bool(undo, false, "drain: take the runner back into service");
DEFINE_uint64(old_id, 0, "control-replace: identity of the replica to remove");
DEFINE_uint64(new_id, 0, "control-replace: identity of the replica that takes its place");
DEFINE_string(new_address, "", "control-replace: rpc_address of the new replica");

namespace {

using namespace workshatch;
using nlohmann::json;

constexpr const char* kUsage =
    "workshatch COMMAND [ARGUMENT] [flags]\n\n"
    "  check DIR            check the declarations in DIR\n"
    "  apply DIR            make the declarations in DIR the configuration\n"
    "  diff DIR             compare the declarations in DIR with the configuration\n"
    "  get                  print the configuration and its revision\n"
    "  status               print control replicas, routers and what each has in force\n"
    "  resolve              ask a router which addresses a caller should use\n"
    "  drain RUNNER         give a runner no new work (--undo: take it back)\n"
    "  control-replace      replace a control replica; waits until the new one votes\n"
    "  trace REQUEST [FILE...]  the way of one try, or by identity of all tries of a request,\n"
    "                       through the logs of all processes\n"
    "  outcomes [FILE...]   how requests and attempts ended, by the logs\n"
    "  evacuations [FILE...]  which zones are evacuated, since when, by the logs\n"
    "  quarantine [FILE...]  which requests are in quarantine, since when, by the logs";

constexpr std::chrono::milliseconds kReplacePollInterval{100};

int usageError(const std::string& message) {
  std::fprintf(stderr, "workshatch: %s\n", message.c_str());
  return kExitUsage;
}

int printErrors(const settings::ValidationErrors& errors) {
  for (const settings::ValidationError& error : errors) {
    std::fprintf(stderr, "%s\n", settings::describe(error).c_str());
  }
  return kExitUsage;
}

int reportError(const Error& error) {
  std::fprintf(stderr, "workshatch: %s\n", error.message.c_str());
  return kExitUnavailable;
}

std::string toJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.add_whitespace = true;
  std::string text;
  // Serializing a message whose type is compiled into the program cannot fail.
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

std::vector<std::string> splitAddresses(const std::string& text) {
  std::vector<std::string> addresses;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    if (!part.empty()) {
      addresses.push_back(part);
    }
  }
  return addresses;
}

std::string readToken() {
  std::ifstream in(FLAGS_token_file);
  std::string token;
  std::getline(in, token);
  return token;
}

rpc::OperatorClient makeClient() {
  return {splitAddresses(FLAGS_control), readToken(), FLAGS_timeout_ms};
}

std::string requestId() {
  if (!FLAGS_request_id.empty()) {
    return FLAGS_request_id;
  }
  std::random_device device;
  return "cli-" + std::to_string(device()) + "-" + std::to_string(device());
}

int printApplyReply(const v1::ApplyReply& reply) {
  if (FLAGS_output == "json") {
    std::printf("%s\n", toJson(reply).c_str());
  }
  const bool text = FLAGS_output != "json";
  const auto revision = static_cast<unsigned long long>(reply.revision());
  switch (reply.state()) {
  case v1::APPLY_ACCEPTED:
    if (text) {
      std::printf("accepted: revision %llu is in force on every router\n", revision);
    }
    return kExitOk;
  case v1::APPLY_PENDING:
    if (text) {
      std::string names;
      for (const std::string& name : reply.waiting_for()) {
        names += " " + name;
      }
      std::printf("pending: revision %llu is committed; not yet in force on:%s\n", revision,
                  names.c_str());
    }
    return kExitPending;
  case v1::APPLY_CONFLICT:
    std::fprintf(stderr, "conflict: the configuration is at revision %llu\n", revision);
    return kExitConflict;
  case v1::APPLY_REQUEST_ID_REUSED:
    std::fprintf(stderr, "conflict: --request_id was used before with another change\n");
    return kExitConflict;
  default:
    std::fprintf(stderr, "workshatch: unexpected reply\n");
    return kExitFailure;
  }
}

int runCheck(const std::string& folder) {
  const auto loaded = settings::loadDeclarations(folder);
  if (const auto* errors = std::get_if<settings::ValidationErrors>(&loaded)) {
    return printErrors(*errors);
  }
  std::printf("%s: no faults\n", folder.c_str());
  return kExitOk;
}

int runApply(const std::string& folder) {
  const auto loaded = settings::loadDeclarations(folder);
  if (const auto* errors = std::get_if<settings::ValidationErrors>(&loaded)) {
    return printErrors(*errors);
  }
  rpc::OperatorClient client = makeClient();
  v1::ApplyRequest request;
  *request.mutable_configuration() = std::get<v1::Configuration>(loaded);
  request.set_request_id(requestId());
  if (FLAGS_expected_revision >= 0) {
    request.set_expected_revision(static_cast<uint64_t>(FLAGS_expected_revision));
  } else {
    const auto current = client.get();
    if (isError(current)) {
      return reportError(errorOf(current));
    }
    request.set_expected_revision(std::get<v1::GetReply>(current).revision());
  }
  const auto reply = client.apply(request);
  return isError(reply) ? reportError(errorOf(reply))
                        : printApplyReply(std::get<v1::ApplyReply>(reply));
}

int runDiff(const std::string& folder) {
  const auto loaded = settings::loadDeclarations(folder);
  if (const auto* errors = std::get_if<settings::ValidationErrors>(&loaded)) {
    return printErrors(*errors);
  }
  const auto current = makeClient().get();
  if (isError(current)) {
    return reportError(errorOf(current));
  }
  std::string report;
  google::protobuf::util::MessageDifferencer differencer;
  differencer.ReportDifferencesToString(&report);
  const bool same = differencer.Compare(std::get<v1::GetReply>(current).configuration(),
                                        std::get<v1::Configuration>(loaded));
  std::printf("%s", same ? "no difference\n" : report.c_str());
  return same ? kExitOk : kExitFailure;
}

int runGet() {
  const auto reply = makeClient().get();
  if (isError(reply)) {
    return reportError(errorOf(reply));
  }
  std::printf("%s\n", toJson(std::get<v1::GetReply>(reply)).c_str());
  return kExitOk;
}

void printStatus(const v1::StatusReply& status) {
  std::printf("leader %llu, term %llu, commit %llu, revision %llu, view %llu (settled %llu), "
              "ledger entries %llu\n",
              static_cast<unsigned long long>(status.id()),
              static_cast<unsigned long long>(status.term()),
              static_cast<unsigned long long>(status.commit_index()),
              static_cast<unsigned long long>(status.revision()),
              static_cast<unsigned long long>(status.view_number()),
              static_cast<unsigned long long>(status.settled_view()),
              static_cast<unsigned long long>(status.ledger_entries()));
  for (const v1::MemberStatus& member : status.members()) {
    std::printf("replica %llu at %s: %s, has %llu\n",
                static_cast<unsigned long long>(member.member().id()),
                member.member().address().c_str(), member.member().learner() ? "learner" : "voter",
                static_cast<unsigned long long>(member.match_index()));
  }
  for (const v1::RouterStatus& router : status.routers()) {
    std::printf("router %s in %s at %s: revision %llu, view %llu, lease %llu ms%s\n",
                router.router().name().c_str(), router.router().zone().c_str(),
                router.router().http_address().c_str(),
                static_cast<unsigned long long>(router.revision_in_force()),
                static_cast<unsigned long long>(router.view_in_force()),
                static_cast<unsigned long long>(router.lease_left_ms()),
                router.router().state() == v1::ROUTER_DRAINING ? ", draining" : "");
  }
}

int runStatus() {
  const auto reply = makeClient().status();
  if (isError(reply)) {
    return reportError(errorOf(reply));
  }
  if (FLAGS_output == "json") {
    std::printf("%s\n", toJson(std::get<v1::StatusReply>(reply)).c_str());
  } else {
    printStatus(std::get<v1::StatusReply>(reply));
  }
  return kExitOk;
}

int runResolve() {
  if (FLAGS_router.empty() || FLAGS_service.empty()) {
    return usageError("resolve: expected --router and --service");
  }
  const auto body =
      http::blockingGet(FLAGS_router, "/v1/endpoints?service=" + FLAGS_service +
                                          "&session=" + FLAGS_session + "&tenant=" + FLAGS_tenant);
  if (isError(body)) {
    return reportError(errorOf(body));
  }
  const std::string& text = std::get<std::string>(body);
  if (FLAGS_output == "json") {
    std::printf("%s\n", text.c_str());
    return kExitOk;
  }
  const json response = json::parse(text, nullptr, false);
  for (const json& endpoint : response.value("endpoints", json::array())) {
    std::printf("%s %s\n", endpoint.value("address", "").c_str(),
                endpoint.value("zone", "").c_str());
  }
  return kExitOk;
}

int runDrain(const std::string& runner) {
  v1::DrainRunnerRequest request;
  request.set_runner(runner);
  request.set_draining(!FLAGS_undo);
  request.set_request_id(requestId());
  const auto reply = makeClient().drainRunner(request);
  return isError(reply) ? reportError(errorOf(reply))
                        : printApplyReply(std::get<v1::ApplyReply>(reply));
}

int runControlReplace() {
  if (FLAGS_old_id == 0 || FLAGS_new_id == 0 || FLAGS_new_address.empty()) {
    return usageError("control-replace: expected --old_id, --new_id and --new_address");
  }
  v1::ReplaceReplicaRequest request;
  request.set_old_id(FLAGS_old_id);
  request.set_new_id(FLAGS_new_id);
  request.set_new_address(FLAGS_new_address);
  rpc::OperatorClient client = makeClient();
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
  std::string progress;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto reply = client.replaceReplica(request);
    if (isError(reply)) {
      return reportError(errorOf(reply));
    }
    const auto& step = std::get<v1::ReplaceReplicaReply>(reply);
    if (!step.error().empty()) {
      std::fprintf(stderr, "workshatch: control-replace: %s\n", step.error().c_str());
      return kExitUsage;
    }
    if (step.progress() != progress) {
      progress = step.progress();
      std::printf("%s\n", progress.c_str());
    }
    if (step.done()) {
      return kExitOk;
    }
    std::this_thread::sleep_for(kReplacePollInterval);
  }
  std::fprintf(stderr, "workshatch: not done in time; the same command goes on where it stopped\n");
  return kExitPending;
}

} // namespace

int main(int argc, char** argv) {
  parseProgramFlags(&argc, &argv, kUsage, "cli/main.cc");
  if (argc < 2) {
    return usageError("expected a command; see --help");
  }
  const std::string command = argv[1];
  const std::string argument = argc > 2 ? argv[2] : "";
  if (command == "trace" && argument.empty()) {
    return usageError("trace: expected a request's id; see --help");
  }
  if (command == "trace") {
    return cli::runTrace(argument, {argv + 3, argv + argc});
  }
  if (command == "outcomes") {
    return cli::runOutcomes({argv + 2, argv + argc});
  }
  if (command == "evacuations") {
    return cli::runEvacuations({argv + 2, argv + argc});
  }
  if (command == "quarantine") {
    return cli::runQuarantine({argv + 2, argv + argc});
  }
  const bool needs_argument =
      command == "check" || command == "apply" || command == "diff" || command == "drain";
  if (needs_argument && argument.empty()) {
    return usageError(command + ": expected an argument; see --help");
  }
  const bool needs_control = command != "check" && command != "resolve";
  if (needs_control && (FLAGS_control.empty() || FLAGS_token_file.empty())) {
    return usageError(command + ": expected --control and --token_file");
  }
  if (command == "check") {
    return runCheck(argument);
  }
  if (command == "apply") {
    return runApply(argument);
  }
  if (command == "diff") {
    return runDiff(argument);
  }
  if (command == "get") {
    return runGet();
  }
  if (command == "status") {
    return runStatus();
  }
  if (command == "resolve") {
    return runResolve();
  }
  if (command == "drain") {
    return runDrain(argument);
  }
  if (command == "control-replace") {
    return runControlReplace();
  }
  return usageError("no command \"" + command + "\"; see --help");
}
