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

/// Result of a command that has no reply of its own.
struct Applied {};

using CommandResult = std::variant<Applied, v1::ApplyReply, v1::LedgerReply>;

/// State machine that every control replica computes by applying the committed commands in log
/// order.
///
/// Guarantees: revisions and view numbers never decrease; of several changes with the same expected
/// revision exactly one is accepted; a resent change receives its first answer as long as that is
/// recorded. Deterministic; not safe for concurrent use.
class ReplicatedState {
public:
  CommandResult apply(const v1::Command& command);

  uint64_t revision() const { return revision_; }
  const v1::Configuration& configuration() const { return configuration_; }
  const v1::View& view() const { return view_; }
  size_t ledgerEntries() const { return ledger_.size(); }

  /// @return the router's entry in the view, or null.
  const v1::RouterEntry* findRouter(const std::string& name) const;

  /// @return the whole state as a serialized snapshot.
  std::string save() const;
  /// Replaces the state by a snapshot.
  /// @return false when `bytes` is not a snapshot.
  bool restore(const std::string& bytes);

private:
  v1::ApplyReply applyChange(const v1::ApplyRequest& request);
  v1::ApplyReply drainRunner(const v1::DrainRunnerRequest& request);
  v1::LedgerReply beginLedger(const v1::LedgerBeginRequest& request);
  void registerRouter(const v1::RouterEntry& router);
  void dropRouters(const v1::DropRouters& drop);
  void recordChange(v1::AppliedChange change);
  /// @return the recorded change with this request ID, or null.
  const v1::AppliedChange* findChange(const std::string& request_id) const;
  void removeExpiredLedgerEntries();

  uint64_t revision_ = 0;
  uint64_t clock_ms_ = 0;
  v1::Configuration configuration_;
  v1::View view_;
  Ledger ledger_;
  /// Recorded changes by request ID; `change_order_` has the IDs, oldest first.
  std::unordered_map<std::string, v1::AppliedChange> changes_;
  std::deque<std::string> change_order_;
};

} // namespace workshatch::control
