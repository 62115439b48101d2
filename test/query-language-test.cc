#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

#include "figmill/query.h"

using namespace figmill;         // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::query;  // NOLINT(google-build-using-namespace)

namespace {

Statement Parsed(std::string_view text) {
  auto outcome = ParseStatement(text);
  if (const auto* error = std::get_if<SyntaxError>(&outcome)) {
    FAIL(ToError(*error, text).detail);
  }
  return std::get<Statement>(outcome);
}

SyntaxError Refused(std::string_view text) {
  auto outcome = ParseStatement(text);
  CAPTURE(text);
  REQUIRE(std::holds_alternative<SyntaxError>(outcome));
  return std::get<SyntaxError>(outcome);
}

template <typename T>
T CommandOf(std::string_view text) {
  return std::get<T>(std::get<Order>(Parsed(text)).command);
}

bool Expects(const SyntaxError& error, std::string_view name) {
  return std::any_of(error.expected.begin(), error.expected.end(),
                     [&](const std::string& e) { return e.find(name) != std::string::npos; });
}

}  // namespace

TEST_CASE("a question carries its conditions, order and limit, typed by column") {
  const Statement statement = Parsed(
      "show jobs where team = \"x y\" and state = running and due <= 2026-04-01T06:00Z "
      "order by due desc limit 20");
  const Show& show = std::get<Show>(statement);
  CHECK(std::holds_alternative<ShowJobs>(show.question));
  REQUIRE(show.selection.where.size() == 3);
  const auto columns = ColumnsOf(show.question);
  CHECK(columns[show.selection.where[0].column].name == "team");
  CHECK(show.selection.where[0].value == Cell("x y"));
  CHECK(show.selection.where[2].comparison == Comparison::kAtMost);
  CHECK(std::get<WallTime>(show.selection.where[2].value).time_since_epoch() ==
        std::chrono::seconds(1775023200));
  CHECK(columns[show.selection.order->column].name == "due");
  CHECK(show.selection.order->descending);
  CHECK(show.selection.limit == 20);
}

TEST_CASE("orders carry every setting that was given, and none that was not") {
  const auto created = CommandOf<CreateService>(
      "create service note-llm kind model first_token 840ms route \"/invoices\" repeatable false");
  CHECK(created.name.value == "note-llm");
  CHECK(created.settings.first_token == Duration(840'000));
  CHECK_FALSE(created.settings.deadline.has_value());
  REQUIRE(created.settings.routes.size() == 1);
  CHECK_FALSE(created.settings.routes[0].repeatable);

  const auto limit = CommandOf<SetLimit>("set limit team \"x\" requests 10 burst 2s");
  CHECK(limit.requests_per_second == 10);
  CHECK_FALSE(limit.tokens_per_second.has_value());
  CHECK(limit.burst_seconds == 2);

  const auto backend = CommandOf<SetBackend>("set backend agent-3 serves a, b fencing false");
  CHECK(backend.serves->size() == 2);
  CHECK(backend.checks_fencing == false);

  const auto load = CommandOf<LoadWeights>("load adapter rye@12 on agent-3");
  CHECK(load.weights.adapter);
  CHECK(load.weights.name == "rye");
  CHECK(load.weights.version == "12");

  CHECK(std::get<Order>(Parsed("drain agent-3 if version 812;")).if_version == 812);
  CHECK_FALSE(std::get<Order>(Parsed("drain agent-3")).if_version.has_value());
}

TEST_CASE("a syntax error points at the column and names what was expected") {
  struct Bad {
    const char* text;
    std::size_t column;
    const char* expected;
  };
  for (const Bad& bad : {
           Bad{"", 1, "show"},
           Bad{"shw jobs", 1, "show"},
           Bad{"show job", 6, "jobs"},
           Bad{"show jobs where tem = x", 17, "team"},
           Bad{"show jobs where team", 21, "="},
           Bad{"show jobs where items = many", 25, "whole number"},
           Bad{"show jobs limit -1", 17, "whole number"},
           Bad{"show jobs limit 99999999999999999999", 17, "2^63"},
           Bad{"show jobs order due", 17, "by"},
           Bad{"show jobs extra", 11, "the end"},
           Bad{"create service a kind modl", 23, "model"},
           Bad{"create service a kind model first_token 5", 41, "duration"},
           Bad{"create service a kind model repeatable true repeatable false", 45, "once"},
           Bad{"set service a route \"no-slash\" repeatable true", 21, "/"},
           Bad{"set service a", 14, "first_token"},
           Bad{"drain \"a b\"", 7, "letters"},
           Bad{"drain a if version x", 20, "whole number"},
           Bad{"load m on n", 6, "NAME@VERSION"},
           Bad{"remove service \"a", 16, "quotes"},
           Bad{"show jobs where due < soon", 23, "moment"},
       }) {
    CAPTURE(bad.text);
    const SyntaxError error = Refused(bad.text);
    CHECK(error.column == bad.column);
    CHECK(Expects(error, bad.expected));
  }
  const Error shown = ToError(Refused("show\tjob"), "show\tjob");
  CHECK(shown.kind == ErrorKind::kBadRequest);
  CHECK(shown.detail.ends_with("\n  show job\n       ^"));
}

// Symptom: one odd statement takes an entry down, or is refused without a word
// of why. Events: an operator's script sends bytes that are cut, doubled or
// altered. Cause: a path through the grammar that throws, loops, or notes
// nothing.
TEST_CASE("altered statements parse or are refused with a column and an expectation") {
  std::mt19937_64 random(7);
  const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
  std::vector<std::string> corpus;
  for (const StatementHelp& help : StatementsHelp()) corpus.push_back(help.example);
  int refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string text = corpus[pick(corpus.size())];
    for (std::size_t edits = 1 + pick(3); edits > 0; --edits) {
      const std::size_t at = pick(text.size() + 1);
      switch (pick(4)) {
        case 0:
          text.insert(at, 1, static_cast<char>(random()));
          break;
        case 1:
          text.erase(at, pick(4));
          break;
        case 2:
          text.insert(at, corpus[pick(corpus.size())].substr(0, pick(12)));
          break;
        default:
          text.resize(at);
          break;
      }
    }
    const auto outcome = ParseStatement(text);
    (void)Completions(text);
    const auto* error = std::get_if<SyntaxError>(&outcome);
    if (error == nullptr) continue;
    ++refused;
    const bool told = error->column >= 1 && error->column <= text.size() + 1 &&
                      !error->expected.empty() && !error->expected.front().empty();
    CAPTURE(text);
    REQUIRE(told);
    REQUIRE(ToError(*error, text).detail.find('^') != std::string::npos);
  }
  CHECK(refused > 5'000);
  CHECK(Refused(std::string(kMaxStatementBytes + 1, 'x')).column == kMaxStatementBytes + 1);
  CHECK(Refused(std::string(kMaxStatementBytes, '"')).column == 1);
}

TEST_CASE("every statement of the help parses, and every statement has help") {
  std::vector<std::size_t> seen(std::variant_size_v<Command>);
  for (const StatementHelp& help : StatementsHelp()) {
    CAPTURE(help.example);
    const Statement statement = Parsed(help.example);
    const auto* order = std::get_if<Order>(&statement);
    if (order != nullptr) ++seen[order->command.index()];
  }
  CHECK(std::count(seen.begin(), seen.end(), 0) == 0);
}

TEST_CASE("completion offers what may stand next and nothing else") {
  CHECK(Completions("sh") == std::vector<std::string>{"show"});
  CHECK(Completions("show l") == std::vector<std::string>{"limits", "log"});
  CHECK(Completions("show jobs where st") == std::vector<std::string>{"state"});
  CHECK(Completions("show jobs ") == std::vector<std::string>{";", "limit", "order", "where"});
  CHECK(Completions("drain agent-3 ") == std::vector<std::string>{";", "if"});
  CHECK(Completions("nonsense and ").empty());
}
