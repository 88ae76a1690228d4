#include "daemon/control/control_services.h"

#include <utility>

#include <grpcpp/server_builder.h>
#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "adapters/rpc/channels.h"
#include "core/check.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::daemon {

namespace {

using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

constexpr int kMaxMessageBytes = 256 * 1024 * 1024;

/// Rejects calls that do not carry the expected key.
class CallAuthenticator {
public:
  CallAuthenticator(std::string key, std::atomic<uint64_t>& refused)
      : key_(std::move(key)), refused_(refused) {}

  /// @return a finished reactor if the call was rejected, otherwise null.
  Reactor* rejectUnauthenticated(Context* context) const {
    if (rpc::hasKey(*context, key_)) {
      return nullptr;
    }
    ++refused_;
    logging::write(logging::Severity::Warning, "call_refused",
                   {{"peer", rpc::peerOf(*context)}, {"reason", "wrong key"}});
    Reactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "wrong key or token"));
    return reactor;
  }

private:
  const std::string key_;
  std::atomic<uint64_t>& refused_;
};

/// Status for calls to a replica that is stopping or cannot write to its disk. Callers retry at
/// another replica.
grpc::Status unavailableStatus() {
  return {grpc::StatusCode::UNAVAILABLE, "this replica ends or cannot write; ask another one"};
}

/// @return a callback that stores the reply in `target` and finishes the call.
template <typename Reply> CallCallback<Reply> finishWith(Reactor* reactor, Reply* target) {
  return [reactor, target](CallOutcome<Reply> outcome) {
    if (Reply* reply = std::get_if<Reply>(&outcome)) {
      *target = std::move(*reply);
      reactor->Finish(grpc::Status::OK);
    } else {
      reactor->Finish(unavailableStatus());
    }
  };
}

/// Converts the outcome of a proposal to the reply of a ledger call.
v1::LedgerReply ledgerReply(const ProposalOutcome& outcome) {
  if (const auto* other = std::get_if<NotLeader>(&outcome)) {
    v1::LedgerReply reply;
    reply.set_not_leader(true);
    reply.set_leader_address(other->leader_address);
    return reply;
  }
  return std::get<v1::LedgerReply>(std::get<control::CommandResult>(outcome));
}

class ControlImpl : public v1::Control::CallbackService {
public:
  ControlImpl(ControlReplica& replica, CallAuthenticator authenticator)
      : replica_(replica), authenticator_(std::move(authenticator)) {}

  Reactor* Renew(Context* context, const v1::RenewRequest* request,
                 v1::RenewReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.renew(*request, finishWith(reactor, reply));
    return reactor;
  }

  Reactor* Depart(Context* context, const v1::DepartRequest* request,
                  v1::DepartReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.depart(request->router(), finishWith(reactor, reply));
    return reactor;
  }

  Reactor* LedgerBegin(Context* context, const v1::LedgerBeginRequest* request,
                       v1::LedgerReply* reply) override {
    v1::Command command;
    *command.mutable_ledger_begin() = *request;
    return proposeLedger(context, std::move(command), reply);
  }

  Reactor* LedgerFinish(Context* context, const v1::LedgerFinishRequest* request,
                        v1::LedgerReply* reply) override {
    v1::Command command;
    *command.mutable_ledger_finish() = *request;
    return proposeLedger(context, std::move(command), reply);
  }

  Reactor* LedgerAbort(Context* context, const v1::LedgerAbortRequest* request,
                       v1::LedgerReply* reply) override {
    v1::Command command;
    *command.mutable_ledger_abort() = *request;
    return proposeLedger(context, std::move(command), reply);
  }

private:
  Reactor* proposeLedger(Context* context, v1::Command command, v1::LedgerReply* reply) {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    const CallCallback<v1::LedgerReply> finish = finishWith(reactor, reply);
    replica_.proposeLedgerChange(
        std::move(command), [finish](const CallOutcome<ProposalOutcome>& outcome) {
          if (const auto* answered = std::get_if<ProposalOutcome>(&outcome)) {
            finish(ledgerReply(*answered));
          } else {
            finish(Unavailable{});
          }
        });
    return reactor;
  }

  ControlReplica& replica_;
  const CallAuthenticator authenticator_;
};

class OperatorImpl : public v1::Operator::CallbackService {
public:
  OperatorImpl(ControlReplica& replica, CallAuthenticator authenticator)
      : replica_(replica), authenticator_(std::move(authenticator)) {}

  Reactor* Apply(Context* context, const v1::ApplyRequest* request,
                 v1::ApplyReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.apply(*request, finishWith(reactor, reply));
    return reactor;
  }

  Reactor* Get(Context* context, const v1::GetRequest* /*request*/, v1::GetReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.get(finishWith(reactor, reply));
    return reactor;
  }

  Reactor* Status(Context* context, const v1::StatusRequest* /*request*/,
                  v1::StatusReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.status(finishWith(reactor, reply));
    return reactor;
  }

  Reactor* DrainRunner(Context* context, const v1::DrainRunnerRequest* request,
                       v1::ApplyReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.drainRunner(*request, finishWith(reactor, reply));
    return reactor;
  }

  Reactor* ReplaceReplica(Context* context, const v1::ReplaceReplicaRequest* request,
                          v1::ReplaceReplicaReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.replaceReplica(*request, finishWith(reactor, reply));
    return reactor;
  }

private:
  ControlReplica& replica_;
  const CallAuthenticator authenticator_;
};

class PeerImpl : public v1::ControlPeer::CallbackService {
public:
  PeerImpl(ControlReplica& replica, CallAuthenticator authenticator)
      : replica_(replica), authenticator_(std::move(authenticator)) {}

  Reactor* Deliver(Context* context, const v1::RaftBatch* request,
                   v1::DeliverReply* /*reply*/) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    replica_.deliver(*request);
    Reactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  Reactor* Hello(Context* context, const v1::HelloRequest* request,
                 v1::HelloReply* reply) override {
    if (Reactor* refused = authenticator_.rejectUnauthenticated(context)) {
      return refused;
    }
    Reactor* reactor = context->DefaultReactor();
    replica_.hello(*request, finishWith(reactor, reply));
    return reactor;
  }

private:
  ControlReplica& replica_;
  const CallAuthenticator authenticator_;
};

} // namespace

class ControlServices::Impl {
public:
  Impl(ControlReplica& replica, const ServiceKeys& keys)
      : control(replica, CallAuthenticator(keys.control_key, refused)),
        operators(replica, CallAuthenticator(keys.operator_token, refused)),
        peers(replica, CallAuthenticator(keys.control_key, refused)) {}

  std::atomic<uint64_t> refused{0};
  ControlImpl control;
  OperatorImpl operators;
  PeerImpl peers;
  std::unique_ptr<grpc::Server> server;
};

ControlServices::ControlServices(ControlReplica& replica, ServiceKeys keys)
    : impl_(std::make_unique<Impl>(replica, keys)) {}

ControlServices::~ControlServices() {
  if (impl_->server) {
    logging::write(logging::Severity::Info, "services_ending", nlohmann::json::object());
    impl_->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
    impl_->server->Wait();
    logging::write(logging::Severity::Info, "services_ended", nlohmann::json::object());
  }
}

uint64_t ControlServices::refusedCalls() const { return impl_->refused.load(); }

Result<std::monostate> ControlServices::listen(const std::string& address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.RegisterService(&impl_->control);
  builder.RegisterService(&impl_->operators);
  builder.RegisterService(&impl_->peers);
  impl_->server = builder.BuildAndStart();
  if (!impl_->server || port == 0) {
    return Error{"cannot listen on " + address};
  }
  return std::monostate{};
}

} // namespace workshatch::daemon
