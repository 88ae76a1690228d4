/// @file
/// Parser of scenario files, which have one command per line:
///
///   line    = [ command ] [ '#' comment ]
///   command = word { blanks word }
///   word    = name '=' value | value
///   value   = '"' characters '"' | characters without blanks and '#'
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/result.h"

namespace workshatch::scenario {

struct Command {
  size_t line = 0;
  std::string name;
  /// Values without a name, in order.
  std::vector<std::string> arguments;
  /// Named values, by name.
  std::map<std::string, std::string> options;
};

struct Script {
  std::string path;
  std::vector<Command> commands;
};

/// @param path name of the file in errors
/// @return the commands, or an error with the file, line, column and the expected syntax.
Result<Script> parseScript(const std::string& path, const std::string& content);

} // namespace workshatch::scenario
