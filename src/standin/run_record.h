/// @file
/// Counts of runs by request, kept by every back-end stand-in as the truth that tests compare with.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "adapters/http/http_types.h"

namespace workshatch::standin {

/// Belongs to the stand-in's one worker.
class RunRecord {
public:
  /// @param path file that gets a line for each run, before it starts, and outlives a killed
  /// process; empty: none.
  explicit RunRecord(const std::string& path) {
    if (!path.empty()) {
      constexpr int kFileMode = 0600;
      file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    }
  }
  ~RunRecord() {
    if (file_ >= 0) {
      ::close(file_);
    }
  }
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  /// @param id the request's id
  /// @param key its idempotency key, or empty
  /// @return how often the key, or else the id, has run, this run included.
  uint64_t recordRun(const std::string& id, const std::string& key) {
    if (file_ >= 0) {
      const std::string line = id + "\t" + key + "\n";
      // A line that cannot be written would hide a run: the stand-in stops.
      if (::write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::abort();
      }
    }
    return ++runs_[key.empty() ? id : key];
  }

  /// All counts as a JSON object.
  http::Response toResponse() const {
    return http::makeResponse(http::Status::ok, "application/json", nlohmann::json(runs_).dump());
  }

private:
  std::map<std::string, uint64_t> runs_;
  int file_ = -1;
};

} // namespace workshatch::standin
