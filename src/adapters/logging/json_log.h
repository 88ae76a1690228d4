/// @file
/// Logging of JSON objects, one per line, to standard error, for processes with several threads.
///
/// Logging never blocks. Lines that the reader does not accept yet stay in a bounded buffer and are
/// written together with later ones. Lines that do not fit are dropped and counted.
#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace workshatch::logging {

enum class Severity { Info, Warning, Error };

/// Initializes the log. Called once, before any thread starts.
/// @param process name of the process, written in every line
void initialize(std::string_view process);

/// Writes one line with time, severity, process and `event`, and the members of `fields`.
/// Safe for concurrent use.
void write(Severity severity, std::string_view event, const nlohmann::json& fields);

/// Writes the lines that are still buffered. Waits for the reader for at most half a second. Called
/// last before the process exits.
void finish();

} // namespace workshatch::logging
