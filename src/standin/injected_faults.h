/// @file
/// Faults that a test injects into a back-end stand-in through its `/fault` endpoint.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace workshatch::standin {

/// Exit code after the `die` fault: the code that a shell reports for a process ended by SIGKILL.
inline constexpr int kKilledExitCode = 137;

/// The current fault settings. Not safe for concurrent use; owned by the stand-in's only worker.
struct InjectedFaults {
  /// Responses are held back while this is true.
  bool frozen = false;
  /// Delay before each response or stream event, milliseconds.
  uint32_t delay_ms = 0;
  /// Number of stream events that are sent before the connection is cut. Connections of plain
  /// responses are cut only if this is zero.
  uint32_t cut_after = 0;
  /// Number of connections that are still to be cut.
  uint32_t cut_times = 0;
  /// Swaps consecutive stream events in pairs.
  bool out_of_order = false;
  /// Sends an event of another request before each event of a stream.
  bool foreign_events = false;
  /// Rejects requests before they run.
  bool refuse = false;
  /// Load reports announce that the runner is leaving.
  bool leaving = false;

  /// Sets the fields that are present in `members`. `"die": true` ends the process at once.
  void set(const nlohmann::json& members) {
    frozen = members.value("frozen", frozen);
    delay_ms = members.value("delay_ms", delay_ms);
    cut_after = members.value("cut_after", cut_after);
    cut_times = members.value("cut_times", cut_times);
    out_of_order = members.value("out_of_order", out_of_order);
    foreign_events = members.value("foreign_events", foreign_events);
    refuse = members.value("refuse", refuse);
    leaving = members.value("leaving", leaving);
    if (members.value("die", false)) {
      std::_Exit(kKilledExitCode);
    }
  }

  /// Waits for `delay_ms` and then until `frozen` is false.
  boost::asio::awaitable<void> applyDelay() const {
    constexpr std::chrono::milliseconds kFrozenPollInterval{20};
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    if (delay_ms > 0) {
      timer.expires_after(std::chrono::milliseconds(delay_ms));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    while (frozen) {
      timer.expires_after(kFrozenPollInterval);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  /// Decides whether to cut the connection; each cut uses up one of `cut_times`.
  /// @param events events that were already sent on the stream; zero for a plain response
  /// @return true when the caller must cut the connection now.
  bool consumeCut(uint32_t events) {
    if (cut_times == 0 || events < cut_after) {
      return false;
    }
    --cut_times;
    return true;
  }
};

} // namespace workshatch::standin
