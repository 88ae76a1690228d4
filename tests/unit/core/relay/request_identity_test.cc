/// @file
/// Identity of requests across attempts.
#include <doctest/doctest.h>

#include "core/relay/request_identity.h"

namespace workshatch::test {

TEST_CASE("The identity of a request consists of its tenant, method, target and body") {
  const auto identity = relay::identityOf("tenant-1", "POST", "/work", "body");
  CHECK(identity == relay::identityOf("tenant-1", "POST", "/work", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-2", "POST", "/work", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-1", "PUT", "/work", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-1", "POST", "/work?a=1", "body"));
  CHECK_FALSE(identity == relay::identityOf("tenant-1", "POST", "/work", "other"));
}

TEST_CASE("The boundaries between method, target and body are part of the identity") {
  CHECK_FALSE(relay::identityOf("t", "POST", "/a", "b") ==
              relay::identityOf("t", "POST", "/", "ab"));
}

TEST_CASE("The caller number of a tenant does not depend on the content of its requests") {
  const auto first = relay::identityOf("tenant-1", "POST", "/work", "one");
  const auto second = relay::identityOf("tenant-1", "GET", "/other", "two");
  CHECK(first.caller == second.caller);
  CHECK(relay::textOf(first).size() == 33);
}

} // namespace workshatch::test
