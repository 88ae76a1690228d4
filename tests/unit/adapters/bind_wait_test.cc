/// @file
/// Tests of starts while another socket or process still holds an address or the data folder.
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <sys/file.h>
#include <thread>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include "adapters/datagram/udp_socket.h"
#include "adapters/disk/file_log_store.h"
#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"
#include "adapters/link/framed_link.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::chrono::milliseconds kHeldFor{300};

/// Holds an address for a limited time, as an outgoing connection or a predecessor does.
template <typename Protocol> class HeldAddress {
public:
  HeldAddress()
      : socket_(context_, typename Protocol::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        address_("127.0.0.1:" + std::to_string(socket_.local_endpoint().port())), release_([this] {
          std::this_thread::sleep_for(kHeldFor);
          socket_.close();
        }) {}
  ~HeldAddress() { release_.join(); }
  HeldAddress(const HeldAddress&) = delete;
  HeldAddress& operator=(const HeldAddress&) = delete;

  const std::string& address() const { return address_; }

private:
  asio::io_context context_;
  typename Protocol::socket socket_;
  const std::string address_;
  std::thread release_;
};

http::awaitable<void> answerNothing(http::Exchange& /*exchange*/) { co_return; }

http::Response refuse(http::Status status, const std::string& reason) {
  return http::makeProblem(http::Problem{.status = status, .code = "bad", .detail = reason});
}

} // namespace

TEST_CASE("A process ends because an address is held at the moment of its start") {
  SUBCASE("a server's") {
    const HeldAddress<tcp> held;
    WorkerPool workers(1);
    http::Server server(workers, http::ServerLimits{}, &answerNothing, &refuse);
    CHECK_FALSE(isError(server.listen(held.address())));
  }
  SUBCASE("that of links") {
    const HeldAddress<tcp> held;
    asio::io_context context;
    link::LinkListener listener(context);
    CHECK_FALSE(isError(listener.listen(held.address(), [](const auto&) {})));
  }
  SUBCASE("that of datagrams") {
    const HeldAddress<udp> held;
    asio::io_context context;
    datagram::UdpSocket socket(context);
    CHECK_FALSE(isError(socket.open(held.address(), [](std::string_view, const auto&) {})));
  }
}

TEST_CASE("A replica ends because its predecessor still holds the data folder") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("bind-wait-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const int lock = ::open((folder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  REQUIRE(::flock(lock, LOCK_EX) == 0);
  std::thread release([lock] {
    std::this_thread::sleep_for(kHeldFor);
    ::close(lock);
  });
  SeededRandom random(1);
  disk::FileLogStore store(folder, random);
  CHECK_FALSE(isError(store.load()));
  release.join();
  std::filesystem::remove_all(folder);
}

} // namespace workshatch::test
