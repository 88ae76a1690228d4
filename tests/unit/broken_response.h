/// @file
/// Responses that break the protocol in their head, as a server in trouble sends them.
#pragma once

#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace workshatch::test {

struct BrokenResponse {
  std::string name;
  std::string bytes;
};

/// @return the end of a head that states the length of a body, and the body.
inline std::string statedBody(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return a whole response that leaves its connection open.
/// @param fields of the response, each with its line end
inline std::string wholeResponse(const std::string& fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + fields + statedBody(body);
}

/// Body of the responses below: an event, so that it is whole as a stream too.
inline const std::string kEvent = "data: mark\n\n";

/// @return a chunked body that `kEvent` is the only chunk of, up to its trailer.
inline std::string chunkedEvent() { return "c\r\n" + kEvent + "\r\n0\r\n"; }

/// @return responses whose status code is outside the range of HTTP, 100 to 599 (RFC 9110, 15).
inline std::vector<BrokenResponse> responsesWithInvalidStatus(const std::string& fields) {
  const std::string inner = wholeResponse(fields, kEvent);
  std::vector<BrokenResponse> responses;
  for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
    const std::string start = "HTTP/1.1 " + status + " Broken\r\n" + fields;
    const std::string empty = start + "Content-Length: 0\r\n\r\n";
    responses.push_back({status + " with a body", start + statedBody(kEvent)});
    responses.push_back({status + " with a response as its body", start + statedBody(inner)});
    responses.push_back({status + " without a body", empty});
    responses.push_back({status + " without a length", start + "\r\n"});
    responses.push_back({status + " before a whole response", empty + inner});
    responses.push_back({status + " in chunks",
                         start + "Transfer-Encoding: chunked\r\n\r\n" + chunkedEvent() + "\r\n"});
  }
  return responses;
}

/// Sends bytes and waits until the other end closes the connection.
inline void sendAndWait(boost::asio::ip::tcp::socket& socket, const std::string& bytes) {
  boost::system::error_code ended;
  boost::asio::write(socket, boost::asio::buffer(bytes), ended);
  std::string rest;
  boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ended);
}

} // namespace workshatch::test
