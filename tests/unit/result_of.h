/// @file
/// Runs a call on an event loop that nothing else runs.
#pragma once

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace workshatch::test {

/// Runs an event loop until a call on it has ended. @return the result of the call
template <typename Value>
Value resultOf(boost::asio::io_context& context, boost::asio::awaitable<Value> call) {
  std::optional<Value> result;
  boost::asio::co_spawn(
      context, std::move(call),
      [&result](const std::exception_ptr&, Value value) { result = std::move(value); });
  context.restart();
  while (!result) {
    context.run_one();
  }
  return *std::move(result);
}

} // namespace workshatch::test
