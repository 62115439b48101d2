#include "figmill/settings.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace figmill {
namespace {

constexpr int kBadSettings = 2;
constexpr double kMicrosecondsPerSecond = 1e6;

std::string FromEnvironment(const char* name) {
  const char* const value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): one thread yet
  return value == nullptr ? std::string() : std::string(value);
}

std::string DefaultHistory() {
  const std::string home = FromEnvironment("HOME");
  return home.empty() ? std::string() : home + "/.figmill_history";
}

std::vector<Address> ParseEntries(const std::vector<std::string>& texts) {
  std::vector<Address> entries;
  for (const std::string& text : texts) {
    const Result<Address> address = ParseAddress(text);
    if (!IsOk(address))
      throw CLI::ValidationError("--entry (FIGMILL_ENTRY)", ErrorOf(address).detail);
    entries.push_back(ValueOf(address));
  }
  return entries;
}

void AddOptions(CLI::App& app, ToolSettings& settings) {
  app.add_option_function<std::vector<std::string>>(
         "--entry",
         [&settings](const std::vector<std::string>& texts) {
           settings.entries = ParseEntries(texts);
         },
         "entries, each tried if the one before can't be reached [127.0.0.1:8080]")
      ->delimiter(',')
      ->envname("FIGMILL_ENTRY")
      ->type_name("IP:PORT");
  app.add_option("-c,--command", settings.statements,
                 "a statement to run; without, they are read from standard input")
      ->type_name("STATEMENT");
  app.add_flag("--json", settings.json, "answers as JSON, one document a line")
      ->envname("FIGMILL_JSON");
  app.add_option("--author", settings.author, "who gives the orders, for the log [$USER]")
      ->envname("FIGMILL_AUTHOR");
  app.add_option("--history", settings.history, "file of typed statements [~/.figmill_history]")
      ->envname("FIGMILL_HISTORY");
  app.add_option_function<double>(
         "--timeout",
         [&settings](double seconds) {
           settings.timeout =
               Duration(static_cast<Duration::rep>(seconds * kMicrosecondsPerSecond));
         },
         "seconds that one request may take [60]")
      ->check(CLI::Range(0.1, 3600.0))
      ->envname("FIGMILL_TIMEOUT");
}

ToolTask TaskOf(bool check, const CLI::App& apply, const CLI::App& diff, const CLI::App& explain) {
  if (explain.parsed()) return ToolTask::kExplain;
  if (check) return ToolTask::kCheckSettings;
  if (apply.parsed()) return ToolTask::kApply;
  if (diff.parsed()) return ToolTask::kDiff;
  return ToolTask::kStatements;
}

}  // namespace

ToolSettings ParseToolSettings(int argc, char** argv) {
  ToolSettings settings;
  settings.author = FromEnvironment("USER");
  settings.history = DefaultHistory();
  settings.entries = {Address{"127.0.0.1", 8080}};
  bool check = false;
  CLI::App app("figmill: asks and orders a fleet of figmilld", "figmill");
  AddOptions(app, settings);
  app.add_flag("--check-settings", check, "print the settings and exit");
  CLI::App* apply = app.add_subcommand("apply", "replaces the configuration by a JSON document");
  apply->add_option("file", settings.file, "the document")->required();
  apply->add_option("--if-version", settings.if_version, "only if the log stands there")
      ->check(CLI::NonNegativeNumber);
  CLI::App* diff = app.add_subcommand("diff", "what applying a JSON document would change");
  diff->add_option("file", settings.file, "the document")->required();
  CLI::App* explain =
      app.add_subcommand("explain", "tells from log lines what became of a request, item or job");
  explain->add_option("id", settings.explained, "id of the request, item or job")->required();
  explain->add_option("files", settings.log_files, "log files; without, standard input is read");
  app.require_subcommand(0, 1);
  app.fallthrough();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    const int code = app.exit(failure);
    std::exit(code == 0 ? 0 : kBadSettings);  // NOLINT(concurrency-mt-unsafe): one thread yet
  }
  settings.task = TaskOf(check, *apply, *diff, *explain);
  return settings;
}

std::string Shown(const ToolSettings& settings) {
  std::string entries;
  for (const Address& entry : settings.entries) {
    entries += (entries.empty() ? "" : ",") + ToString(entry);
  }
  const double seconds = std::chrono::duration<double>(settings.timeout).count();
  return "entry " + entries + "\nauthor " + settings.author + "\nhistory " + settings.history +
         "\ntimeout " + std::to_string(seconds) + " s\njson " + (settings.json ? "true" : "false") +
         "\n";
}

}  // namespace figmill
