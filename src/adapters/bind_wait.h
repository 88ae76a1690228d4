/// @file
/// Waits at the start of a process for an address that another socket still holds: that of a
/// predecessor which has not ended yet, or an outgoing connection of some process.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include <boost/system/error_code.hpp>

namespace workshatch {

/// Longest wait for an address, or for the data folder, that another process holds.
inline constexpr std::chrono::milliseconds kMaxHeldWait{3000};
inline constexpr std::chrono::milliseconds kHeldPoll{20};

/// Binds a socket, again and again while the address is in use, up to the limit. Blocks the caller,
/// so it is for the start only; a signal that arrives meanwhile is handled after it. Writes
/// "address_in_use" once if it has to wait.
/// @param bind binds the socket; called until it returns another result than "address in use"
/// @return the last result
boost::system::error_code bindWhenFree(const std::string& address,
                                       const std::function<boost::system::error_code()>& bind);

} // namespace workshatch
