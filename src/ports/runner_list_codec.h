/// @file
/// Port: the calls by which the list of runners is read, page by page.
#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch {

/// One page of the list.
struct RunnerPage {
  v1::RunnerList runners;
  /// Names the next page; empty: this is the last.
  std::string next_page;
};

/// Formats the calls and reads the answers. Stateless; safe for concurrent use.
class RunnerListCodec {
public:
  virtual ~RunnerListCodec() = default;

  /// @param page empty: the first page
  virtual std::string target(const std::string& page) const = 0;
  virtual Result<RunnerPage> decode(std::string_view body) const = 0;
};

} // namespace workshatch
