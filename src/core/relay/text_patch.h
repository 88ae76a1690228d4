/// @file
/// Patches between two texts that consist of many similar parts, as configurations do.
#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// A patch, and the bytes that it does not copy from the base.
struct TextPatch {
  v1::TextPatch pieces;
  /// The literal bytes of all pieces, in order.
  std::string literals;
};

/// @return a patch that turns `base` into `target`. Both are split into parts that end with a
/// closing brace or a line feed; a part that the base contains is copied from there, whatever its
/// position. Runs in time proportional to both lengths.
TextPatch makePatch(std::string_view base, std::string_view target);

/// @return the target, or an error if the patch was not made for this base.
Result<std::string> applyPatch(std::string_view base, const TextPatch& patch);

} // namespace workshatch::relay
