/// @file
/// Packs stored configurations, and builds and applies the compressed patches by which the leader
/// sends configurations to the relays.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::daemon {

/// Builds the stored form of a configuration. The document is compressed because every copy uses
/// the network and the disks of small machines.
v1::StoredConfiguration packConfiguration(uint64_t version, std::string_view document);

/// @return the uncompressed document, or an error if the stored configuration is damaged.
Result<std::string> unpackConfiguration(const v1::StoredConfiguration& stored);

/// Builds the configuration updates for relays. Keeps the most recent documents, so that a relay
/// that has one of them receives only the difference. Not safe for concurrent use.
class ConfigurationUpdateBuilder {
public:
  /// Adds a configuration; ignored unless its version is higher than that of all earlier ones. One
  /// that cannot be read is logged and left out: relays keep the one that they have.
  void add(const v1::StoredConfiguration& stored);

  /// Builds the update to the newest configuration, once per base version.
  /// @param base_version version that the receiver has; zero if it has none
  /// @return the update; valid until the next `add`. It contains the whole document if the base
  /// version is not kept any more.
  const v1::ConfigurationUpdate& updateFrom(uint64_t base_version);

private:
  struct Document {
    uint64_t version = 0;
    std::string text;
  };

  v1::ConfigurationUpdate makeUpdate(uint64_t base_version) const;
  const Document* find(uint64_t version) const;
  void dropOldest();

  /// Highest version that was added, readable or not.
  uint64_t newest_seen_ = 0;
  /// In ascending order of version.
  std::deque<Document> documents_;
  size_t bytes_ = 0;
  /// Updates to the newest document, by base version.
  std::map<uint64_t, v1::ConfigurationUpdate> updates_;
};

/// The configuration document that a relay received last. Not safe for concurrent use.
class ReceivedConfiguration {
public:
  /// Zero if no document has been received.
  uint64_t version() const { return version_; }
  const std::string& document() const { return document_; }

  /// Applies an update.
  /// @return whether the document changed: false if the update is not newer. An error if the update
  /// does not apply to the current document; the caller then needs the whole document.
  Result<bool> apply(const v1::ConfigurationUpdate& update);

  /// Discards the document, so that the next update contains the whole one.
  void reset();

private:
  uint64_t version_ = 0;
  std::string document_;
};

} // namespace workshatch::daemon
