#include "figmill/session.h"

#include <unistd.h>

#include <iostream>

namespace figmill {
namespace {

using query::QueryAnswer;
using query::Spread;

// Overwrites itself on a terminal; elsewhere a line for each change.
class AwaitProgress {
 public:
  void Show(const Spread& spread) {
    const std::string text = std::to_string(spread.sequence) + ": " +
                             std::to_string(spread.in_force) + " of " +
                             std::to_string(spread.nodes) + " processes";
    if (text == shown_) return;
    shown_ = text;
    std::cerr << (terminal_ ? "\r\x1b[K" + text : text + "\n") << std::flush;
  }
  ~AwaitProgress() {
    if (terminal_ && !shown_.empty()) std::cerr << "\r\x1b[K" << std::flush;
  }

 private:
  bool terminal_ = isatty(STDERR_FILENO) != 0;
  std::string shown_;
};

}  // namespace

int PrintError(const Error& error) {
  const ErrorKindInfo& row = ErrorInfoOf(error.kind);
  std::cerr << row.name << ": " << (error.detail.empty() ? row.title : error.detail)
            << "\nran: " << ToString(error.ran) << "\n";
  return row.exit_code;
}

int Session::Print(const Result<QueryAnswer>& answer) const {
  if (!IsOk(answer)) return PrintError(ErrorOf(answer));
  const QueryAnswer& value = ValueOf(answer);
  std::cout << (settings_.json ? query::ToJson(value) + "\n" : query::ToText(value)) << std::flush;
  return 0;
}

Result<QueryAnswer> Session::Ask(std::string_view statement, Effect effect) {
  const Result<std::string> body =
      client_.Send({"POST", "/v1/query", std::string(statement), effect});
  if (!IsOk(body)) return ErrorOf(body);
  return query::ParseAnswer(ValueOf(body));
}

// The entry answers after a short while, in force or not; asking again is free.
int Session::RunAwait(std::string_view statement) {
  AwaitProgress progress;
  while (true) {
    Result<QueryAnswer> answer = Ask(statement, Effect::kNone);
    const Spread* spread = IsOk(answer) ? std::get_if<Spread>(&ValueOf(answer)) : nullptr;
    if (spread == nullptr || spread->complete()) return Print(answer);
    progress.Show(*spread);
  }
}

int Session::Run(std::string_view statement) {
  const auto parsed = query::ParseStatement(statement);
  if (const auto* error = std::get_if<query::SyntaxError>(&parsed)) {
    return PrintError(query::ToError(*error, statement));
  }
  return std::visit(Overloaded{
                        [&](const query::Show&) { return Print(Ask(statement, Effect::kNone)); },
                        [&](const query::Order&) { return Print(Ask(statement, Effect::kOrder)); },
                        [&](const query::Await&) { return RunAwait(statement); },
                        [&](const query::Help& help) {
                          const Result<query::HelpText> text = query::HelpOn(help);
                          return IsOk(text) ? Print(QueryAnswer(ValueOf(text)))
                                            : PrintError(ErrorOf(text));
                        },
                    },
                    std::get<query::Statement>(parsed));
}

int Session::RunScript(std::istream& script) {
  std::string line;
  for (int number = 1; std::getline(script, line); ++number) {
    const std::size_t start = line.find_first_not_of(" \t\r");
    if (start == std::string::npos || line[start] == '#') continue;
    const int code = Run(line);
    if (code == 0) continue;
    std::cerr << "line " << number << " failed; what follows it was not run\n";
    return code;
  }
  return 0;
}

}  // namespace figmill
