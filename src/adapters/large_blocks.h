/// @file
/// How the C library's allocator gets large blocks from the system.
#pragma once

namespace workshatch {

/// Makes blocks above a fixed size separate mappings, which are returned to the system when they
/// are released. By default the size rises with each such block that is released, up to many MB:
/// the bodies of several responses that grow side by side then leave holes in the heap, and the
/// peak of the process is a multiple of what it holds.
///
/// To be called before other threads exist. Without effect on other allocators.
void returnLargeBlocksAtOnce();

} // namespace workshatch
