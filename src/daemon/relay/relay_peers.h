/// @file
/// Datagram transport between relays: requests to the relay that owns a runner or a prompt prefix,
/// their answers, and one-way reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/datagram/udp_socket.h"
#include "core/scheduling/slot_owner_map.h"
#include "ports/clock.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::daemon {

class PeerCall;

/// Identifies the call that an answer belongs to: the kind of the answer and the echoed sequence
/// number.
struct AnswerKey {
  v1::Frame::BodyCase kind = v1::Frame::BODY_NOT_SET;
  uint64_t sequence = 0;

  bool operator<(const AnswerKey& other) const {
    return std::pair(kind, sequence) < std::pair(other.kind, other.sequence);
  }
};

/// The relay's datagram socket, and the list of relays among which the ownership of runners and
/// prompt prefixes is divided. Lives on the relay's event loop; not safe for concurrent use.
///
/// An owner that did not answer in time is reported as silent for one second, during which the
/// clients send it no requests, so that its failure delays few requests of callers.
class RelayPeers : public std::enable_shared_from_this<RelayPeers> {
public:
  using Handler = std::function<void(const v1::Frame& frame, const std::string& from)>;
  /// Callbacks that run before and after a change of the list of relays.
  struct RelayListObserver {
    std::function<void()> before;
    /// @param removed relays that were removed from the list
    std::function<void(const std::vector<std::string>& removed)> after;
  };

  /// Totals since the start of the process.
  struct Counts {
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
    /// Datagrams that could not be parsed or had an unexpected kind.
    uint64_t unreadable = 0;
    /// Answers that arrived after their call had ended.
    uint64_t late_answers = 0;
  };

  RelayPeers(boost::asio::io_context& context, const Clock& clock)
      : context_(context), clock_(clock), socket_(context) {}

  /// Opens the socket. @param address own "ip:port", by which the other relays reach this one
  /// @return an error if the address can't be opened.
  Result<std::monostate> open(const std::string& address);
  void close() { socket_.close(); }
  const std::string& ownAddress() const { return own_address_; }

  /// Sets the handler for frames of a kind that are requests or reports.
  void onFrame(v1::Frame::BodyCase kind, Handler handler) { handlers_[kind] = std::move(handler); }
  /// Declares that frames of a kind are answers to calls. @param sequence extracts the echoed
  /// sequence number
  void onAnswer(v1::Frame::BodyCase kind, std::function<uint64_t(const v1::Frame&)> sequence) {
    answer_sequences_[kind] = std::move(sequence);
  }
  /// Sets the callback for relays that did not answer in time.
  void onSilent(std::function<void(const std::string& relay)> handler) {
    on_silent_ = std::move(handler);
  }
  void observeRelayList(RelayListObserver observer) { observers_.push_back(std::move(observer)); }

  /// Replaces the list of relays. @param relays their datagram addresses
  void setRelays(std::vector<std::string> relays);
  /// @return the address of the relay that owns the runner or prefix with this fingerprint; null if
  /// no relay is known.
  const std::string* ownerOf(uint64_t fingerprint) { return owners_.ownerOf(fingerprint); }
  /// @return whether the relay failed to answer within the last second.
  bool isSilent(const std::string& relay) const {
    return owners_.isSilent(relay, clock_.monotonicMs());
  }

  void send(const std::string& address, const v1::Frame& frame);
  /// Records that a relay did not answer in time, and reports it as silent.
  void reportUnanswered(const std::string& relay);

  const Counts& counts() const { return counts_; }

private:
  friend class PeerCall;

  void onDatagram(std::string_view bytes, const datagram::UdpSocket::Endpoint& from);

  boost::asio::io_context& context_;
  const Clock& clock_;
  datagram::UdpSocket socket_;
  std::string own_address_;
  relay::SlotOwnerMap owners_;
  std::vector<RelayListObserver> observers_;
  std::function<void(const std::string&)> on_silent_;
  std::map<v1::Frame::BodyCase, Handler> handlers_;
  std::map<v1::Frame::BodyCase, std::function<uint64_t(const v1::Frame&)>> answer_sequences_;
  /// Calls that wait for their answers. Not owned; each removes itself when it is destroyed.
  std::map<AnswerKey, PeerCall*> calls_;
  Counts counts_;
};

/// A call to another relay. The constructor sends the request, the destructor abandons the call. It
/// shares ownership of the socket, since requests in progress may outlive the relay role.
class PeerCall {
public:
  PeerCall(std::shared_ptr<RelayPeers> peers, std::string relay, AnswerKey key,
           const v1::Frame& question);
  ~PeerCall();
  PeerCall(const PeerCall&) = delete;
  PeerCall& operator=(const PeerCall&) = delete;

  /// Waits for the answer until `kAnswerTimeout` after the request was sent.
  /// @return the answer, which is valid as long as the call; null if it did not arrive in time.
  boost::asio::awaitable<const v1::Frame*> answer();

private:
  friend class RelayPeers;

  const std::shared_ptr<RelayPeers> peers_;
  const std::string relay_;
  const AnswerKey key_;
  boost::asio::steady_timer timer_;
  bool answered_ = false;
  v1::Frame answer_;
};

} // namespace workshatch::daemon
