#include "adapters/datagram/peer_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace workshatch::datagram {

namespace {

constexpr size_t kMacBytes = 32;

std::string computeMac(std::string_view body, const std::string& key) {
  std::string mac(kMacBytes, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

} // namespace

std::string encodeDatagram(const v1::PeerDatagram& datagram, const std::string& key) {
  const std::string body = datagram.SerializeAsString();
  return computeMac(body, key) + body;
}

std::optional<v1::PeerDatagram> decodeDatagram(std::string_view bytes, const std::string& key) {
  if (bytes.size() < kMacBytes) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kMacBytes);
  const std::string expected = computeMac(body, key);
  v1::PeerDatagram datagram;
  const bool authentic = CRYPTO_memcmp(expected.data(), bytes.data(), kMacBytes) == 0;
  if (!authentic || !datagram.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return std::nullopt;
  }
  return datagram;
}

} // namespace workshatch::datagram
