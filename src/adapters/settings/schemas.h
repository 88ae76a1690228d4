/// @file
/// Texts of the JSON schemas in schema/, embedded at build time.
#pragma once

namespace workshatch::settings {

extern const char* const kSettingsSchema;
extern const char* const kDeclarationsSchema;

} // namespace workshatch::settings
