#include <doctest/doctest.h>

#include <string>
#include <trompeloeil.hpp>

#include "figmill/query.h"

using namespace figmill;         // NOLINT(google-build-using-namespace): tests read better
using namespace figmill::query;  // NOLINT(google-build-using-namespace)

namespace {

using trompeloeil::_;  // NOLINT(bugprone-reserved-identifier): the library's name

class MockOperations : public Operations {
 public:
  MAKE_MOCK2(Ask, void(const Show&, std::function<void(Result<Table>)>), override);
  MAKE_MOCK2(Carry, void(const Order&, std::function<void(Result<Sequence>)>), override);
  MAKE_MOCK2(Await, void(Sequence, std::function<void(Result<Spread>)>), override);
};

WallTime At(int second) {
  return WallTime(std::chrono::seconds(1'775'023'200 + second));
}

TableRow Job(const char* id, const char* team, Cell due, std::int64_t done) {
  return {std::string(id), std::string(team), std::string("running"),
          std::move(due),  std::int64_t{10},  done,
          std::int64_t{0}, std::monostate{}};
}

Table Jobs() {
  const auto columns = ColumnsOf(ShowJobs{});
  return {{columns.begin(), columns.end()},
          {Job("a", "x", At(30), 3), Job("b", "x", At(10), 4), Job("c", "y", At(5), 5),
           Job("d", "x", {}, 6)}};
}

Result<QueryAnswer> Run(std::string_view text, Operations& operations) {
  std::optional<Result<QueryAnswer>> answer;
  Execute(text, operations, [&](Result<QueryAnswer> result) { answer = std::move(result); });
  REQUIRE(answer.has_value());
  return *answer;
}

std::string FirstCells(std::string_view text) {
  MockOperations operations;
  REQUIRE_CALL(operations, Ask(_, _)).SIDE_EFFECT(_2(Jobs()));
  const Result<QueryAnswer> answer = Run(text, operations);
  std::string cells;
  for (const TableRow& row : std::get<Table>(ValueOf(answer)).rows) {
    cells += std::get<std::string>(row[0]);
  }
  return cells;
}

}  // namespace

TEST_CASE("conditions, order and limit apply to typed cells") {
  CHECK(FirstCells("show jobs") == "abcd");
  CHECK(FirstCells("show jobs where team = x order by due") == "dba");
  CHECK(FirstCells("show jobs where team = x order by due desc limit 2") == "ab");
  CHECK(FirstCells("show jobs where done > 3 and done != 5") == "bd");
  CHECK(FirstCells("show jobs where due >= 2026-04-01T06:00:10Z") == "ab");
  // No due date is neither before nor after one.
  CHECK(FirstCells("show jobs where due < 2030-01-01T00Z") == "abc");
  CHECK(FirstCells("show jobs limit 0").empty());
}

TEST_CASE("an order answers its sequence or the error it met, and bad input asks nobody") {
  MockOperations operations;
  {
    REQUIRE_CALL(operations, Carry(_, _))
        .WITH(std::get<query::Drain>(_1.command).node.value == "agent-3" && _1.if_version == 812)
        .SIDE_EFFECT(_2(Sequence{813}));
    const auto answer = Run("drain agent-3 if version 812", operations);
    CHECK(std::get<Accepted>(ValueOf(answer)).sequence == 813);
  }
  {
    REQUIRE_CALL(operations, Carry(_, _))
        .SIDE_EFFECT(_2(Error{ErrorKind::kStaleVersion, "815 won"}));
    CHECK(ErrorOf(Run("drain agent-3 if version 812", operations)).kind ==
          ErrorKind::kStaleVersion);
  }
  CHECK(ErrorOf(Run("drain", operations)).kind == ErrorKind::kBadRequest);
  CHECK(ErrorOf(Run("help nothing", operations)).kind == ErrorKind::kNotFound);
  CHECK(std::get<HelpText>(ValueOf(Run("help show", operations))).statements.size() == 9);
}

TEST_CASE("every answer reads back from JSON as it was") {
  const Spread spread{815, 100, 98, {NodeId{"e1"}, NodeId{"a7"}}};
  for (const QueryAnswer& answer :
       {QueryAnswer(Jobs()), QueryAnswer(Accepted{815}), QueryAnswer(spread),
        QueryAnswer(HelpText{{StatementsHelp().begin(), StatementsHelp().end()}})}) {
    const Result<QueryAnswer> again = ParseAnswer(ToJson(answer));
    REQUIRE(IsOk(again));
    CHECK(ToText(ValueOf(again)) == ToText(answer));
    CHECK(ToJson(ValueOf(again)) == ToJson(answer));
  }
  for (const char* bad : {"", "{}", "[1]", R"({"columns":[{"name":"a","type":"odd"}],"rows":[]})",
                          R"({"columns":[{"name":"a","type":"text"}],"rows":[{}]})"}) {
    CAPTURE(bad);
    CHECK_FALSE(IsOk(ParseAnswer(bad)));
  }
}

// Symptom: a cause in `show refusals` clears the operator's screen or breaks the
// JSON. Events: a caller's bytes get into a refusal's cause. Cause: control
// bytes and broken UTF-8 handed on as they came.
TEST_CASE("bytes from outside steer neither the terminal nor the JSON") {
  Table table{{{"cause", CellType::kText}}, {{std::string("\x1b[2J\xff\n")}}};
  CHECK(ToText(table).find('\x1b') == std::string::npos);
  CHECK(ToText(table).find("[2J") != std::string::npos);
  CHECK(IsOk(ParseAnswer(ToJson(table))));
}

// Symptom: after a storm of refusals the log shows only its last second, and
// nobody knows how many there were. Events: more refusals than the log keeps.
// Cause: the oldest fall out uncounted.
TEST_CASE("refusals that no longer fit are still counted by kind") {
  RefusalLog log(3);
  const auto refuse = [&](int second, ErrorKind kind, Ran ran) {
    log.Record({At(second), ServiceName{"note-llm"}, TeamId{"x"}, kind, "queues full", ran});
  };
  for (int i = 0; i < 5; ++i) refuse(i, ErrorKind::kOverloaded, Ran::kNo);
  refuse(5, ErrorKind::kBrokenAnswer, Ran::kYes);
  refuse(6, ErrorKind::kOutcomeUnknown, Ran::kUnknown);
  refuse(7, ErrorKind::kTeamLimit, Ran::kNo);

  const Table all = log.Since(std::nullopt);
  REQUIRE(all.rows.size() == 4);
  CHECK(all.rows[0][4] == Cell("overloaded"));
  CHECK(all.rows[0][6] == Cell(std::int64_t{5}));
  CHECK(all.rows[1][5] == Cell("yes"));
  CHECK(all.rows[2][5] == Cell("unknown"));
  CHECK(log.recorded(ErrorKind::kOverloaded) == 5);
  CHECK(log.Since(At(6)).rows.size() == 2);
  CHECK(log.Since(At(5)).rows.size() == 3);
}
