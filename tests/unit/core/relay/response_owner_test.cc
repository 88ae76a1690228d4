#include <doctest/doctest.h>

#include "core/relay/response_owner.h"

namespace workshatch::relay {

TEST_CASE("A response belongs to the request whose id is the only one in its head") {
  CHECK(ownerOfResponse({"q1"}, "q1") == ResponseOwner::ThisRequest);
  CHECK(ownerOfResponse({"q1", "q1"}, "q1") == ResponseOwner::ThisRequest);
  CHECK(ownerOfResponse({"q2"}, "q1") == ResponseOwner::OtherRequest);
  CHECK(ownerOfResponse({"Q1"}, "q1") == ResponseOwner::OtherRequest);
  CHECK(ownerOfResponse({"q1, q1"}, "q1") == ResponseOwner::OtherRequest);
  CHECK(ownerOfResponse({}, "q1") == ResponseOwner::Unknown);
  CHECK(ownerOfResponse({"q1", "q2"}, "q1") == ResponseOwner::Unknown);
  CHECK(ownerOfResponse({"q2", "q1"}, "q1") == ResponseOwner::Unknown);
}

} // namespace workshatch::relay
