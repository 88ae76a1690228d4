/// @file
/// Coroutines that run by themselves: nobody awaits their result. An exception that leaves one is
/// logged ("task_failed"), and what happens then is stated where the coroutine is started.
///
/// Not thread-safe: each function is called on the event loop of the executor, or before it runs.
#pragma once

#include <exception>
#include <functional>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace workshatch::detached_task {

/// Writes the line about an exception that nobody handled.
/// @param task name of the coroutine or the callback
void logFailure(std::string_view task, std::exception_ptr exception);

/// Logs the exception and ends the process at once: without the task it would only seem to work.
[[noreturn]] void endProcess(std::string_view task, std::exception_ptr exception);

/// Runs a coroutine. If it fails, the process goes on without it.
/// @param task literal that names the coroutine in the log
void spawn(const boost::asio::any_io_executor& executor, std::string_view task,
           boost::asio::awaitable<void> coroutine);

/// Runs a coroutine without which the process cannot do its work. If it fails, the process ends.
void spawnEssential(const boost::asio::any_io_executor& executor, std::string_view task,
                    boost::asio::awaitable<void> coroutine);

/// Runs a loop. If it fails, it is begun anew after a second.
/// @param begin makes the coroutine of the loop; must be valid for as long as the event loop runs
void spawnLoop(const boost::asio::any_io_executor& executor, std::string_view task,
               std::function<boost::asio::awaitable<void>()> begin);

} // namespace workshatch::detached_task
