/// @file
/// Tests of the ledger and the replicated state: a key must never run twice, and an operator must
/// never get two different answers to one change.
#include <doctest/doctest.h>

#include "core/control/replicated_state.h"

namespace workshatch::test {

namespace {

v1::LedgerBeginRequest beginOf(const std::string& key, uint64_t attempt,
                               const std::string& fingerprint = "body") {
  v1::LedgerBeginRequest request;
  request.set_key(key);
  request.set_fingerprint(fingerprint);
  request.set_router("entry-1");
  request.set_incarnation(7);
  request.set_attempt(attempt);
  return request;
}

v1::LedgerFinishRequest finishOf(const std::string& key, uint64_t attempt,
                                 const std::string& body) {
  v1::LedgerFinishRequest request;
  request.set_key(key);
  request.set_attempt(attempt);
  request.mutable_answer()->set_http_status(200);
  request.mutable_answer()->set_body(body);
  return request;
}

v1::LedgerAbortRequest abortOf(const std::string& key, uint64_t attempt) {
  v1::LedgerAbortRequest request;
  request.set_key(key);
  request.set_attempt(attempt);
  return request;
}

v1::ApplyReply applyTo(control::ReplicatedState& state, const std::string& id, uint64_t expected,
                       const std::string& tenant) {
  v1::Command command;
  command.mutable_apply()->set_request_id(id);
  command.mutable_apply()->set_expected_revision(expected);
  command.mutable_apply()->mutable_configuration()->add_tenants()->set_name(tenant);
  return std::get<v1::ApplyReply>(state.apply(command));
}

} // namespace

TEST_CASE("of two attempts with one key only the first is granted") {
  control::Ledger ledger;
  CHECK(ledger.begin(beginOf("k", 1), 0).outcome() == v1::LEDGER_GRANTED);
  CHECK(ledger.begin(beginOf("k", 1), 0).outcome() == v1::LEDGER_GRANTED);
  CHECK(ledger.begin(beginOf("k", 2), 0).outcome() == v1::LEDGER_IN_PROGRESS);
  CHECK(ledger.begin(beginOf("k", 2, "other"), 0).outcome() == v1::LEDGER_KEY_REUSED);
}

TEST_CASE("a recorded answer never changes") {
  control::Ledger ledger;
  ledger.begin(beginOf("k", 1), 0);
  CHECK(ledger.finish(finishOf("k", 1, "first")).answer().body() == "first");
  CHECK(ledger.finish(finishOf("k", 1, "second")).answer().body() == "first");
  CHECK(ledger.finish(finishOf("k", 2, "third")).outcome() == v1::LEDGER_REFUSED);
  CHECK(ledger.begin(beginOf("k", 2), 0).answer().body() == "first");
}

TEST_CASE("the outcome of an entry whose router is gone stays unknown") {
  control::Ledger ledger;
  ledger.begin(beginOf("k", 1), 0);
  ledger.markUnknown("entry-1", 7);
  CHECK(ledger.begin(beginOf("k", 2), 0).outcome() == v1::LEDGER_OUTCOME_UNKNOWN);
  CHECK(ledger.finish(finishOf("k", 1, "late")).outcome() == v1::LEDGER_OUTCOME_UNKNOWN);
  CHECK(ledger.abort(abortOf("k", 1)).outcome() == v1::LEDGER_DONE);
  CHECK(ledger.begin(beginOf("k", 2), 0).outcome() == v1::LEDGER_OUTCOME_UNKNOWN);
}

TEST_CASE("an aborted attempt is refused, and another attempt is granted") {
  control::Ledger ledger;
  ledger.abort(abortOf("k", 1));
  CHECK(ledger.begin(beginOf("k", 1), 0).outcome() == v1::LEDGER_REFUSED);
  CHECK(ledger.begin(beginOf("k", 2), 0).outcome() == v1::LEDGER_GRANTED);
  ledger.abort(abortOf("k", 1));
  CHECK(ledger.begin(beginOf("k", 3), 0).outcome() == v1::LEDGER_IN_PROGRESS);
}

TEST_CASE("retention removes finished entries and keeps those in progress") {
  control::Ledger ledger;
  ledger.begin(beginOf("old", 1), 100);
  ledger.finish(finishOf("old", 1, "answer"));
  ledger.begin(beginOf("open", 1), 200);
  ledger.removeBefore(1000);
  CHECK(ledger.size() == 1);
  CHECK(ledger.begin(beginOf("open", 2), 1000).outcome() == v1::LEDGER_IN_PROGRESS);
}

TEST_CASE("a router that is not registered cannot begin a ledger entry") {
  control::ReplicatedState state;
  v1::Command command;
  *command.mutable_ledger_begin() = beginOf("k", 1);
  CHECK(std::get<v1::LedgerReply>(state.apply(command)).outcome() == v1::LEDGER_REFUSED);
}

TEST_CASE(
    "of changes with equal expected revisions one is accepted, and resends get the first answer") {
  control::ReplicatedState state;
  CHECK(applyTo(state, "a", 0, "one").state() == v1::APPLY_PENDING);
  const v1::ApplyReply loser = applyTo(state, "b", 0, "two");
  CHECK(loser.state() == v1::APPLY_CONFLICT);
  CHECK(loser.revision() == 1);
  applyTo(state, "c", 1, "three");

  control::ReplicatedState restarted;
  REQUIRE(restarted.restore(state.save()));
  CHECK(restarted.revision() == 2);
  CHECK(applyTo(restarted, "a", 0, "one").revision() == 1);
  CHECK(applyTo(restarted, "b", 0, "two").state() == v1::APPLY_CONFLICT);
  CHECK(applyTo(restarted, "b", 0, "two").revision() == 1);
  CHECK(applyTo(restarted, "a", 0, "changed").state() == v1::APPLY_REQUEST_ID_REUSED);
  CHECK(restarted.revision() == 2);
}

TEST_CASE("a snapshot contains the whole state") {
  control::ReplicatedState state;
  v1::Command command;
  command.mutable_register_router()->set_name("entry-1");
  command.mutable_register_router()->set_incarnation(7);
  state.apply(command);
  command.Clear();
  *command.mutable_ledger_begin() = beginOf("k", 1);
  state.apply(command);
  control::ReplicatedState restored;
  REQUIRE(restored.restore(state.save()));
  CHECK(restored.save() == state.save());
  CHECK_FALSE(restored.restore("not a snapshot"));
}

} // namespace workshatch::test
