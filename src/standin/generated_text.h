/// @file
/// Text that emulated engines generate. Each token depends only on the prompt and the token's
/// number, so a caller can compute the expected text and detect a damaged response.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace workshatch::standin {

inline constexpr std::array<const char*, 16> kWords = {
    "the ", "site ", "by ", "lake ", "is ",   "free ", "from ", "noon ",
    "to ",  "rows ", "of ", "vine ", "were ", "all ",  "in ",   "bloom "};

/// Concatenates the messages of a chat request to a prompt, as "role:content" lines.
inline std::string promptOf(const nlohmann::json& body) {
  std::string prompt;
  for (const nlohmann::json& message : body.value("messages", nlohmann::json::array())) {
    prompt += message.value("role", "") + ":" + message.value("content", "") + "\n";
  }
  return prompt;
}

/// @return token `number` (the first is 1) of the response to `prompt`.
inline const char* tokenOf(const std::string& prompt, uint64_t number) {
  const uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), number);
  return kWords[hash % kWords.size()];
}

} // namespace workshatch::standin
