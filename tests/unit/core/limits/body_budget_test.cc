/// @file
/// Tests of the limit on the memory that the bodies of requests take.
#include <cstdint>
#include <doctest/doctest.h>
#include <memory>

#include "core/limits/body_budget.h"

namespace workshatch::test {

TEST_CASE("large bodies are refused before the reserve for small ones is touched") {
  const auto budget = std::make_shared<limits::BodyBudget>(
      limits::BodyBudgetLimits{.process_bytes = 1000, .reserved_bytes = 300, .small_bytes = 100});
  limits::BodyBudget::Reservation large(budget);
  CHECK(large.growTo(700));
  limits::BodyBudget::Reservation second(budget);
  CHECK_FALSE(second.growTo(101));
  CHECK(second.growTo(100));
  CHECK_FALSE(second.growTo(SIZE_MAX));
  CHECK(second.bytes() == 100);
  limits::BodyBudget::Reservation third(budget);
  limits::BodyBudget::Reservation fourth(budget);
  CHECK(third.growTo(100));
  CHECK(fourth.growTo(100));
  CHECK(budget->heldBytes() == 1000);
  limits::BodyBudget::Reservation fifth(budget);
  CHECK_FALSE(fifth.growTo(1));
  large.release();
  CHECK(fifth.growTo(1));
  CHECK(second.growTo(699));
  CHECK(budget->heldBytes() == 900);
  CHECK(budget->peakBytes() == 1000);
  CHECK(budget->refusals() == 3);
}

TEST_CASE("small bodies do not use up what large ones may hold") {
  const auto budget = std::make_shared<limits::BodyBudget>(
      limits::BodyBudgetLimits{.process_bytes = 1000, .reserved_bytes = 300, .small_bytes = 100});
  limits::BodyBudget::Reservation small(budget);
  CHECK(small.growTo(100));
  {
    limits::BodyBudget::Reservation large(budget);
    CHECK(large.growTo(700));
  }
  CHECK(budget->heldBytes() == 100);
}

} // namespace workshatch::test
