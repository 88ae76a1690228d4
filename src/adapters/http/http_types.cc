#include "adapters/http/http_types.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace workshatch::http {

namespace {

constexpr int kHexBase = 16;

std::string percentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, code, kHexBase).ptr ==
            text.data() + i + 3;
    if (escaped) {
      out.push_back(static_cast<char>(code));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address(std::string(host), failure);
  uint16_t port = 0;
  const auto parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  const bool port_parsed =
      parsed.ec == std::errc() && parsed.ptr == port_text.data() + port_text.size();
  if (failure || !port_parsed) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

Response makeResponse(Status status, std::string_view content_type, std::string body) {
  Response response(status, 11);
  response.set(Field::content_type,
               boost::beast::string_view(content_type.data(), content_type.size()));
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::optional<std::string> queryParameter(std::string_view target, std::string_view name) {
  const size_t question = target.find('?');
  if (question == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = target.substr(question + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string()
                                              : percentDecode(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  return std::nullopt;
}

} // namespace workshatch::http
