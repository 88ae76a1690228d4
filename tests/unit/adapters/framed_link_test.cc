/// @file
/// Tests of framed links: frames of all sizes arrive complete and in order; close and failed dials
/// are reported.
#include <chrono>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "adapters/link/framed_link.h"

namespace workshatch::test {

namespace {

v1::Frame frameWith(uint64_t version, size_t size) {
  v1::Frame frame;
  frame.mutable_lease()->mutable_configuration()->set_version(version);
  frame.mutable_lease()->mutable_configuration()->set_compressed_literals(std::string(size, 'x'));
  return frame;
}

} // namespace

TEST_CASE("Frames of all sizes arrive complete and in order, and the peer's close is reported") {
  boost::asio::io_context context;
  link::LinkListener listener(context);
  std::vector<std::shared_ptr<link::FramedLink>> accepted;
  std::vector<uint64_t> versions;
  size_t bytes = 0;
  bool closed = false;
  const std::string address = "127.0.0.1:18231";
  const auto listening = listener.listen(address, [&](std::shared_ptr<link::FramedLink> inbound) {
    accepted.push_back(inbound);
    inbound->start(
        [&](const v1::Frame& frame) {
          versions.push_back(frame.lease().configuration().version());
          bytes += frame.lease().configuration().compressed_literals().size();
        },
        [&] { closed = true; });
  });
  REQUIRE_FALSE(isError(listening));
  link::LinkDialer dialer(context);
  std::shared_ptr<link::FramedLink> opened;
  dialer.dial(address, std::chrono::milliseconds(1000), [&](auto link) {
    REQUIRE(link != nullptr);
    opened = link;
    opened->start([](const v1::Frame&) {}, [] {});
    opened->send(frameWith(1, 0));
    opened->send(frameWith(2, 1'000'000));
    opened->send(frameWith(3, 10));
  });
  while (versions.size() < 3 && context.run_one_for(std::chrono::seconds(5)) != 0) {
  }
  CHECK(versions == std::vector<uint64_t>{1, 2, 3});
  CHECK(bytes == 1'000'010);
  opened->close();
  while (!closed && context.run_one_for(std::chrono::seconds(5)) != 0) {
  }
  CHECK(closed);
  CHECK_FALSE(opened->send(frameWith(4, 0)));
}

TEST_CASE("Dialing an address without a listener returns no link") {
  boost::asio::io_context context;
  link::LinkDialer dialer(context);
  bool ended = false;
  dialer.dial("127.0.0.1:1", std::chrono::milliseconds(500), [&](auto link) {
    CHECK(link == nullptr);
    ended = true;
  });
  while (!ended && context.run_one_for(std::chrono::seconds(5)) != 0) {
  }
  CHECK(ended);
}

} // namespace workshatch::test
