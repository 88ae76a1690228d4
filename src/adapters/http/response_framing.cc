#include "adapters/http/response_framing.h"

#include <algorithm>
#include <vector>

#include <boost/beast/core/string.hpp>

#include "adapters/http/http_types.h"

namespace workshatch::http {

namespace {

constexpr unsigned kFirstFinalStatus = 200;

bool statesBody(const boost::beast::http::response_header<>& head) {
  const std::vector<std::string> lengths = fieldsOf(head, "Content-Length");
  const bool length_stated =
      std::any_of(lengths.begin(), lengths.end(), [](const std::string& length) {
        return length.find_first_not_of('0') != std::string::npos;
      });
  return length_stated || head.count(Field::transfer_encoding) > 0;
}

} // namespace

bool isInterim(const boost::beast::http::response_header<>& head) {
  return head.result_int() < kFirstFinalStatus;
}

bool statesForbiddenBody(const boost::beast::http::response_header<>& head) {
  const bool never_has_body = isInterim(head) || head.result() == Status::no_content;
  return never_has_body && statesBody(head);
}

std::optional<std::string> framingErrorOf(const boost::beast::http::response_header<>& head) {
  if (head.result() == Status::switching_protocols) {
    return "the connection changes to another protocol";
  }
  if (isInterim(head) && statesForbiddenBody(head)) {
    return "an interim response states a body";
  }
  const std::vector<std::string> codings = fieldsOf(head, "Transfer-Encoding");
  const bool chunked_only =
      codings.empty() || (codings.size() == 1 && boost::beast::iequals(codings.front(), "chunked"));
  return chunked_only ? std::nullopt
                      : std::optional<std::string>("the transfer coding is not supported");
}

} // namespace workshatch::http
