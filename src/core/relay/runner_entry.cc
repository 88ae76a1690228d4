#include "core/relay/runner_entry.h"

#include <map>
#include <string>
#include <utility>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

size_t dropDuplicates(v1::RunnerList& list) {
  const int before = list.runners_size();
  std::map<std::string, v1::RunnerEntry> kept;
  for (v1::RunnerEntry& entry : *list.mutable_runners()) {
    const auto found = kept.find(entry.id());
    if (found == kept.end()) {
      kept.emplace(entry.id(), std::move(entry));
    } else if (entry.born_ms() > found->second.born_ms()) {
      found->second = std::move(entry);
    }
  }
  list.clear_runners();
  for (auto& [id, entry] : kept) {
    *list.add_runners() = std::move(entry);
  }
  return static_cast<size_t>(before - list.runners_size());
}

uint64_t fingerprintOf(const v1::RunnerEntry& entry) {
  std::string text;
  // Each field is terminated by a byte that occurs in no field.
  for (const std::string* field :
       {&entry.id(), &entry.service(), &entry.address(), &entry.zone(), &entry.version()}) {
    text.append(*field).push_back('\0');
  }
  text.append(std::to_string(entry.slots())).push_back(entry.leaving() ? '-' : '+');
  text.append(std::to_string(entry.born_ms()));
  return routing::fingerprintOf(text);
}

uint64_t fingerprintOf(const v1::RunnerList& list) {
  uint64_t sum = 0;
  for (const v1::RunnerEntry& entry : list.runners()) {
    sum += fingerprintOf(entry);
  }
  return sum;
}

} // namespace workshatch::relay
