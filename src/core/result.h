/// @file
/// Error handling by return values: a Result holds either a value or an Error.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace workshatch {

/// A message for people about what failed and why. It must not contain secrets.
struct Error {
  std::string message;
};

template <typename Value> using Result = std::variant<Value, Error>;

template <typename Value> bool isError(const Result<Value>& result) {
  return std::holds_alternative<Error>(result);
}

template <typename Value> const Error& errorOf(const Result<Value>& result) {
  return std::get<Error>(result);
}

} // namespace workshatch
