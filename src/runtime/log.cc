#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "runtime/log_line.h"

namespace figmill {
namespace {

bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte != 0x7F && c != '"' && c != '=' && c != '\\';
}

void AppendEscaped(std::string& out, char c) {
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
  } else if (c == '\n') {
    out += "\\n";
  } else if (byte < 0x20 || byte == 0x7F) {
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\x%02x", byte);
    out += code.data();
  } else {
    out += c;
  }
}

void AppendValue(std::string& out, std::string_view value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    out += value;
    return;
  }
  out += '"';
  for (const char c : value) AppendEscaped(out, c);
  out += '"';
}

}  // namespace

std::string detail::LogLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=";
  AppendValue(line, event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  return line;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const std::string line = detail::LogLine(event, fields);
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

void StartLogging(const char* program, LogLevel least) {
  FLAGS_logtostderr = true;  // hosts have no disks; whoever starts us keeps the lines
  FLAGS_minloglevel = static_cast<int>(least);
  if (!google::IsGoogleLoggingInitialized()) google::InitGoogleLogging(program);
}

}  // namespace figmill
