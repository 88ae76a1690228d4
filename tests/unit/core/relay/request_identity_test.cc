/// @file
/// Which requests count as the same one.
#include <doctest/doctest.h>

#include "core/relay/request_identity.h"

namespace workshatch::test {

TEST_CASE("A request is the same one by its tenant, method, target and body") {
  const auto identity = relay::identityOf("tenant-1", "POST", "/work", "body");
  CHECK(identity == relay::identityOf("tenant-1", "POST", "/work", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-2", "POST", "/work", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-1", "PUT", "/work", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-1", "POST", "/work?a=1", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-1", "POST", "/work", "other"));
}

TEST_CASE("Parts of a request do not pass into one another") {
  CHECK_FALSE(relay::identityOf("t", "POST", "/a", "b") ==
              relay::identityOf("t", "POST", "/", "ab"));
}

TEST_CASE("A tenant's number does not depend on what it sends") {
  const auto first = relay::identityOf("tenant-1", "POST", "/work", "one");
  const auto second = relay::identityOf("tenant-1", "GET", "/other", "two");
  CHECK(first.caller == second.caller);
  CHECK(relay::textOf(first).size() == 33);
}

} // namespace workshatch::test
