#include "adapters/datagram/peer_socket.h"

#include <utility>

#include "adapters/datagram/peer_codec.h"

namespace workshatch::datagram {

PeerSocket::PeerSocket(boost::asio::io_context& context, std::string key,
                       AddressOverrides address_overrides, std::string name, uint64_t incarnation)
    : socket_(context), key_(std::move(key)), address_overrides_(std::move(address_overrides)),
      name_(std::move(name)), incarnation_(incarnation) {}

Result<std::monostate> PeerSocket::open(const std::string& address, Receiver receiver) {
  receiver_ = std::move(receiver);
  return socket_.open(address, [this](std::string_view bytes, const UdpSocket::Endpoint&) {
    handleDatagram(bytes);
  });
}

void PeerSocket::close() { socket_.close(); }

void PeerSocket::send(const std::string& address, v1::PeerDatagram datagram) {
  datagram.set_sender(name_);
  datagram.set_incarnation(incarnation_);
  datagram.set_sequence(++sequence_);
  const std::string bytes = encodeDatagram(datagram, key_);
  if (bytes.size() > kMaxDatagramBytes) {
    ++stats_.dropped;
    return;
  }
  if (socket_.send(address_overrides_.resolve(address), bytes)) {
    ++stats_.sent;
    stats_.sent_bytes += bytes.size();
  }
}

void PeerSocket::handleDatagram(std::string_view bytes) {
  ++stats_.received;
  stats_.received_bytes += bytes.size();
  const auto datagram = datagram::decodeDatagram(bytes, key_);
  if (!datagram) {
    ++stats_.dropped;
    return;
  }
  receiver_(*datagram);
}

} // namespace workshatch::datagram
