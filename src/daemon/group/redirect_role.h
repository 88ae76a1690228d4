/// @file
/// The role of a machine without a disk, which holds no group replica: sends operators, relays and
/// replicas that join to the group.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/http/http_server.h"
#include "adapters/link/framed_link.h"
#include "adapters/link/link_pool.h"
#include "adapters/logging/log_flusher.h"
#include "adapters/settings/relay_settings.h"
#include "adapters/worker_pool.h"
#include "daemon/group/member_search.h"
#include "daemon/role.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Answers each operator call with a redirect (307): to the leader; while none is known, to the
/// members in rotation; while none of these is known either, to the seeds in rotation. Takes frames
/// at the address at which a replica on this machine would, and tells their senders where the group
/// is. Holds no group state, so that it neither votes nor counts as a replica.
class RedirectRole : public Role {
public:
  RedirectRole(settings::RelaySettings settings, WorkerPool& workers, const Clock& clock);

  Result<std::monostate> start() override;
  void stop(std::function<void()> stopped) override;
  void reload(const settings::RelaySettings& settings) override;

private:
  http::awaitable<void> handle(http::Exchange& exchange);
  http::awaitable<void> finish(std::function<void()> stopped);
  void accept(const std::shared_ptr<link::FramedLink>& link);
  void frameReceived(link::FramedLink& link, const v1::Frame& frame);
  void pollMembers();
  /// @return the operator address to redirect to; empty if none is known.
  std::string redirectTarget();
  std::string nextInRotation(const std::vector<std::string>& operator_addresses);
  std::string operatorAddressOf(const std::string& link_address) const;

  settings::RelaySettings settings_;
  size_t rotation_ = 0;
  boost::asio::io_context& context_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer poll_timer_;
  link::LinkPool links_;
  link::LinkListener listener_;
  MemberSearch search_;
  http::Server operator_server_;
  LogFlusher log_flusher_;
};

} // namespace workshatch::daemon
