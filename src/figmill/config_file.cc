#include "figmill/config_file.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "figmill/control.h"
#include "figmill/documents.h"
#include "figmill/session.h"

namespace figmill {
namespace {

using query::QueryAnswer;

constexpr int kDiffers = 1;  // as diff(1) has it

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file) return Error{ErrorKind::kNotFound, "can't read " + path};
  return text.str();
}

// Checked here already, so that a mistake is told without an entry at hand.
Result<Config> ReadConfig(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!IsOk(text)) return ErrorOf(text);
  Result<Config> config = ParseConfig(ValueOf(text));
  if (IsOk(config)) return config;
  Error error = ErrorOf(config);
  error.detail = path + ": " + error.detail;
  return error;
}

// {"version": N, "config": {...}}
Result<Config> ConfigInForce(ToolClient& client) {
  const Result<std::string> body = client.Send({"GET", "/v1/config", "", Effect::kNone});
  if (!IsOk(body)) return ErrorOf(body);
  const nlohmann::json document = ParseJson(ValueOf(body));
  if (!document.is_object() || !document.contains("config")) {
    return Error{ErrorKind::kBackendFailed, "the entry's answer holds no configuration"};
  }
  return ParseConfig(document.at("config").dump());
}

void Print(const ToolSettings& settings, const QueryAnswer& answer) {
  std::cout << (settings.json ? query::ToJson(answer) + "\n" : query::ToText(answer));
}

}  // namespace

int ApplyFile(const ToolSettings& settings) {
  const Result<Config> config = ReadConfig(settings.file);
  if (!IsOk(config)) return PrintError(ErrorOf(config));
  ToolClient client(settings);
  std::string target = "/v1/config";
  if (!settings.if_version.empty()) target += "?if_version=" + settings.if_version;
  const Result<std::string> body =
      client.Send({"POST", target, ToJson(ValueOf(config)), Effect::kOrder});
  if (!IsOk(body)) return PrintError(ErrorOf(body));
  const Result<QueryAnswer> answer = query::ParseAnswer(ValueOf(body));
  if (!IsOk(answer)) return PrintError(ErrorOf(answer));
  Print(settings, ValueOf(answer));
  return 0;
}

int DiffFile(const ToolSettings& settings) {
  const Result<Config> wanted = ReadConfig(settings.file);
  if (!IsOk(wanted)) return PrintError(ErrorOf(wanted));
  ToolClient client(settings);
  const Result<Config> now = ConfigInForce(client);
  if (!IsOk(now)) return PrintError(ErrorOf(now));
  const query::Table differences = query::DifferenceTable(ValueOf(now), ValueOf(wanted));
  const bool same = differences.rows.empty();
  Print(settings, differences);
  return same ? 0 : kDiffers;
}

}  // namespace figmill
