/// @file
/// Logging of JSON objects, one per line, to standard output, for processes with an event loop.
///
/// Logging never blocks. Lines stay in a bounded buffer until `flush` writes them. Lines that do
/// not fit are dropped and counted. Safe for concurrent use.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace workshatch::line_log {

/// Sets the members that are the same in every line. Called once, before the first line.
void initialize(std::string process, std::string role);

/// Buffers one line with time, process, role, `event` and the members of `fields`.
void write(std::string_view event, const nlohmann::json& fields);

/// Writes as many lines as is possible without blocking. LogFlusher calls it periodically on an
/// event loop.
void flush();

/// @return the number of lines dropped since the start because the buffer was full.
uint64_t droppedLines();

} // namespace workshatch::line_log
