/// @file
/// Log lines as JSON objects, one a line, on standard error, from a process with many threads.
///
/// The writer never waits for the reader: lines wait in a bounded buffer and are written with later
/// ones; what does not fit is dropped and counted.
#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace workshatch::logging {

enum class Severity { Info, Warning, Error };

/// Sets up the log once, before any thread starts.
/// @param process name of the process, a member of every line.
void initialize(std::string_view process);

/// Writes one line with time, severity, process and `event`, and the members of `fields`.
/// Safe for concurrent use.
void write(Severity severity, std::string_view event, const nlohmann::json& fields);

/// Gives the reader a moment, half a second at most, for the lines that it has not taken yet. The
/// last thing before a process ends.
void finish();

} // namespace workshatch::logging
