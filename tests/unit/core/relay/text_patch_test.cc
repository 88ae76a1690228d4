/// @file
/// Patches between texts.
#include <string>

#include <doctest/doctest.h>

#include "core/relay/text_patch.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

std::string routesText(size_t routes, uint64_t version) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (size_t i = 0; i < routes; ++i) {
    text += R"({"name":"r)" + std::to_string(i) + R"(","timeout":4000},)";
  }
  return text + "]}";
}

std::string applied(const std::string& base, const relay::TextPatch& patch) {
  const auto target = relay::applyPatch(base, patch);
  REQUIRE_FALSE(isError(target));
  return std::get<std::string>(target);
}

} // namespace

TEST_CASE("A small change of a large text is a small patch") {
  const std::string base = routesText(1000, 7);
  std::string target = routesText(1000, 9);
  target.replace(target.find("\"r500\""), 6, "\"r5xx\"");
  const relay::TextPatch patch = relay::makePatch(base, target);
  CHECK(applied(base, patch) == target);
  CHECK(patch.literals.size() < 200);
  CHECK(patch.pieces.ByteSizeLong() < 200);
}

TEST_CASE("Without a base the patch contains the whole text") {
  const std::string target = routesText(3, 1);
  const relay::TextPatch patch = relay::makePatch("", target);
  CHECK(patch.literals == target);
  CHECK(applied("", patch) == target);
  CHECK(applied("", relay::makePatch("", "")).empty());
  CHECK(applied("x}y", relay::makePatch("x}y", "")).empty());
}

TEST_CASE("Applying a patch to another base is an error") {
  const relay::TextPatch patch = relay::makePatch(routesText(5, 1), routesText(6, 2));
  std::string other = routesText(5, 1);
  other.replace(other.find("\"r3\""), 4, "\"rx\"");
  CHECK(isError(relay::applyPatch(other, patch)));
  CHECK(isError(relay::applyPatch("", patch)));
}

TEST_CASE("A patch between any two texts produces the target") {
  SeededRandom random(11);
  const auto random_text = [&random] {
    std::string text;
    const uint64_t length = random.below(60);
    for (uint64_t i = 0; i < length; ++i) {
      text.push_back("ab}\n{"[random.below(5)]);
    }
    return text;
  };
  for (int i = 0; i < 2000; ++i) {
    const std::string base = random_text();
    const std::string target = random_text();
    CHECK(applied(base, relay::makePatch(base, target)) == target);
  }
}

// The exception of the allocation ended the relay that had received the frame.
TEST_CASE("A patch whose stated size is not that of its pieces is an error without an allocation") {
  relay::TextPatch patch = relay::makePatch("a\n", "b\n");
  patch.pieces.set_target_bytes(uint64_t{1} << 62U);
  CHECK(isError(relay::applyPatch("a\n", patch)));
}

} // namespace workshatch::test
