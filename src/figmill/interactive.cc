#include "figmill/interactive.h"

// readline's headers want FILE to be known.
#include <readline/history.h>
#include <readline/readline.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>

namespace figmill {
namespace {

constexpr int kKeptStatements = 1000;

// readline asks with C functions and no context: the words for the completion
// under way.
std::vector<std::string>& Offered() {
  static std::vector<std::string> words;
  return words;
}

// Called with state 0, 1, ... until it returns null; readline frees the copies.
char* NextOffered(const char* /*text*/, int state) {
  const auto index = static_cast<std::size_t>(state);
  return index < Offered().size() ? strdup(Offered()[index].c_str()) : nullptr;
}

char** Complete(const char* text, int /*start*/, int end) {
  rl_attempted_completion_over = 1;  // never file names
  Offered() = query::Completions(std::string_view(rl_line_buffer, static_cast<std::size_t>(end)));
  return Offered().empty() ? nullptr : rl_completion_matches(text, NextOffered);
}

void SetUp(const ToolSettings& settings) {
  static char breaks[] = " \t\n\"\\,;=<>!@";
  rl_completer_word_break_characters = breaks;
  rl_attempted_completion_function = Complete;
  using_history();
  stifle_history(kKeptStatements);
  if (!settings.history.empty()) read_history(settings.history.c_str());
}

void Remember(const ToolSettings& settings, const char* line) {
  add_history(line);
  if (!settings.history.empty()) write_history(settings.history.c_str());
}

}  // namespace

int RunInteractive(const ToolSettings& settings, Session& session) {
  SetUp(settings);
  std::cout << "`help` shows the statements, the tab key completes, `quit` leaves.\n";
  int code = 0;
  while (true) {
    const std::unique_ptr<char, decltype(&std::free)> line(readline("figmill> "), &std::free);
    if (!line) break;
    const std::string_view text = line.get();
    if (text == "quit" || text == "exit") break;
    if (text.find_first_not_of(" \t") == std::string_view::npos) continue;
    Remember(settings, line.get());
    code = session.Run(text);
  }
  std::cout << "\n";
  return code;
}

}  // namespace figmill
