/// @file
/// Datagrams between relays: questions to the relay that owns something, and their answers.
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
#include "core/relay/slot_owner_map.h"
#include "ports/clock.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::daemon {

class PeerCall;

/// What an answer belongs to: its kind, and the number that it echoes.
struct AnswerKey {
  v1::Frame::BodyCase kind = v1::Frame::BODY_NOT_SET;
  uint64_t sequence = 0;

  bool operator<(const AnswerKey& other) const {
    return std::pair(kind, sequence) < std::pair(other.kind, other.sequence);
  }
};

/// The relay's socket for datagrams, and the relays that own runners and parts of prompts. Lives on
/// the relay's event loop; not safe for concurrent use.
///
/// Guarantee: an owner that did not answer in time is not asked again for a second, so that its
/// silence delays few requests.
class RelayPeers : public std::enable_shared_from_this<RelayPeers> {
public:
  using Handler = std::function<void(const v1::Frame& frame, const std::string& from)>;
  /// Runs before and after the list of relays changes.
  struct RelayListObserver {
    std::function<void()> before;
    /// @param left relays that are not in the list any more
    std::function<void(const std::vector<std::string>& left)> after;
  };

  /// Figures since the start.
  struct Counts {
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
    /// Datagrams that were no frame.
    uint64_t unreadable = 0;
    /// Answers that nothing waited for any more.
    uint64_t late_answers = 0;
  };

  RelayPeers(boost::asio::io_context& context, const Clock& clock)
      : context_(context), clock_(clock), socket_(context) {}

  /// @param address "ip:port" for datagrams between relays
  Result<std::monostate> open(const std::string& address);
  void close() { socket_.close(); }
  const std::string& ownAddress() const { return own_address_; }

  /// Sets what takes the frames of a kind that are not answers.
  void onFrame(v1::Frame::BodyCase kind, Handler handler) { handlers_[kind] = std::move(handler); }
  /// Frames of this kind are answers. @param sequence reads the number that they echo
  void onAnswer(v1::Frame::BodyCase kind, std::function<uint64_t(const v1::Frame&)> sequence) {
    answer_sequences_[kind] = std::move(sequence);
  }
  /// Sets what learns of relays that did not answer in time.
  void onSilent(std::function<void(const std::string& relay)> handler) {
    on_silent_ = std::move(handler);
  }
  void observeRelayList(RelayListObserver observer) { observers_.push_back(std::move(observer)); }

  /// Replaces the relays that own something, by their addresses for datagrams.
  void setRelays(std::vector<std::string> relays);
  /// @return the address of the relay that owns what has this fingerprint; null: no relay is known.
  const std::string* ownerOf(uint64_t fingerprint) { return owners_.ownerOf(fingerprint); }
  /// @return whether the relay did not answer within the last second.
  bool isSilent(const std::string& relay) const {
    return owners_.isSilent(relay, clock_.monotonicMs());
  }

  void send(const std::string& address, const v1::Frame& frame);

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
  /// Questions that wait for their answers.
  std::map<AnswerKey, PeerCall*> calls_;
  Counts counts_;
};

/// A question to another relay: sent when it is made, given up when it ends. It keeps the socket
/// alive: requests that are in progress may outlive the relay's role.
class PeerCall {
public:
  PeerCall(std::shared_ptr<RelayPeers> peers, std::string relay, AnswerKey key,
           const v1::Frame& question);
  ~PeerCall();
  PeerCall(const PeerCall&) = delete;
  PeerCall& operator=(const PeerCall&) = delete;

  /// Waits for the answer, for `kAnswerTimeout` since the question was sent at most.
  /// @return the answer, which lives as long as the call; null: none came in time.
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
