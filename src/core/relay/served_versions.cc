#include "core/relay/served_versions.h"

#include <algorithm>
#include <set>
#include <utility>

namespace workshatch::relay {

namespace {

using Services = google::protobuf::RepeatedPtrField<v1::ServiceVersions>;

/// @return the position of the service, or the one at which it would be inserted.
int positionOf(const Services& services, const std::string& service) {
  const auto found =
      std::lower_bound(services.begin(), services.end(), service,
                       [](const v1::ServiceVersions& entry, const std::string& name) {
                         return entry.service() < name;
                       });
  return static_cast<int>(found - services.begin());
}

bool isAt(const Services& services, int position, const std::string& service) {
  return position < services.size() && services.Get(position).service() == service;
}

/// @return the position of the version; -1: the service does not have it.
int indexOf(const v1::ServiceVersions& service, const std::string& version) {
  const auto& versions = service.versions();
  const auto found =
      std::find_if(versions.begin(), versions.end(),
                   [&](const v1::ServedVersion& entry) { return entry.version() == version; });
  return found == versions.end() ? -1 : static_cast<int>(found - versions.begin());
}

/// @param state state of the version if it is new
bool announce(Services& services, const v1::VersionOrder& order, v1::VersionState state) {
  const int position = positionOf(services, order.service());
  if (!isAt(services, position, order.service())) {
    if (services.size() >= kMaxServedServices) {
      return false;
    }
    services.Add()->set_service(order.service());
    std::rotate(services.begin() + position, services.end() - 1, services.end());
  }
  v1::ServiceVersions& service = *services.Mutable(position);
  const bool known = indexOf(service, order.version()) >= 0;
  if (known || service.versions_size() >= kMaxServedVersions) {
    return false;
  }
  v1::ServedVersion* added = service.add_versions();
  added->set_version(order.version());
  added->set_state(state);
  return true;
}

/// @return whether the step may change a version in this state.
bool applies(v1::VersionStep step, v1::VersionState state) {
  switch (step) {
  case v1::VERSION_STEP_SERVE:
    return state == v1::VERSION_ANNOUNCED || state == v1::VERSION_STOPPED;
  case v1::VERSION_STEP_STOP:
    return state == v1::VERSION_ANNOUNCED || state == v1::VERSION_SERVING;
  case v1::VERSION_STEP_RETIRE:
    return state == v1::VERSION_STOPPED;
  default:
    return false;
  }
}

/// Changes the state of a version that the list contains, or removes it.
bool changeState(Services& services, const v1::VersionOrder& order) {
  const int position = positionOf(services, order.service());
  if (!isAt(services, position, order.service())) {
    return false;
  }
  v1::ServiceVersions& service = *services.Mutable(position);
  const int index = indexOf(service, order.version());
  if (index < 0 || !applies(order.step(), service.versions(index).state())) {
    return false;
  }
  if (order.step() != v1::VERSION_STEP_RETIRE) {
    const bool serves = order.step() == v1::VERSION_STEP_SERVE;
    service.mutable_versions(index)->set_state(serves ? v1::VERSION_SERVING : v1::VERSION_STOPPED);
    return true;
  }
  service.mutable_versions()->DeleteSubrange(index, 1);
  if (service.versions().empty()) {
    services.DeleteSubrange(position, 1);
  }
  return true;
}

const char* nameOf(v1::VersionState state) {
  switch (state) {
  case v1::VERSION_ANNOUNCED:
    return "announced";
  case v1::VERSION_SERVING:
    return "serving";
  case v1::VERSION_STOPPED:
    return "stopped";
  default:
    return "unknown";
  }
}

} // namespace

bool applyVersionOrders(v1::ServedVersionList& list, const v1::VersionOrders& orders) {
  Services& services = *list.mutable_services();
  std::set<std::string> new_services;
  for (const v1::VersionOrder& order : orders.orders()) {
    if (findServiceVersions(list, order.service()) == nullptr) {
      new_services.insert(order.service());
    }
  }
  bool changed = false;
  for (const v1::VersionOrder& order : orders.orders()) {
    const bool of_new_service = new_services.contains(order.service());
    const bool applied =
        order.step() == v1::VERSION_STEP_ANNOUNCE
            ? announce(services, order,
                       of_new_service ? v1::VERSION_SERVING : v1::VERSION_ANNOUNCED)
            : changeState(services, order);
    changed = changed || applied;
  }
  return changed;
}

const v1::ServiceVersions* findServiceVersions(const v1::ServedVersionList& list,
                                               const std::string& service) {
  const int position = positionOf(list.services(), service);
  return isAt(list.services(), position, service) ? &list.services(position) : nullptr;
}

v1::VersionState stateOf(const v1::ServedVersionList& list, const std::string& service,
                         const std::string& version) {
  const v1::ServiceVersions* entry = findServiceVersions(list, service);
  const int index = entry == nullptr ? -1 : indexOf(*entry, version);
  return index < 0 ? v1::VERSION_STATE_UNKNOWN : entry->versions(index).state();
}

std::optional<std::string> soleServedVersion(const v1::ServedVersionList& list,
                                             const std::string& service) {
  const v1::ServiceVersions* entry = findServiceVersions(list, service);
  return entry != nullptr && entry->versions_size() == 1
             ? std::optional(entry->versions(0).version())
             : std::nullopt;
}

uint64_t countVersions(const v1::ServiceVersions& service, v1::VersionState state) {
  const auto& versions = service.versions();
  return static_cast<uint64_t>(
      std::count_if(versions.begin(), versions.end(),
                    [state](const v1::ServedVersion& entry) { return entry.state() == state; }));
}

std::vector<std::string> describeServedVersions(const v1::ServedVersionList& list) {
  std::vector<std::string> lines;
  for (const v1::ServiceVersions& service : list.services()) {
    std::string line = service.service() + ":";
    for (const v1::ServedVersion& entry : service.versions()) {
      line += " " + entry.version() + " " + nameOf(entry.state()) + ",";
    }
    line.pop_back();
    lines.push_back(std::move(line));
  }
  return lines;
}

const char* nameOf(v1::VersionStep step) {
  switch (step) {
  case v1::VERSION_STEP_ANNOUNCE:
    return "announce";
  case v1::VERSION_STEP_SERVE:
    return "serve";
  case v1::VERSION_STEP_STOP:
    return "stop";
  case v1::VERSION_STEP_RETIRE:
    return "retire";
  default:
    return "unknown";
  }
}

} // namespace workshatch::relay
