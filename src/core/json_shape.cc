#include "core/json_shape.h"

#include <algorithm>
#include <cstddef>

namespace workshatch {

namespace {

constexpr size_t kMaxDepth = 64;
/// Values of a document of any size, and bytes for each value of a larger one.
constexpr size_t kFreeValues = size_t{64} * 1024;
constexpr size_t kBytesPerValue = 8;

/// @return the position of the quotation mark that ends the string which begins at `begin`; the
/// size of the text if there is none.
size_t endOfString(std::string_view text, size_t begin) {
  size_t position = begin + 1;
  while (position < text.size() && text[position] != '"') {
    position += text[position] == '\\' ? 2 : 1;
  }
  return std::min(position, text.size());
}

} // namespace

bool hasBoundedShape(std::string_view json) {
  const size_t max_values = std::max(kFreeValues, json.size() / kBytesPerValue);
  size_t depth = 0;
  size_t values = 1;
  for (size_t position = 0; position < json.size(); ++position) {
    switch (json[position]) {
    case '"':
      position = endOfString(json, position);
      break;
    case '[':
    case '{':
      ++depth;
      ++values;
      break;
    case ']':
    case '}':
      depth -= depth > 0 ? 1 : 0;
      break;
    case ',':
      ++values;
      break;
    default:
      break;
    }
    if (depth > kMaxDepth || values > max_values) {
      return false;
    }
  }
  return true;
}

} // namespace workshatch
