#include "daemon/configuration_transfer.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/compression/deflate.h"
#include "core/relay/text_patch.h"

namespace workshatch::daemon {

namespace {

constexpr size_t kMaxDocuments = 8;
/// Above this total size the oldest documents are dropped; the newest two are kept at any size.
constexpr size_t kMaxDocumentBytes = size_t{4} * 1024 * 1024;
constexpr size_t kMinDocuments = 2;

} // namespace

v1::StoredConfiguration packConfiguration(uint64_t version, std::string_view document) {
  v1::StoredConfiguration stored;
  stored.set_version(version);
  stored.set_compressed_document(compression::deflate(document));
  stored.set_document_bytes(document.size());
  return stored;
}

Result<std::string> unpackConfiguration(const v1::StoredConfiguration& stored) {
  return compression::inflate(stored.compressed_document(), stored.document_bytes());
}

void ConfigurationUpdateBuilder::add(const v1::StoredConfiguration& stored) {
  if (stored.version() <= newest_seen_) {
    return;
  }
  newest_seen_ = stored.version();
  Result<std::string> document = unpackConfiguration(stored);
  if (isError(document)) {
    line_log::write("configuration_unreadable",
                    {{"version", stored.version()}, {"error", errorOf(document).message}});
    return;
  }
  documents_.push_back(
      Document{.version = stored.version(), .text = std::move(std::get<std::string>(document))});
  bytes_ += documents_.back().text.size();
  updates_.clear();
  while (documents_.size() > kMaxDocuments ||
         (bytes_ > kMaxDocumentBytes && documents_.size() > kMinDocuments)) {
    dropOldest();
  }
}

void ConfigurationUpdateBuilder::dropOldest() {
  bytes_ -= documents_.front().text.size();
  documents_.pop_front();
}

const ConfigurationUpdateBuilder::Document*
ConfigurationUpdateBuilder::find(uint64_t version) const {
  const auto found =
      std::find_if(documents_.begin(), documents_.end(),
                   [version](const Document& document) { return document.version == version; });
  return found == documents_.end() ? nullptr : &*found;
}

const v1::ConfigurationUpdate& ConfigurationUpdateBuilder::updateFrom(uint64_t base_version) {
  const uint64_t known_base = find(base_version) == nullptr ? 0 : base_version;
  const auto made = updates_.find(known_base);
  if (made != updates_.end()) {
    return made->second;
  }
  return updates_.emplace(known_base, makeUpdate(known_base)).first->second;
}

v1::ConfigurationUpdate ConfigurationUpdateBuilder::makeUpdate(uint64_t base_version) const {
  v1::ConfigurationUpdate update;
  if (documents_.empty()) {
    return update;
  }
  const Document* base = find(base_version);
  const std::string_view base_text = base == nullptr ? std::string_view() : base->text;
  relay::TextPatch patch = relay::makePatch(base_text, documents_.back().text);
  update.set_version(documents_.back().version);
  update.set_base_version(base_version);
  *update.mutable_patch() = std::move(patch.pieces);
  update.set_literal_bytes(patch.literals.size());
  update.set_compressed_literals(compression::deflate(patch.literals));
  return update;
}

Result<bool> ReceivedConfiguration::apply(const v1::ConfigurationUpdate& update) {
  if (update.version() <= version_) {
    return false;
  }
  if (update.base_version() != 0 && update.base_version() != version_) {
    return Error{"the base version of the update is not the current version"};
  }
  auto literals = compression::inflate(update.compressed_literals(), update.literal_bytes());
  if (isError(literals)) {
    return errorOf(literals);
  }
  const std::string_view base = update.base_version() == 0 ? std::string_view() : document_;
  auto document = relay::applyPatch(
      base, relay::TextPatch{.pieces = update.patch(),
                             .literals = std::move(std::get<std::string>(literals))});
  if (isError(document)) {
    return errorOf(document);
  }
  version_ = update.version();
  document_ = std::move(std::get<std::string>(document));
  return true;
}

void ReceivedConfiguration::reset() {
  version_ = 0;
  document_.clear();
}

} // namespace workshatch::daemon
