/// @file
/// Tests of the backoff of the runner list reader when the platform refuses its calls. The tests
/// are named after the failures that they guard against.
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "daemon/runner_list_reader.h"
#include "unit/daemon/list_codecs.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

/// A platform that gives the same response to all calls, and a reader of its list.
class RefusingPlatform {
public:
  explicit RefusingPlatform(const std::string& head)
      : platform_([head](auto& socket, const auto&) {
          writeTo(socket,
                  "HTTP/1.1 " + head + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        }),
        reader_(context_, clock_, platform_.address(), codec_) {}

  /// @return whether a list was read.
  bool read() {
    bool done = false;
    boost::asio::co_spawn(
        context_,
        [&]() -> http::awaitable<void> {
          const Result<v1::RunnerList> list = co_await reader_.read();
          done = !isError(list);
        },
        boost::asio::detached);
    context_.restart();
    context_.run();
    return done;
  }
  int calls() const { return platform_.requests(); }
  SuspendableClock& clock() { return clock_; }

private:
  ScriptedRunner platform_;
  boost::asio::io_context context_;
  SuspendableClock clock_;
  const EmptyListCodec codec_{};
  daemon::RunnerListReader reader_;
};

/// Decodes every body as a large page that another one follows.
class EndlessListCodec : public EmptyListCodec {
public:
  static constexpr size_t kPageBytes = size_t{1} * 1024 * 1024;

  Result<RunnerPage> decode(std::string_view) const override {
    RunnerPage page;
    page.runners.add_runners()->set_id(std::string(kPageBytes, 'x'));
    page.next_page = "more";
    return page;
  }
};

} // namespace

TEST_CASE("A list without an end is held until the last page that is read") {
  ScriptedRunner platform([](auto& socket, const auto&) {
    writeTo(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  });
  const EndlessListCodec codec;
  const SuspendableClock clock;
  boost::asio::io_context context;
  daemon::RunnerListReader reader(context, clock, platform.address(), codec);
  bool failed = false;
  boost::asio::co_spawn(
      context,
      [&]() -> http::awaitable<void> {
        const Result<v1::RunnerList> list = co_await reader.read();
        failed = isError(list);
      },
      boost::asio::detached);
  context.run();
  CHECK(failed);
  CHECK(platform.requests() <= 20);
}

TEST_CASE("The platform is called during the backoff that it requested") {
  for (const char* status : {"429 Too Many", "503 Unavailable"}) {
    CAPTURE(status);
    RefusingPlatform platform(std::string(status) + "\r\nRetry-After: 2.5");
    for (int i = 0; i < 5; ++i) {
      CHECK_FALSE(platform.read());
    }
    CHECK(platform.calls() == 1);
    platform.clock().sleepFor(2500);
    CHECK_FALSE(platform.read());
    CHECK(platform.calls() == 2);
  }
}

TEST_CASE("The platform is never called again after a refusal with no time or an excessive time") {
  RefusingPlatform timeless("429 Too Many");
  CHECK_FALSE(timeless.read());
  CHECK_FALSE(timeless.read());
  CHECK(timeless.calls() == 2);
  RefusingPlatform garbled("429 Too Many\r\nRetry-After: 999999999");
  CHECK_FALSE(garbled.read());
  garbled.clock().sleepFor(31'000);
  CHECK_FALSE(garbled.read());
  CHECK(garbled.calls() == 2);
}

} // namespace workshatch::test
