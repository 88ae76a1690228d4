#include "core/header_text.h"

#include <algorithm>
#include <cctype>

namespace workshatch {

namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool isTokenCharacter(unsigned char sign) {
  return std::isalnum(sign) != 0 ||
         kTokenPunctuation.find(static_cast<char>(sign)) != std::string_view::npos;
}

bool isValueCharacter(unsigned char sign) {
  return sign == '\t' || (sign >= kFirstPrintable && sign != kDelete);
}

} // namespace

bool isHeaderName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isHeaderValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), isValueCharacter);
}

} // namespace workshatch
