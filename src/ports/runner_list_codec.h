/// @file
/// Port: the calls by which the list of runners is read, page by page.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch {

/// Entries of the list that name no runner, by what is wrong with them. The list is shared with
/// other writers, so that such entries are to be expected.
struct RejectedEntries {
  /// Bytes that can't be read, counted once a page.
  uint64_t unreadable = 0;
  /// Not an object.
  uint64_t other_type = 0;
  /// A field is missing, or of another type, or out of range.
  uint64_t field = 0;
  /// In a state that this program does not know.
  uint64_t state = 0;
  /// Under the id of another entry.
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
  /// Names the next page; empty: this is the last.
  std::string next_page;
  RejectedEntries rejected;
};

/// Formats the calls and reads the answers. Stateless; safe for concurrent use.
class RunnerListCodec {
public:
  virtual ~RunnerListCodec() = default;

  /// @param page empty: the first page
  virtual std::string target(const std::string& page) const = 0;
  /// @return the page's runners, each checked; an error when the page as a whole can't be read.
  virtual Result<RunnerPage> decode(std::string_view body) const = 0;
};

} // namespace workshatch
