/// @file
/// The body of a plain response while it arrives.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace workshatch::daemon {

/// Collects a body of unknown length in one buffer, which doubles as it fills up.
///
/// Guarantee: the buffer never exceeds the limit of the body. While it grows, the body is held
/// twice. Not safe for concurrent use.
class AnswerBody {
public:
  /// @param max_bytes length of the body if it is known, otherwise its limit; the caller of
  /// `append` keeps it
  explicit AnswerBody(size_t max_bytes) : max_bytes_(max_bytes) {}

  void append(std::string_view bytes) {
    const size_t needed = body_.size() + bytes.size();
    if (needed > body_.capacity()) {
      growTo(std::max(needed, std::min(2 * body_.capacity(), max_bytes_)));
    }
    body_.append(bytes);
  }

  /// @return the memory that the body takes.
  size_t heldBytes() const { return body_.capacity(); }
  /// Frees the memory of a body that is given up.
  void drop() { std::string().swap(body_); }
  std::string take() { return std::move(body_); }

private:
  /// A string that grows by itself may take twice the limit.
  void growTo(size_t capacity) {
    std::string larger;
    larger.reserve(capacity);
    larger.append(body_);
    body_.swap(larger);
  }

  const size_t max_bytes_;
  std::string body_;
};

} // namespace workshatch::daemon
