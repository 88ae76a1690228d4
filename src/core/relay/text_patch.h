/// @file
/// The difference between two texts that are made of many similar parts, as configurations are.
#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// A patch and the bytes that it does not take from the base.
struct TextPatch {
  v1::TextPatch pieces;
  /// The literal bytes of all pieces, in order.
  std::string literals;
};

/// @return a patch that makes `target` out of `base`. Parts end with a closing brace or a line
/// feed; a part that the base holds is copied, wherever it stands. Takes time in proportion to both
/// lengths.
TextPatch makePatch(std::string_view base, std::string_view target);

/// @return the target, or an error when the patch was not made for this base.
Result<std::string> applyPatch(std::string_view base, const TextPatch& patch);

} // namespace workshatch::relay
