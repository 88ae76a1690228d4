#include "adapters/datagram/peer_socket.h"

#include <utility>

#include "adapters/datagram/peer_codec.h"

namespace workshatch::datagram {

PeerSocket::PeerSocket(boost::asio::io_context& context, std::string key, AddressBook addresses,
                       std::string name, uint64_t incarnation)
    : socket_(context), key_(std::move(key)), addresses_(std::move(addresses)),
      name_(std::move(name)), incarnation_(incarnation) {}

Result<std::monostate> PeerSocket::open(const std::string& address, Receiver receiver) {
  receiver_ = std::move(receiver);
  return socket_.open(
      address, [this](std::string_view bytes, const UdpSocket::Endpoint&) { received(bytes); });
}

void PeerSocket::close() { socket_.close(); }

void PeerSocket::send(const std::string& address, v1::PeerDatagram datagram) {
  datagram.set_sender(name_);
  datagram.set_incarnation(incarnation_);
  datagram.set_sequence(++sequence_);
  const std::string bytes = seal(datagram, key_);
  if (bytes.size() > kMostDatagramBytes) {
    ++stats_.dropped;
    return;
  }
  if (socket_.send(addresses_.connectTo(address), bytes)) {
    ++stats_.sent;
    stats_.sent_bytes += bytes.size();
  }
}

void PeerSocket::received(std::string_view bytes) {
  ++stats_.received;
  stats_.received_bytes += bytes.size();
  const auto datagram = datagram::open(bytes, key_);
  if (!datagram) {
    ++stats_.dropped;
    return;
  }
  receiver_(*datagram);
}

} // namespace workshatch::datagram
