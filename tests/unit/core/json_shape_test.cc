/// @file
/// Tests of the check of JSON documents before they are parsed.
#include <doctest/doctest.h>
#include <string>

#include "core/json_shape.h"

namespace workshatch::test {

TEST_CASE("a JSON document may be nested to a limit, and brackets in strings do not count") {
  const auto nested = [](size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  CHECK(hasBoundedShape(nested(64)));
  CHECK_FALSE(hasBoundedShape(nested(65)));
  CHECK(hasBoundedShape("{\"a\":\"" + std::string(1000, '[') + "\\\"" + std::string(1000, '{') +
                        "\"}"));
  CHECK_FALSE(hasBoundedShape("[\"\\\\\"," + nested(64) + "]"));
  CHECK(hasBoundedShape(""));
  CHECK(hasBoundedShape("]]]]"));
  CHECK(hasBoundedShape("\"\\"));
}

TEST_CASE("a JSON document of many short values is refused, one of ordinary fields is not") {
  std::string short_values = "[";
  std::string fields = "[";
  for (int i = 0; i < 200'000; ++i) {
    short_values += "1,";
    fields += R"("priority":0,)";
  }
  CHECK_FALSE(hasBoundedShape(short_values));
  CHECK(hasBoundedShape(fields));
  CHECK(hasBoundedShape(std::string_view(short_values).substr(0, 100'000)));
}

} // namespace workshatch::test
