/// @file
/// Responses that break the protocol in their head, as a server in trouble sends them.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
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

/// @return lines that are no header field (RFC 9112, 5), without their ends.
inline std::vector<std::string> invalidFieldLines() {
  using namespace std::string_literals;
  std::vector<std::string> lines = {" X-Fold: 1", "\tX-Fold: 1", " ", "\t", "X-None", ": 1"};
  for (const std::string& character :
       {" "s, "\t"s, "\0"s, "\x01"s, "\x1f"s, "\x7f"s, "\x80"s, "\r"s, "\n"s, "("s, "/"s, "\""s}) {
    lines.push_back("X" + character + "Mark: 1");
    lines.push_back("X-Mark" + character + ": 1");
  }
  return lines;
}

/// @return responses with a line that is no header field: in the middle, first and last in their
/// head, behind an empty value, and in the head of an interim response.
inline std::vector<BrokenResponse> responsesWithInvalidField(const std::string& fields) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: " + std::to_string(kEvent.size()) + "\r\n";
  const std::string end = "\r\n" + kEvent;
  std::vector<BrokenResponse> responses;
  for (const std::string& text : invalidFieldLines()) {
    const std::string line = text + "\r\n";
    responses.push_back({"in the middle: " + text, start + fields + line + length + end});
    responses.push_back({"first: " + text, start + line + fields + length + end});
    responses.push_back({"last: " + text, start + fields + length + line + end});
    responses.push_back(
        {"behind an empty value: " + text, start + fields + "X-Empty:\r\n" + line + length + end});
    responses.push_back(
        {"in an interim response: " + text, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line +
                                                "\r\n" + wholeResponse(fields, kEvent)});
  }
  return responses;
}

/// @return responses with a line that is no header field in their trailer.
inline std::vector<BrokenResponse> responsesWithInvalidTrailer(const std::string& fields) {
  std::vector<BrokenResponse> responses;
  for (const std::string& text : invalidFieldLines()) {
    responses.push_back({"in a trailer: " + text,
                         "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
                             chunkedEvent() + "X-Sum: 1\r\n" + text + "\r\n\r\n"});
  }
  return responses;
}

/// @return interim responses that state a body, which none has (RFC 9110, 8.6; RFC 9112, 6.1). What
/// follows their head may be that body or the final response.
inline std::vector<BrokenResponse> interimResponsesWithBody(const std::string& fields) {
  const std::string inner = wholeResponse(fields, kEvent);
  std::vector<BrokenResponse> responses;
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
    const std::string start = "HTTP/1.1 " + status + "\r\n";
    responses.push_back({status + " with a length", start + statedBody(inner)});
    responses.push_back({status + " with a length, before the final response",
                         start + statedBody(inner) + wholeResponse(fields, kEvent)});
    responses.push_back(
        {status + " in chunks", start + "Transfer-Encoding: chunked\r\n\r\n" + inner});
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

/// @return a script of a server that answers its first request with 204 and states a body. It sends
/// that body, a whole response, as soon as another request comes on the connection. It answers
/// requests on other connections with the body "own".
/// @param fields of all responses, each with its line end
inline auto lateBodyScript(const std::string& fields) {
  return [fields, first = true](boost::asio::ip::tcp::socket& socket, const std::string&) mutable {
    boost::system::error_code ended;
    if (!std::exchange(first, false)) {
      boost::asio::write(socket, boost::asio::buffer(wholeResponse(fields, "own")), ended);
      return;
    }
    const std::string body = wholeResponse(fields, "late");
    const std::string head = "HTTP/1.1 204 No Content\r\n" + fields +
                             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(head), ended);
    std::string next;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(next), "\r\n\r\n", ended);
    boost::asio::write(socket, boost::asio::buffer(body), ended);
  };
}

} // namespace workshatch::test
