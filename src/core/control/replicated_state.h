/// @file
/// The replicated state machine: configuration, view of routers and ledger.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>

#include "core/control/ledger.h"
#include "workshatch/v1/control.pb.h"

namespace workshatch::control {

/// The command changed something that has no answer of its own.
struct Applied {};

using CommandResult = std::variant<Applied, v1::ApplyReply, v1::LedgerReply>;

/// What every control replica computes from the committed commands, in their order.
///
/// Guarantees: revisions and view numbers only grow; of changes with equal expected revisions
/// exactly one is taken; a resent change gets its first answer as long as it is remembered.
/// Deterministic; not safe for concurrent use.
class ReplicatedState {
public:
  CommandResult apply(const v1::Command& command);

  uint64_t revision() const { return revision_; }
  const v1::Configuration& configuration() const { return configuration_; }
  const v1::View& view() const { return view_; }
  size_t ledgerEntries() const { return ledger_.size(); }

  /// @return the router's entry in the view, or null.
  const v1::RouterEntry* findRouter(const std::string& name) const;

  std::string save() const;
  /// @return false when the bytes are not a snapshot.
  bool restore(const std::string& bytes);

private:
  v1::ApplyReply applyChange(const v1::ApplyRequest& request);
  v1::ApplyReply drainRunner(const v1::DrainRunnerRequest& request);
  v1::LedgerReply beginLedger(const v1::LedgerBeginRequest& request);
  void registerRouter(const v1::RouterEntry& router);
  void dropRouters(const v1::DropRouters& drop);
  void recordChange(v1::AppliedChange change);
  /// First answer to `request_id`, or null.
  const v1::AppliedChange* findChange(const std::string& request_id) const;
  void removeExpiredLedgerEntries();

  uint64_t revision_ = 0;
  uint64_t clock_ms_ = 0;
  v1::Configuration configuration_;
  v1::View view_;
  Ledger ledger_;
  /// Answers by request id, oldest first in `change_order_`.
  std::unordered_map<std::string, v1::AppliedChange> changes_;
  std::deque<std::string> change_order_;
};

} // namespace workshatch::control
