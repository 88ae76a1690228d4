#include "daemon/role_factory.h"

#include "daemon/group/group_role.h"
#include "daemon/group/redirect_role.h"
#include "daemon/relay/relay_role.h"

namespace workshatch::daemon {

std::unique_ptr<Role> makeRole(std::string_view name, const settings::RelaySettings& settings,
                               WorkerPool& workers, const Clock& clock,
                               const RelayAdapters& adapters) {
  if (name == kRelayRole) {
    return std::make_unique<RelayRole>(settings, workers, clock, adapters);
  }
  if (name != kGroupRole) {
    return nullptr;
  }
  if (settings.data_folder.empty()) {
    return std::make_unique<RedirectRole>(settings, workers, clock);
  }
  return std::make_unique<GroupRole>(settings, workers, clock, adapters);
}

} // namespace workshatch::daemon
