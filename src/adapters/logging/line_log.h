/// @file
/// JSON log lines on standard output, from a process with one event loop.
///
/// The writer never blocks: lines wait in a bounded buffer and are written while the reader takes
/// them; what does not fit is dropped and counted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace workshatch::line_log {

/// Sets the members that every line has. Called once, before the first line.
void initialize(std::string process, std::string role);

/// Queues one line with time, process, role, `event` and the members of `fields`.
void write(std::string_view event, const nlohmann::json& fields);

/// Writes as much as the reader takes now. The event loop calls it often.
void flush();

/// Lines dropped because the reader did not keep up.
uint64_t droppedLines();

} // namespace workshatch::line_log
