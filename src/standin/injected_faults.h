/// @file
/// InjectedFaults of a stand-in, set by flags or over its fault endpoint.
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

/// Exit code of a stand-in that was told to die, as of a killed process.
inline constexpr int kKilledExitCode = 137;

/// Belongs to the stand-in's one worker. `"die": true` ends the process at once.
struct InjectedFaults {
  /// Answers wait while this is true.
  bool frozen = false;
  /// Added before each answer, milliseconds.
  uint32_t delay_ms = 0;
  /// Connections are cut after this many events of a stream, or before a plain answer; this many
  /// times.
  uint32_t cut_after = 0;
  uint32_t cut_times = 0;
  /// Each second event of a stream is sent before the one that precedes it.
  bool out_of_order = false;
  /// Events of another request are mixed into streams.
  bool foreign_events = false;
  /// Requests are refused before they run.
  bool refuse = false;
  /// The runner says that it is leaving.
  bool leaving = false;

  /// Sets the members that the JSON object names.
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

  /// Waits as the faults ask for.
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

  /// @return whether the connection is to be cut now; counts the cut.
  bool consumeCut(uint32_t events) {
    if (cut_times == 0 || events < cut_after) {
      return false;
    }
    --cut_times;
    return true;
  }
};

} // namespace workshatch::standin
