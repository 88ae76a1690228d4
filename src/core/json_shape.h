/// @file
/// A check of JSON documents from outside before they are parsed into a tree.
#pragma once

#include <string_view>

namespace workshatch {

/// Scans a document without allocating memory. A tree of it takes some hundred bytes for each value
/// however short its text, and more for each level of nesting.
///
/// Load pattern: documents of up to some megabytes, most of them well-formed.
/// Guarantee: a document that passes is nested to 64 levels at most, and has at most 65,536 values
/// or one for each eight bytes, so that its tree takes at most some ten times its text.
/// Limits: it does not check whether the document is well-formed.
///
/// @return whether the document may be parsed.
bool hasBoundedShape(std::string_view json);

} // namespace workshatch
