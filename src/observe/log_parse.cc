// Reads back what LogLine wrote.

#include <ctime>
#include <iomanip>
#include <sstream>

#include "figmill/observe.h"

namespace figmill {
namespace {

constexpr std::string_view kEvent = " event=";

// Takes one value off the front: quoted, or up to the next blank.
std::string TakeValue(std::string_view& rest) {
  std::string value;
  if (!rest.starts_with('"')) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    value = rest.substr(0, end);
    rest.remove_prefix(end);
    return value;
  }
  std::size_t at = 1;
  while (at < rest.size() && rest[at] != '"') {
    const bool escaped = rest[at] == '\\' && at + 1 < rest.size();
    if (escaped) ++at;
    value += escaped && rest[at] == 'n' ? '\n' : rest[at];
    ++at;
  }
  rest.remove_prefix(std::min(at + 1, rest.size()));
  return value;
}

// "2026-12-02T21:32:44.539803Z"
std::optional<std::chrono::sys_time<std::chrono::microseconds>> TimeOf(std::string_view text) {
  std::istringstream in{std::string(text)};
  std::tm parts{};
  long fraction = 0;
  char dot = 0;
  char zone = 0;
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> fraction >> zone;
  if (in.fail() || dot != '.' || zone != 'Z') return std::nullopt;
  const auto seconds = std::chrono::sys_seconds(std::chrono::seconds(timegm(&parts)));
  return seconds + std::chrono::microseconds(fraction);
}

// The words before the event: an optional source, the time and the level.
bool ReadFront(std::string_view front, LoggedLine& record) {
  std::istringstream words{std::string(front)};
  for (std::string word; words >> word;) {
    if (const auto at = TimeOf(word)) {
      record.at = *at;
      return true;
    }
    record.source = word;
  }
  return false;
}

}  // namespace

std::string_view LoggedLine::Field(std::string_view key) const {
  for (const auto& [name, value] : fields) {
    if (name == key) return value;
  }
  return {};
}

std::optional<LoggedLine> ParseLogLine(std::string_view line) {
  const std::size_t start = line.find(kEvent);
  if (start == std::string_view::npos) return std::nullopt;
  LoggedLine record;
  if (!ReadFront(line.substr(0, start), record)) return std::nullopt;
  std::string_view rest = line.substr(start + kEvent.size());
  record.event = TakeValue(rest);
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) break;
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    record.fields.emplace_back(std::move(key), TakeValue(rest));
  }
  return record;
}

}  // namespace figmill
