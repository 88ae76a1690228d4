#include "adapters/http/response_framing.h"

#include <algorithm>
#include <vector>

#include <boost/beast/core/string.hpp>

#include "adapters/http/http_types.h"

namespace workshatch::http {

namespace {

constexpr unsigned kFirstFinalStatus = 200;

} // namespace

bool isInterim(const boost::beast::http::response_header<>& head) {
  return head.result_int() < kFirstFinalStatus && head.result() != Status::switching_protocols;
}

std::optional<std::string> framingErrorOf(const boost::beast::http::response_header<>& head) {
  if (head.result() == Status::switching_protocols) {
    return "the connection changes to another protocol";
  }
  const std::vector<std::string> codings = fieldsOf(head, "Transfer-Encoding");
  const bool chunked_only =
      codings.empty() || (codings.size() == 1 && boost::beast::iequals(codings.front(), "chunked"));
  return chunked_only ? std::nullopt
                      : std::optional<std::string>("the transfer coding is not supported");
}

} // namespace workshatch::http
