/// @file
/// Counts how often each request ran in a back-end stand-in. Tests compare the responses with it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "adapters/http/http_types.h"
#include "core/check.h"

namespace workshatch::standin {

/// Not safe for concurrent use; owned by the stand-in's only worker.
class RunRecord {
public:
  /// @param path file to which a line is appended before each run, so that the record survives a
  /// killed process; empty for no file. Aborts the process if the file cannot be opened: without
  /// it, runs would be missing from the checks without a trace.
  explicit RunRecord(const std::string& path) {
    if (!path.empty()) {
      constexpr int kFileMode = 0600;
      file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
      WORKSHATCH_CHECK(file_ >= 0, "cannot open the run file");
    }
  }
  ~RunRecord() {
    if (file_ >= 0) {
      ::close(file_);
    }
  }
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  /// Records a run. Aborts the process if the file cannot be written.
  /// @param id request id
  /// @param key idempotency key, or empty
  /// @return number of runs of the key, or of the id if there is no key, including this one.
  uint64_t recordRun(const std::string& id, const std::string& key) {
    if (file_ >= 0) {
      const std::string line = id + "\t" + key + "\n";
      // A missing line would hide a run from the test, so the stand-in aborts.
      if (::write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::abort();
      }
    }
    return ++runs_[key.empty() ? id : key];
  }

  /// @return a response whose body is a JSON object of all counts.
  http::Response toResponse() const {
    return http::makeResponse(http::Status::ok, "application/json", nlohmann::json(runs_).dump());
  }

private:
  /// Number of runs by key, or by id for requests without a key.
  std::map<std::string, uint64_t> runs_;
  int file_ = -1;
};

} // namespace workshatch::standin
