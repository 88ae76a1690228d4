#include "core/relay/runner_entry.h"

#include <string>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

uint64_t fingerprintOf(const v1::RunnerList& list) {
  std::string text;
  constexpr size_t kBytesOfEntry = 64;
  text.reserve(kBytesOfEntry * static_cast<size_t>(list.runners_size()));
  for (const v1::RunnerEntry& entry : list.runners()) {
    // A byte that no field holds ends each of them.
    for (const std::string* field :
         {&entry.id(), &entry.service(), &entry.address(), &entry.zone()}) {
      text.append(*field).push_back('\0');
    }
    text.append(std::to_string(entry.slots())).push_back(entry.leaving() ? '-' : '+');
    text.append(std::to_string(entry.born_ms())).push_back('\0');
  }
  return routing::fingerprintOf(text);
}

} // namespace workshatch::relay
