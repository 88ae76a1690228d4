/// @file
/// Responses that are cut at any byte, and the ways in which a server may end their connection.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace workshatch::test {

/// How a server ends the connection after the bytes that it sends.
enum class Closing { Fin, HalfClose, Reset, FinAfterPause };

inline constexpr std::array<Closing, 4> kClosings = {Closing::Fin, Closing::HalfClose,
                                                     Closing::Reset, Closing::FinAfterPause};

/// A response with status 200 and the body "done".
struct WholeResponse {
  std::string name;
  std::string bytes;
  /// Number of bytes with which the response is complete if the connection then ends in the
  /// ordinary way.
  size_t complete_bytes = 0;
  /// Only the end of the connection marks the end of the body.
  bool ends_with_connection = false;

  /// @return whether the response is incomplete if it is cut there.
  bool isCut(size_t bytes_sent, Closing closing) const {
    return bytes_sent < complete_bytes || (ends_with_connection && closing == Closing::Reset);
  }
};

/// @param fields of the response, each with its line end
inline std::vector<WholeResponse> wholeResponses(const std::string& fields) {
  const std::string start = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string counted = start + "Content-Length: 4\r\n\r\ndone";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                                      "4\r\ndone\r\n0\r\nX-Sum: 1234\r\n\r\n";
  const std::string open_ended = start + "\r\n";
  const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\n" + fields + "Link: </a>\r\n\r\n";
  const auto countedAfter = [&](const std::string& name, const std::string& before) {
    const std::string bytes = before + counted;
    return WholeResponse{.name = name, .bytes = bytes, .complete_bytes = bytes.size()};
  };
  return {countedAfter("with a length", ""),
          countedAfter("after 100", go_on),
          countedAfter("after 103", hints),
          countedAfter("after 100 and 103", go_on + hints),
          {.name = "in chunks with a trailer", .bytes = chunked, .complete_bytes = chunked.size()},
          {.name = "up to the end of the connection",
           .bytes = open_ended + "done",
           .complete_bytes = open_ended.size(),
           .ends_with_connection = true}};
}

/// Sends bytes and ends the connection.
inline void sendAndEnd(boost::asio::ip::tcp::socket& socket, const std::string& bytes,
                       Closing closing) {
  constexpr std::chrono::milliseconds kPause{1};
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  switch (closing) {
  case Closing::Fin:
    break;
  case Closing::HalfClose: {
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    std::this_thread::sleep_for(kPause);
    break;
  }
  case Closing::Reset:
    std::this_thread::sleep_for(kPause);
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    break;
  case Closing::FinAfterPause:
    std::this_thread::sleep_for(kPause);
    break;
  }
  socket.close(ignored);
}

/// More than the system takes before the other end reads it.
inline constexpr size_t kLongUploadBytes = size_t{16} * 1024 * 1024;

/// How a server ends the connection while it is still being sent a long request.
enum class EarlyEnd {
  Reset,
  /// Closes with unread input, which its system resets.
  Close,
  /// Closes when it has read all that had arrived: ends its side, and its system resets the
  /// connection when more arrives.
  CloseWithoutInput,
  /// Ends its side, and reads the rest of the request only when a client no longer waits for a
  /// reset.
  HalfClose,
  /// Ends its side and reads the rest of the request.
  HalfCloseAndRead
};

/// A response that ends at the end of its connection, from a server that has read no more of a long
/// request than what came with the head.
struct EarlyAnswer {
  std::string bytes;
  EarlyEnd end = EarlyEnd::Close;
  /// Time between the bytes and the end of the connection.
  std::chrono::milliseconds pause{0};

  void sendTo(boost::asio::ip::tcp::socket& socket) const;
  /// @return whether the server has ended the response and not the connection.
  bool isWhole() const { return end == EarlyEnd::HalfClose || end == EarlyEnd::HalfCloseAndRead; }
};

inline void EarlyAnswer::sendTo(boost::asio::ip::tcp::socket& socket) const {
  constexpr std::chrono::milliseconds kNoReset{400};
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  std::this_thread::sleep_for(pause);
  if (end == EarlyEnd::Reset) {
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  } else if (end != EarlyEnd::Close) {
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  if (end == EarlyEnd::HalfClose) {
    std::this_thread::sleep_for(kNoReset);
  }
  if (isWhole()) {
    std::string rest;
    boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ignored);
  }
  socket.close(ignored);
}

/// @param head without the line that ends it
/// @return the response ended in each of the ways, at once and after a pause.
inline std::vector<EarlyAnswer> earlyAnswers(const std::string& head, const std::string& body) {
  std::vector<EarlyAnswer> answers;
  for (const EarlyEnd end : {EarlyEnd::Reset, EarlyEnd::Close, EarlyEnd::CloseWithoutInput,
                             EarlyEnd::HalfClose, EarlyEnd::HalfCloseAndRead}) {
    for (const int pause_ms : {0, 50}) {
      answers.push_back({.bytes = head + "Connection: close\r\n\r\n" + body,
                         .end = end,
                         .pause = std::chrono::milliseconds(pause_ms)});
    }
  }
  return answers;
}

} // namespace workshatch::test
