#include "core/relay/text_patch.h"

#include <unordered_map>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// @return the length of the first part of `text`.
size_t partLength(std::string_view text) {
  const size_t end = text.find_first_of("}\n");
  return end == std::string_view::npos ? text.size() : end + 1;
}

std::unordered_map<std::string_view, size_t> indexParts(std::string_view base) {
  std::unordered_map<std::string_view, size_t> parts;
  for (size_t at = 0; at < base.size();) {
    const size_t length = partLength(base.substr(at));
    parts.emplace(base.substr(at, length), at);
    at += length;
  }
  return parts;
}

/// Appends a copy, or extends the last piece if the copy continues where that piece's copy ended.
void appendCopy(v1::TextPatch& pieces, size_t from, size_t length) {
  if (pieces.pieces_size() != 0) {
    v1::TextPiece& last = *pieces.mutable_pieces(pieces.pieces_size() - 1);
    const bool continues_last =
        last.literal_bytes() == 0 && last.copy_from() + last.copy_bytes() == from;
    if (continues_last) {
      last.set_copy_bytes(last.copy_bytes() + static_cast<uint32_t>(length));
      return;
    }
  }
  v1::TextPiece* piece = pieces.add_pieces();
  piece->set_copy_from(static_cast<uint32_t>(from));
  piece->set_copy_bytes(static_cast<uint32_t>(length));
}

void appendLiteral(v1::TextPatch& pieces, size_t length) {
  v1::TextPiece* last = pieces.pieces_size() == 0 ? pieces.add_pieces()
                                                  : pieces.mutable_pieces(pieces.pieces_size() - 1);
  last->set_literal_bytes(last->literal_bytes() + static_cast<uint32_t>(length));
}

} // namespace

TextPatch makePatch(std::string_view base, std::string_view target) {
  const auto parts = indexParts(base);
  TextPatch patch;
  size_t copied_up_to = 0;
  for (size_t at = 0; at < target.size();) {
    const size_t length = partLength(target.substr(at));
    const std::string_view part = target.substr(at, length);
    at += length;
    const bool continues_copy =
        copied_up_to <= base.size() && base.substr(copied_up_to).substr(0, length) == part;
    const auto found = parts.find(part);
    if (!continues_copy && found == parts.end()) {
      appendLiteral(patch.pieces, length);
      patch.literals.append(part);
      continue;
    }
    const size_t from = continues_copy ? copied_up_to : found->second;
    appendCopy(patch.pieces, from, length);
    copied_up_to = from + length;
  }
  patch.pieces.set_target_bytes(target.size());
  patch.pieces.set_target_fingerprint(routing::fingerprintOf(target));
  return patch;
}

Result<std::string> applyPatch(std::string_view base, const TextPatch& patch) {
  uint64_t pieces_bytes = 0;
  for (const v1::TextPiece& piece : patch.pieces.pieces()) {
    pieces_bytes += uint64_t{piece.copy_bytes()} + piece.literal_bytes();
  }
  if (pieces_bytes != patch.pieces.target_bytes()) {
    return Error{"the pieces of the patch do not add up to the size of its target"};
  }
  std::string target;
  size_t literals_used = 0;
  for (const v1::TextPiece& piece : patch.pieces.pieces()) {
    const bool in_bounds = uint64_t{piece.copy_from()} + piece.copy_bytes() <= base.size() &&
                           literals_used + piece.literal_bytes() <= patch.literals.size();
    if (!in_bounds) {
      return Error{"a piece of the patch lies outside its base"};
    }
    target.append(base.substr(piece.copy_from(), piece.copy_bytes()));
    target.append(patch.literals, literals_used, piece.literal_bytes());
    literals_used += piece.literal_bytes();
  }
  if (routing::fingerprintOf(target) != patch.pieces.target_fingerprint()) {
    return Error{"the patch was made for another base"};
  }
  return target;
}

} // namespace workshatch::relay
