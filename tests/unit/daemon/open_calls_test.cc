/// @file
/// Tests that each call gets exactly one outcome, whether it is answered or refused first.
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/open_calls.h"

namespace workshatch::test {

namespace {

using daemon::CallCallback;
using daemon::CallCounts;
using daemon::CallOutcome;
using daemon::OpenCalls;
using daemon::ReplyCallback;

/// Records the outcomes of one call.
struct Caller {
  std::vector<std::string> replies;
  int refusals = 0;

  CallCallback<std::string> callback() {
    return [this](const CallOutcome<std::string>& outcome) {
      if (const auto* reply = std::get_if<std::string>(&outcome)) {
        replies.push_back(*reply);
      } else {
        ++refusals;
      }
    };
  }
};

} // namespace

TEST_CASE("A call is answered once") {
  OpenCalls calls;
  Caller caller;
  const ReplyCallback<std::string> answer = calls.accept<std::string>(caller.callback());
  answer("first");
  answer("second");
  calls.end();
  CHECK(caller.replies == std::vector<std::string>{"first"});
  CHECK(caller.refusals == 0);
  CHECK(calls.counts().answered == 1);
}

TEST_CASE("A call that is open at the end is refused, and a late answer has no effect") {
  OpenCalls calls;
  Caller caller;
  const ReplyCallback<std::string> answer = calls.accept<std::string>(caller.callback());
  calls.end();
  answer("late");
  CHECK(caller.replies.empty());
  CHECK(caller.refusals == 1);
  CHECK(calls.counts().refused == 1);
}

TEST_CASE("A call that arrives after the end is refused at once") {
  OpenCalls calls;
  calls.end();
  Caller caller;
  const ReplyCallback<std::string> answer = calls.accept<std::string>(caller.callback());
  CHECK(caller.refusals == 1);
  answer("late");
  CHECK(caller.replies.empty());
}

TEST_CASE("Calls can be refused temporarily, but are never accepted again after the end") {
  OpenCalls calls;
  Caller caller;
  const ReplyCallback<std::string> open = calls.accept<std::string>(caller.callback());
  calls.refuseAll();
  CHECK(caller.refusals == 1);
  calls.accept<std::string>(caller.callback());
  CHECK(caller.refusals == 2);
  calls.resumeAccepting();
  calls.accept<std::string>(caller.callback())("reply");
  open("late");
  CHECK(caller.replies == std::vector<std::string>{"reply"});
  calls.end();
  calls.refuseAll();
  calls.resumeAccepting();
  calls.accept<std::string>(caller.callback());
  CHECK(caller.refusals == 3);
}

TEST_CASE("The answer function may be used after the OpenCalls object is destroyed") {
  Caller caller;
  ReplyCallback<std::string> answer;
  {
    OpenCalls calls;
    answer = calls.accept<std::string>(caller.callback());
  }
  answer("after");
  CHECK(caller.replies == std::vector<std::string>{"after"});
}

TEST_CASE("Each call is counted as answered or refused when the end races with answers") {
  constexpr int kRounds = 200;
  constexpr int kThreads = 4;
  constexpr int kCallsPerThread = 50;
  for (int round = 0; round < kRounds; ++round) {
    OpenCalls calls;
    std::atomic<int> outcomes{0};
    std::vector<std::thread> callers;
    callers.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      callers.emplace_back([&] {
        for (int call = 0; call < kCallsPerThread; ++call) {
          calls.accept<int>([&](const CallOutcome<int>&) { ++outcomes; })(call);
        }
      });
    }
    calls.end();
    for (std::thread& caller : callers) {
      caller.join();
    }
    const CallCounts counts = calls.counts();
    CHECK(outcomes == kThreads * kCallsPerThread);
    CHECK(counts.accepted == kThreads * kCallsPerThread);
    CHECK(counts.answered + counts.refused == counts.accepted);
  }
}

} // namespace workshatch::test
