#pragma once

// The operators' language: statements as text to a typed tree, questions
// answered by typed tables that are filtered here, and the record of refusals.
// No I/O: whoever answers implements Operations. A namespace of its own, as
// statements and the log entries that they become share names.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/control.h"

namespace figmill::query {

// --- Typed tables --------------------------------------------------------------

enum class CellType : std::uint8_t { kText, kInteger, kNumber, kYesNo, kDuration, kMoment };

struct Column {
  std::string name;
  CellType type = CellType::kText;
};

// An empty cell (monostate) is less than any value and equals none.
using Cell =
    std::variant<std::monostate, std::string, std::int64_t, double, bool, Duration, WallTime>;
using TableRow = std::vector<Cell>;

struct Table {
  std::vector<Column> columns;
  std::vector<TableRow> rows;
};

// --- Questions -----------------------------------------------------------------

struct ShowJobs {};
// Items of one job, or the keyed items outside jobs.
struct ShowItems {
  std::optional<JobId> job;
};
struct ShowRefusals {
  std::optional<Duration> since;  // how far back
};
struct ShowHosts {};
struct ShowServices {};
struct ShowConfig {
  std::optional<Sequence> at;
};
struct ShowLog {
  Sequence since = 0;  // entries after it
};
struct ShowLimits {};
struct ShowPlacement {};
using Question = std::variant<ShowJobs, ShowItems, ShowRefusals, ShowHosts, ShowServices,
                              ShowConfig, ShowLog, ShowLimits, ShowPlacement>;

// What the answer to a question is made of.
[[nodiscard]] std::span<const Column> ColumnsOf(const Question& question);

enum class Comparison : std::uint8_t { kEqual, kNotEqual, kLess, kAtMost, kMore, kAtLeast };

struct Condition {
  std::size_t column = 0;  // index into ColumnsOf
  Comparison comparison = Comparison::kEqual;
  Cell value;  // of the column's type, never empty
};
struct Ordering {
  std::size_t column = 0;
  bool descending = false;
};
struct Selection {
  std::vector<Condition> where;  // all must hold
  std::optional<Ordering> order;
  std::optional<std::uint64_t> limit;
};

[[nodiscard]] bool Meets(const TableRow& row, const Selection& selection);
// Rows that meet every condition, in order, cut at the limit.
[[nodiscard]] Table Select(Table table, const Selection& selection);

// --- Orders --------------------------------------------------------------------

// What a statement says of a service; what it leaves out stays as it is.
struct ServiceSettings {
  std::optional<bool> repeatable;
  std::optional<Duration> first_token;
  std::optional<Duration> token_gap;
  std::optional<Duration> deadline;
  std::vector<RouteRule> routes;  // added, or replacing a rule of the same prefix
};

struct CreateService {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  ServiceSettings settings;
};
struct SetService {
  ServiceName name;
  ServiceSettings settings;
};
struct RemoveService {
  ServiceName name;
};
// As for a service: what is left out stays as it is.
struct SetLimit {
  TeamId team;
  std::optional<double> requests_per_second;
  std::optional<double> tokens_per_second;
  std::optional<double> burst_seconds;
};
struct SetBackend {
  NodeId node;
  std::optional<std::vector<ServiceName>> serves;
  std::optional<bool> checks_fencing;
};
struct RemoveBackend {
  NodeId node;
};
struct Drain {
  NodeId node;
};
struct Undrain {
  NodeId node;
};
struct CancelJob {
  JobId job;
};
// A model or an adapter at one version.
struct Weights {
  bool adapter = false;
  std::string name;
  std::string version;
};
struct LoadWeights {
  Weights weights;
  NodeId node;
};
struct UnloadWeights {
  Weights weights;
  NodeId node;
};
struct SetRole {
  NodeId node;
  std::string role;
};
using Command =
    std::variant<CreateService, SetService, RemoveService, SetLimit, SetBackend, RemoveBackend,
                 Drain, Undrain, CancelJob, LoadWeights, UnloadWeights, SetRole>;

// --- Statements ----------------------------------------------------------------

struct Show {
  Question question;
  Selection selection;
};
struct Order {
  Command command;
  std::optional<Sequence> if_version;  // the log must stand exactly there
};
struct Await {
  Sequence sequence = 0;
};
struct Help {
  std::string topic;  // a statement's first word, or empty for all
};
using Statement = std::variant<Show, Order, Await, Help>;

inline constexpr std::size_t kMaxStatementBytes = 16'384;

struct SyntaxError {
  std::size_t column = 1;             // in bytes, from 1
  std::vector<std::string> expected;  // never empty
  std::string found;                  // the word there, or empty at the end
};

[[nodiscard]] std::variant<Statement, SyntaxError> ParseStatement(std::string_view text);

// kBadRequest; its detail shows the statement with a caret under the column.
[[nodiscard]] Error ToError(const SyntaxError& error, std::string_view text);

// Words that may stand next where `text` ends, each whole, in alphabetic order;
// a last word that is not finished limits them to its continuations.
[[nodiscard]] std::vector<std::string> Completions(std::string_view text);

// One statement of the language, for help and the tests.
struct StatementHelp {
  std::string usage;
  std::string meaning;
  std::string example;
};
[[nodiscard]] std::span<const StatementHelp> StatementsHelp();

// --- From statements to the log, and from state to tables ---------------------

// The log entry that a command becomes on top of this fold. Settings that the
// command leaves out are the fold's, so it must be the newest one known when the
// entry is appended: a change of the same subject in between then loses the
// append instead of being undone by it. Errors: kNotFound, kConflict.
[[nodiscard]] Result<ControlEntry> EntryFor(const Command& command, const ControlState& fold);

// The question's columns and no rows.
[[nodiscard]] Table EmptyTable(const Question& question);
[[nodiscard]] Table HostTable(const ControlState& fold, std::span<const Member> members);
[[nodiscard]] Table ServiceTable(const ControlState& fold, std::span<const Member> members);
[[nodiscard]] Table LimitTable(const ControlState& fold);
[[nodiscard]] Table PlacementTable(const ControlState& fold);
[[nodiscard]] Table LogTable(std::span<const LogRecord> records);
[[nodiscard]] Table ConfigTable(const Config& config);
// Paths whose values differ: path, now, wanted.
[[nodiscard]] Table DifferenceTable(const Config& now, const Config& wanted);

// --- Execution -----------------------------------------------------------------

// How far a change has come.
struct Spread {
  Sequence sequence = 0;
  std::uint64_t nodes = 0;     // live nodes known
  std::uint64_t in_force = 0;  // of them running on `sequence` or later
  std::vector<NodeId> behind;  // a few of the others
  [[nodiscard]] bool complete() const { return in_force == nodes; }
};
struct Accepted {
  Sequence sequence = 0;
};
struct HelpText {
  std::vector<StatementHelp> statements;
};
// Errors: kNotFound when no statement starts with the topic.
[[nodiscard]] Result<HelpText> HelpOn(const Help& help);

using QueryAnswer = std::variant<Table, Accepted, Spread, HelpText>;

// Whoever can answer. Each `done` is called exactly once, on the thread that
// made the call.
class Operations {
 public:
  virtual ~Operations() = default;
  // The table has the columns of ColumnsOf(show.question). Rows that the
  // selection leaves out may be missing already; the others are selected by
  // Execute. Errors: kNotFound, kStoreUnavailable, kTooLarge.
  virtual void Ask(const Show& show, std::function<void(Result<Table>)> done) = 0;
  // Done once the change is in the log. Errors: kConflict and kStaleVersion name
  // what won and at which sequence; kOutcomeUnknown when the store's answer was
  // lost and can't be read back.
  virtual void Carry(const Order& order, std::function<void(Result<Sequence>)> done) = 0;
  // Done when in force everywhere, or after a short while with how far it is.
  // Errors: kNotFound for a sequence that the log has not reached.
  virtual void Await(Sequence sequence, std::function<void(Result<Spread>)> done) = 0;
};

// Runs one statement. `operations` must outlive the call of `done`.
void Execute(std::string_view text, Operations& operations,
             std::function<void(Result<QueryAnswer>)> done);

// --- Rendering -----------------------------------------------------------------

// For people; ends in a newline.
[[nodiscard]] std::string ToText(const QueryAnswer& answer);
// One JSON document; durations in seconds, moments in ISO 8601.
[[nodiscard]] std::string ToJson(const QueryAnswer& answer);
// Reads ToJson back. Errors: kBadRequest.
[[nodiscard]] Result<QueryAnswer> ParseAnswer(std::string_view json);

// "2026-04-01T06:00:00.000Z".
[[nodiscard]] std::string ToIso8601(WallTime at);
// Minutes, seconds and milliseconds may be left out. Errors: kBadRequest.
[[nodiscard]] Result<WallTime> ParseIso8601(std::string_view text);

// --- Refusals ------------------------------------------------------------------

struct Refusal {
  WallTime at;
  ServiceName service;
  TeamId team;
  ErrorKind kind = ErrorKind::kInternal;
  std::string cause;
  Ran ran = Ran::kNo;
};

// Keeps the newest refusals whole and counts the older ones by kind, so that a
// storm of refusals neither fills memory nor hides that it happened. Its owner
// keeps threads apart.
class RefusalLog {
 public:
  explicit RefusalLog(std::size_t capacity) : capacity_(capacity) {}
  void Record(Refusal refusal);
  // Oldest first: one row a kind for those no longer kept, then the kept ones.
  [[nodiscard]] Table Since(std::optional<WallTime> since) const;
  [[nodiscard]] std::uint64_t recorded(ErrorKind kind) const;

 private:
  struct Dropped {
    std::uint64_t count = 0;
    WallTime newest;
  };
  std::size_t capacity_;
  std::deque<Refusal> kept_;
  std::array<Dropped, kErrorKindCount> dropped_{};
  std::array<std::uint64_t, kErrorKindCount> recorded_{};
};

}  // namespace figmill::query
