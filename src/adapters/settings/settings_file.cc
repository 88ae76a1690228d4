#include "adapters/settings/settings_file.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <sys/stat.h>
#include <utility>

#include <google/protobuf/util/json_util.h>

#include "adapters/http/http_types.h"
#include "adapters/settings/schemas.h"

namespace workshatch::settings {

namespace {

using nlohmann::json;

template <typename Message>
std::variant<Message, ValidationErrors> toMessage(const json& document, const std::string& source) {
  Message message;
  const auto status = google::protobuf::util::JsonStringToMessage(document.dump(), &message);
  if (!status.ok()) {
    return ValidationErrors{
        ValidationError{.source = source, .pointer = "", .message = status.ToString()}};
  }
  return message;
}

void checkEndpoint(const std::string& address, const std::string& pointer,
                   const std::string& source, ValidationErrors& errors) {
  if (!http::parseEndpoint(address)) {
    errors.push_back(
        ValidationError{.source = source,
                        .pointer = pointer,
                        .message = "\"" + address + "\" is not an IP literal with a port"});
  }
}

void checkFileMode(const std::string& path, ValidationErrors& errors) {
  struct stat info {};
  if (::stat(path.c_str(), &info) == 0 && (info.st_mode & (S_IRGRP | S_IROTH)) != 0) {
    errors.push_back(ValidationError{.source = path,
                                     .pointer = "",
                                     .message =
                                         "holds keys and may be read by other users; expected mode "
                                         "0600 (chmod 600)"});
  }
}

ValidationErrors checkSettings(const v1::Settings& settings, const std::string& source) {
  ValidationErrors errors;
  if (!settings.has_router() && !settings.has_control()) {
    errors.push_back(ValidationError{
        .source = source, .pointer = "", .message = "expected \"router\", \"control\" or both"});
  }
  for (int i = 0; i < settings.control_addresses_size(); ++i) {
    checkEndpoint(settings.control_addresses(i), "/control_addresses/" + std::to_string(i), source,
                  errors);
  }
  if (settings.has_router()) {
    checkEndpoint(settings.router().http_address(), "/router/http_address", source, errors);
    checkEndpoint(settings.router().peer_address(), "/router/peer_address", source, errors);
    checkEndpoint(settings.router().platform_address(), "/router/platform_address", source, errors);
  }
  if (settings.has_control()) {
    const v1::ControlSettings& control = settings.control();
    checkEndpoint(control.rpc_address(), "/control/rpc_address", source, errors);
    if (control.election_timeout_ms() < control.heartbeat_ms() * 4) {
      errors.push_back(ValidationError{.source = source,
                                       .pointer = "/control/election_timeout_ms",
                                       .message = "expected at least 4 times heartbeat_ms"});
    }
  }
  return errors;
}

template <typename Items, typename Name>
std::set<std::string> collectUniqueNames(const Items& items, const std::string& member,
                                         Name name_of, const std::string& source,
                                         ValidationErrors& errors) {
  std::set<std::string> names;
  int index = 0;
  for (const auto& item : items) {
    if (!names.insert(name_of(item)).second) {
      errors.push_back(ValidationError{.source = source,
                                       .pointer = "/" + member + "/" + std::to_string(index),
                                       .message = "\"" + name_of(item) + "\" is declared twice"});
    }
    ++index;
  }
  return names;
}

} // namespace

std::variant<v1::Settings, ValidationErrors> loadSettings(const std::string& path) {
  JsonOrErrors read = readJson(path);
  if (std::holds_alternative<ValidationErrors>(read)) {
    return std::get<ValidationErrors>(read);
  }
  ValidationErrors errors;
  checkFileMode(path, errors);
  JsonOrErrors checked = validateJson(std::move(std::get<json>(read)), kSettingsSchema, path);
  if (std::holds_alternative<ValidationErrors>(checked)) {
    const ValidationErrors& found = std::get<ValidationErrors>(checked);
    errors.insert(errors.end(), found.begin(), found.end());
    return errors;
  }
  auto message = toMessage<v1::Settings>(std::get<json>(checked), path);
  if (std::holds_alternative<ValidationErrors>(message)) {
    return message;
  }
  const ValidationErrors found = checkSettings(std::get<v1::Settings>(message), path);
  errors.insert(errors.end(), found.begin(), found.end());
  if (!errors.empty()) {
    return errors;
  }
  return message;
}

std::variant<v1::Configuration, ValidationErrors> loadDeclarations(const std::string& folder) {
  std::error_code failure;
  std::vector<std::string> paths;
  for (const auto& entry : std::filesystem::directory_iterator(folder, failure)) {
    if (entry.path().extension() == ".json") {
      paths.push_back(entry.path().string());
    }
  }
  if (failure || paths.empty()) {
    return ValidationErrors{
        ValidationError{.source = folder,
                        .pointer = "",
                        .message = "expected a folder with declarations in *.json files"}};
  }
  std::sort(paths.begin(), paths.end());
  v1::Configuration configuration;
  ValidationErrors errors;
  for (const std::string& path : paths) {
    JsonOrErrors read = readJson(path);
    if (std::holds_alternative<json>(read)) {
      read = validateJson(std::move(std::get<json>(read)), kDeclarationsSchema, path);
    }
    if (std::holds_alternative<ValidationErrors>(read)) {
      const ValidationErrors& found = std::get<ValidationErrors>(read);
      errors.insert(errors.end(), found.begin(), found.end());
      continue;
    }
    auto part = toMessage<v1::Configuration>(std::get<json>(read), path);
    if (const ValidationErrors* found = std::get_if<ValidationErrors>(&part)) {
      errors.insert(errors.end(), found->begin(), found->end());
      continue;
    }
    configuration.MergeFrom(std::get<v1::Configuration>(part));
  }
  const ValidationErrors found = checkConfiguration(configuration, folder);
  errors.insert(errors.end(), found.begin(), found.end());
  if (!errors.empty()) {
    return errors;
  }
  return configuration;
}

ValidationErrors checkConfiguration(const v1::Configuration& configuration,
                                    const std::string& source) {
  ValidationErrors errors;
  collectUniqueNames(
      configuration.tenants(), "tenants", [](const auto& item) { return item.name(); }, source,
      errors);
  const std::set<std::string> services = collectUniqueNames(
      configuration.services(), "services", [](const auto& item) { return item.name(); }, source,
      errors);
  collectUniqueNames(
      configuration.runners(), "runners", [](const auto& item) { return item.runner(); }, source,
      errors);
  for (int i = 0; i < configuration.services_size(); ++i) {
    const v1::Service& service = configuration.services(i);
    if (service.aim_factor() > service.cap_factor()) {
      errors.push_back(ValidationError{.source = source,
                                       .pointer = "/services/" + std::to_string(i) + "/aim_factor",
                                       .message = "expected at most cap_factor"});
    }
  }
  for (int i = 0; i < configuration.routes_size(); ++i) {
    if (!services.contains(configuration.routes(i).service())) {
      errors.push_back(ValidationError{
          .source = source,
          .pointer = "/routes/" + std::to_string(i) + "/service",
          .message = "no service \"" + configuration.routes(i).service() + "\" is declared"});
    }
  }
  return errors;
}

} // namespace workshatch::settings
