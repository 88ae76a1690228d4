#include "core/relay/run_end.h"

namespace workshatch::relay {

const char* nameOf(RunEnd end) {
  switch (end) {
  case RunEnd::Unknown:
    return "unknown";
  case RunEnd::Answered:
    return "answered";
  case RunEnd::ProcessEnded:
    return "process_ended";
  case RunEnd::NotReported:
    return "not_reported";
  case RunEnd::OutOfReach:
    return "out_of_reach";
  }
  return "unknown";
}

} // namespace workshatch::relay
