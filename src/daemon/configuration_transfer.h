/// @file
/// How a configuration travels from the leader to the relays: as a patch, compressed.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::daemon {

/// A configuration as it is stored: with its document compressed, since each copy crosses links and
/// disks of small machines.
v1::StoredConfiguration packConfiguration(uint64_t version, std::string_view document);

/// @return the document of a stored configuration, or an error when it is damaged.
Result<std::string> unpackConfiguration(const v1::StoredConfiguration& stored);

/// Makes the updates that relays are sent. Remembers the newest documents, so that a relay that
/// holds one of them is sent the difference only. Not safe for concurrent use.
class ConfigurationUpdateBuilder {
public:
  /// Takes the newest configuration.
  void add(const v1::StoredConfiguration& stored);

  /// @param base_version what the receiver holds; zero: nothing
  /// @return the update to the newest configuration; valid until the next `add`. Made once for each
  /// base.
  const v1::ConfigurationUpdate& updateFrom(uint64_t base_version);

private:
  struct Document {
    uint64_t version = 0;
    std::string text;
  };

  v1::ConfigurationUpdate makeUpdate(uint64_t base_version) const;
  const Document* find(uint64_t version) const;
  void dropOldest();

  /// By rising version.
  std::deque<Document> documents_;
  size_t bytes_ = 0;
  /// Updates to the newest document, by base version.
  std::map<uint64_t, v1::ConfigurationUpdate> updates_;
};

/// The document that a relay holds. Not safe for concurrent use.
class ReceivedConfiguration {
public:
  /// Version zero: none has arrived.
  uint64_t version() const { return version_; }
  const std::string& document() const { return document_; }

  /// @return whether the document is newer now; an error when the update does not fit what is held:
  /// then the whole document is needed.
  Result<bool> take(const v1::ConfigurationUpdate& update);

  /// Gives up what is held, so that the whole document is asked for.
  void forget();

private:
  uint64_t version_ = 0;
  std::string document_;
};

} // namespace workshatch::daemon
