#include "core/relay/request_identity.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <cstring>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

RequestIdentity identityOf(std::string_view tenant, std::string_view method,
                           std::string_view target, std::string_view body) {
  // The parts are hashed separately, so that a long body need not be copied to be joined to the
  // others.
  const std::array<uint64_t, 3> parts = {
      routing::fingerprintOf(method), routing::fingerprintOf(target), routing::fingerprintOf(body)};
  std::array<char, sizeof(parts)> bytes{};
  std::memcpy(bytes.data(), parts.data(), sizeof(parts));
  return RequestIdentity{.caller = routing::fingerprintOf(tenant),
                         .content =
                             routing::fingerprintOf(std::string_view(bytes.data(), bytes.size()))};
}

v1::RequestIdentity messageOf(const RequestIdentity& identity) {
  v1::RequestIdentity message;
  message.set_caller(identity.caller);
  message.set_content(identity.content);
  return message;
}

RequestIdentity identityOf(const v1::RequestIdentity& message) {
  return RequestIdentity{.caller = message.caller(), .content = message.content()};
}

std::string textOf(const RequestIdentity& identity) {
  constexpr size_t kTextBytes = 34;
  std::array<char, kTextBytes> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "-%016" PRIx64, identity.caller,
                identity.content);
  return text.data();
}

std::string textOfPart(uint64_t part) {
  constexpr size_t kTextBytes = 17;
  std::array<char, kTextBytes> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, part);
  return text.data();
}

} // namespace workshatch::relay
