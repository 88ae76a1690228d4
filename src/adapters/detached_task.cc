#include "adapters/detached_task.h"

#include <chrono>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/logging/line_log.h"

namespace workshatch::detached_task {

namespace asio = boost::asio;

namespace {

/// Pause before a failed loop is begun anew, so that a failure that lasts does not take the
/// processor.
constexpr std::chrono::seconds kRestartPause{1};

std::string messageOf(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

asio::awaitable<void> repeat(std::string_view task, std::function<asio::awaitable<void>()> begin) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    std::exception_ptr failure;
    try {
      co_await begin();
    } catch (...) {
      failure = std::current_exception();
    }
    if (!failure) {
      co_return;
    }
    logFailure(task, failure);
    timer.expires_after(kRestartPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace

void logFailure(std::string_view task, std::exception_ptr exception) {
  line_log::write("task_failed", {{"task", task}, {"error", messageOf(exception)}});
  line_log::flush();
}

void endProcess(std::string_view task, std::exception_ptr exception) {
  logFailure(task, std::move(exception));
  std::abort();
}

void spawn(const asio::any_io_executor& executor, std::string_view task,
           asio::awaitable<void> coroutine) {
  asio::co_spawn(executor, std::move(coroutine), [task](std::exception_ptr failure) {
    if (failure) {
      logFailure(task, std::move(failure));
    }
  });
}

void spawnEssential(const asio::any_io_executor& executor, std::string_view task,
                    asio::awaitable<void> coroutine) {
  asio::co_spawn(executor, std::move(coroutine), [task](std::exception_ptr failure) {
    if (failure) {
      endProcess(task, std::move(failure));
    }
  });
}

void spawnLoop(const asio::any_io_executor& executor, std::string_view task,
               std::function<asio::awaitable<void>()> begin) {
  spawnEssential(executor, task, repeat(task, std::move(begin)));
}

} // namespace workshatch::detached_task
