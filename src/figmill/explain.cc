#include "figmill/explain.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <set>

namespace figmill {
namespace {

constexpr int kNothingFound = 1;
constexpr int kUnreadable = 2;
// What happened on the same host within this before the first line may be the cause: a
// keeper or the store is noticed as lost after some seconds.
constexpr std::chrono::seconds kBefore{5};
constexpr std::chrono::seconds kAfter{1};

// Lines that name no request but explain what happened to one.
constexpr std::array<std::string_view, 13> kOfTheHost = {
    "started",         "leaving",           "stopped",         "reload",        "store_lost",
    "store_regained",  "store_part_unread", "store_part_read", "keeper_silent", "peer_silent",
    "config_in_force", "config_refused",    "peer_live"};
constexpr std::array<std::string_view, 5> kOfABackend = {
    "backend_listed", "backend_gone", "backend_ejected", "backend_readmitted", "place_refused"};

template <std::size_t N>
bool Contains(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Names(const LoggedLine& record, std::string_view id) {
  return record.Field("request") == id || record.Field("item") == id || record.Field("job") == id;
}

// Where and when the id shows up, and what its work touched.
struct Scope {
  std::set<std::string> sources;
  std::set<std::string> backends;
  std::chrono::sys_time<std::chrono::microseconds> from, to;
};

Scope ScopeOf(std::string_view id, const std::vector<LoggedLine>& records) {
  Scope scope;
  bool first = true;
  for (const LoggedLine& record : records) {
    if (!Names(record, id)) continue;
    if (first) scope.from = record.at;
    first = false;
    scope.to = record.at;
    scope.sources.insert(record.source);
    const std::string_view backend = record.Field("backend");
    if (!backend.empty()) scope.backends.emplace(backend);
  }
  scope.from -= kBefore;
  scope.to += kAfter;
  return scope;
}

bool IsContext(const LoggedLine& record, const Scope& scope) {
  if (record.at < scope.from || record.at > scope.to) return false;
  if (!scope.sources.contains(record.source)) return false;
  if (Contains(kOfTheHost, record.event)) return true;
  return Contains(kOfABackend, record.event) &&
         scope.backends.contains(std::string(record.Field("backend")));
}

std::string Step(const LoggedLine& record, const LoggedLine& first, bool about_id) {
  const auto since = std::chrono::duration<double>(record.at - first.at).count();
  std::string text =
      fmt::format("{:+9.3f} s  {}{:<18}", since, about_id ? "" : "  (", record.event);
  for (const auto& [key, value] : record.fields) {
    if (!value.empty()) text += fmt::format(" {}={}", key, value);
  }
  if (!record.source.empty()) text += "  on " + record.source;
  return about_id ? text : text + ")";
}

std::string OfRequest(const LoggedLine& last) {
  const std::string_view outcome = last.Field("outcome");
  const std::string took = fmt::format("after {} ms", last.Field("ms"));
  if (outcome == "answered") {
    return fmt::format("It was answered with status {} by backend server {} {}.",
                       last.Field("status"), last.Field("backend"), took);
  }
  if (outcome == "refused") {
    return fmt::format("It was refused with status {} {}: {}.", last.Field("status"), took,
                       last.Field("why"));
  }
  if (outcome == "broken_off") {
    return fmt::format("It was broken off after {} events {}: {}. Backend server: {}.",
                       last.Field("events"), took, last.Field("why"), last.Field("backend"));
  }
  return fmt::format("Its caller left {}.", took);
}

std::string OfItem(const LoggedLine& last) {
  if (last.Field("state") == "complete") {
    return fmt::format("The item was completed after {} runs.", last.Field("runs"));
  }
  return fmt::format("The item was given up after {} runs: {}.", last.Field("runs"),
                     last.Field("why"));
}

std::string Concluded(const LoggedLine& last) {
  if (last.event == "request") return OfRequest(last);
  if (last.event == "item_finished") return OfItem(last);
  if (last.event == "job_call") {
    return fmt::format("The last call about the job was '{}', with status {}. {}",
                       last.Field("call"), last.Field("status"), last.Field("why"));
  }
  return fmt::format(
      "It has no end in these lines; the last one is '{}'. Its process may have died, "
      "or other lines are missing.",
      last.event);
}

// The line that says most about how it ended, or the last one that names it.
const LoggedLine* LastWord(std::string_view id, const std::vector<LoggedLine>& records) {
  const LoggedLine* last = nullptr;
  for (const LoggedLine& record : records) {
    if (!Names(record, id)) continue;
    const bool final = record.event == "request" || record.event == "item_finished";
    const bool last_is_final =
        last != nullptr && (last->event == "request" || last->event == "item_finished");
    if (final || !last_is_final) last = &record;
  }
  return last;
}

void ReadLines(std::istream& in, const std::string& source, std::vector<LoggedLine>& records) {
  for (std::string line; std::getline(in, line);) {
    std::optional<LoggedLine> record = ParseLogLine(line);
    if (!record) continue;
    if (record->source.empty()) record->source = source;
    records.push_back(*std::move(record));
  }
}

}  // namespace

Story Explain(std::string_view id, std::vector<LoggedLine> records) {
  std::stable_sort(records.begin(), records.end(),
                   [](const LoggedLine& a, const LoggedLine& b) { return a.at < b.at; });
  Story story;
  const LoggedLine* const last = LastWord(id, records);
  if (last == nullptr) return story;
  const auto first = std::find_if(records.begin(), records.end(),
                                  [id](const LoggedLine& record) { return Names(record, id); });
  const Scope scope = ScopeOf(id, records);
  for (const LoggedLine& record : records) {
    const bool about_id = Names(record, id);
    if (about_id || IsContext(record, scope)) story.steps.push_back(Step(record, *first, about_id));
  }
  story.conclusion = Concluded(*last);
  return story;
}

int RunExplain(const ToolSettings& settings) {
  std::vector<LoggedLine> records;
  if (settings.log_files.empty()) ReadLines(std::cin, "", records);
  for (const std::string& name : settings.log_files) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "can't read " << name << "\n";
      return kUnreadable;
    }
    ReadLines(file, name, records);
  }
  const Story story = Explain(settings.explained, std::move(records));
  if (story.conclusion.empty()) {
    std::cerr << "no line names " << settings.explained << "\n";
    return kNothingFound;
  }
  for (const std::string& step : story.steps) std::cout << step << "\n";
  std::cout << story.conclusion << "\n";
  return 0;
}

}  // namespace figmill
