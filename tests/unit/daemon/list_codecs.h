/// @file
/// Decoders of the platform's list of runners for tests that need no runners.
#pragma once

#include <string>
#include <string_view>

#include "ports/runner_list_codec.h"

namespace workshatch::test {

/// Decodes every body as an empty list of runners.
class EmptyListCodec : public RunnerListCodec {
public:
  std::string target(const std::string&) const override { return "/list"; }
  Result<RunnerPage> decode(std::string_view) const override { return RunnerPage{}; }
};

/// Decodes no body.
class NoListCodec : public RunnerListCodec {
public:
  std::string target(const std::string&) const override { return "/list"; }
  Result<RunnerPage> decode(std::string_view) const override { return Error{"no list"}; }
};

} // namespace workshatch::test
