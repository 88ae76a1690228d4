/// @file
/// Port: request targets and response parser of the paged list of runners.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch {

/// Numbers of list entries that were rejected, by reason. Other systems write to the list too, so
/// rejected entries are to be expected.
struct RejectedEntries {
  /// Bytes that cannot be parsed, counted once per page.
  uint64_t unreadable = 0;
  /// The entry is not an object.
  uint64_t other_type = 0;
  /// A field is missing, has the wrong type or is out of range.
  uint64_t field = 0;
  /// The state is unknown to this program.
  uint64_t state = 0;
  /// The id is that of another entry.
  uint64_t duplicate = 0;

  bool operator==(const RejectedEntries& other) const = default;
  RejectedEntries& operator+=(const RejectedEntries& other) {
    unreadable += other.unreadable;
    other_type += other.other_type;
    field += other.field;
    state += other.state;
    duplicate += other.duplicate;
    return *this;
  }
};

/// One page of the list.
struct RunnerPage {
  v1::RunnerList runners;
  /// Identifies the next page; empty: this is the last one.
  std::string next_page;
  RejectedEntries rejected;
};

/// Builds request targets and parses responses. Stateless; safe for concurrent use.
class RunnerListCodec {
public:
  virtual ~RunnerListCodec() = default;

  /// @return the request target of a page.
  /// @param page identifier of the page; empty: the first page
  virtual std::string target(const std::string& page) const = 0;
  /// @return the page with its valid runners, or an error when the page as a whole cannot be
  /// parsed.
  virtual Result<RunnerPage> decode(std::string_view body) const = 0;
};

} // namespace workshatch
