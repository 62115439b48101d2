#include "figmilld/control/control_log_shell.h"

#include <utility>

namespace figmill {
namespace {

constexpr Duration kPeerTimeout{2'000'000};
constexpr std::size_t kMaxEntriesBytes = 1U << 20;  // in one answer to a peer

Result<std::vector<LogRecord>> ParseEntries(std::string_view lines) {
  std::vector<LogRecord> records;
  while (!lines.empty()) {
    const std::size_t end = lines.find('\n');
    Result<LogRecord> record = ParseLogRecord(lines.substr(0, end));
    if (!IsOk(record)) return ErrorOf(record);
    records.push_back(std::move(ValueOf(record)));
    if (end == std::string_view::npos) break;
    lines.remove_prefix(end + 1);
  }
  return records;
}

LogEvent ParsedEntries(const Result<std::string>& body) {
  if (!IsOk(body)) return EntriesFetched{ErrorOf(body)};
  return EntriesFetched{ParseEntries(ValueOf(body))};
}

LogEvent ParsedFold(const Result<std::string>& body) {
  if (!IsOk(body)) return StateFetched{ErrorOf(body)};
  return StateFetched{ParseControlState(ValueOf(body))};
}

}  // namespace

ControlLogShell::ControlLogShell(Parts parts)
    : parts_(std::move(parts)),
      writer_(reader_, SystemRandom()),
      compactor_(reader_, SystemRandom()) {}

void ControlLogShell::Hint(const NodeId& peer, Sequence sequence) {
  Carry(Machine::kReader, reader_.OnPeerAhead(peer, sequence));
}

void ControlLogShell::Append(ControlEntry entry, std::string author,
                             std::optional<Sequence> if_version, std::optional<Sequence> built_on,
                             std::function<void(Result<Sequence>)> done) {
  const std::uint64_t append = next_append_++;
  appends_[append] = std::move(done);
  Carry(Machine::kWriter,
        writer_.Append(append, std::move(entry), std::move(author), if_version, built_on));
}

HttpResponse ControlLogShell::EntriesAfter(Sequence after) const {
  const auto records = reader_.EntriesAfter(after, kMaxEntriesBytes);
  if (!records) {
    return ProblemOf({ErrorKind::kNotFound, "no entries are kept that far back"});
  }
  HttpResponse response{200, "application/x-ndjson", {}, ""};
  for (const LogRecord& record : *records) response.body += ToJson(record) + "\n";
  return response;
}

HttpResponse ControlLogShell::WholeFold() const {
  return {200, "application/json", {}, ToJson(*reader_.state())};
}

void ControlLogShell::Carry(Machine machine, const std::vector<LogAction>& actions) {
  for (const LogAction& action : actions) Do(machine, action);
}

void ControlLogShell::Answer(Machine machine, LogEvent event) {
  switch (machine) {
    case Machine::kReader:
      Carry(machine, reader_.On(std::move(event)));
      break;
    case Machine::kWriter:
      Carry(machine, writer_.On(std::move(event)));
      break;
    case Machine::kCompactor:
      Carry(machine, compactor_.On(std::move(event)));
      break;
  }
  if (reader_.caught_up()) parts_.learned();
}

void ControlLogShell::Do(Machine machine, const LogAction& action) {
  const auto answer = [this, machine](LogEvent event) { Answer(machine, std::move(event)); };
  std::visit(
      Overloaded{
          [&](const ScanRows& scan) {
            parts_.table.Scan(scan.range, [answer](auto rows) { answer(RowsScanned{rows}); });
          },
          [&](const ReadRow& read) {
            parts_.table.Read(read.key, [answer](auto row) { answer(RowWasRead{row}); });
          },
          [&](const CommitRows& commit) {
            parts_.table.Commit(commit.transaction,
                                [answer](auto outcome) { answer(CommitEnded{outcome}); });
          },
          [&](const PutObject& put) {
            parts_.objects.Put(put.key, put.bytes,
                               [answer](auto outcome) { answer(ObjectWasPut{outcome}); });
          },
          [&](const GetObject& get) {
            parts_.objects.Get(get.key, [answer](auto bytes) { answer(ObjectWasRead{bytes}); });
          },
          [&](const DeleteObject& unwanted) {
            parts_.objects.Delete(unwanted.key, [](const Result<Ok>&) {});
          },
          [&](const FetchEntries& fetch) {
            FetchFrom(machine, fetch.peer, "/control/entries?after=" + std::to_string(fetch.after),
                      &ParsedEntries);
          },
          [&](const FetchState& fetch) {
            FetchFrom(machine, fetch.peer, "/control/fold", &ParsedFold);
          },
          [&](const PublishState&) { parts_.fold_moved(); },
          [&](const AnswerAppend& done) { Finish(done); },
          [&](const LogUnreadable& stuck) {
            Log(LogLevel::kError, "control_log_stuck",
                {{"sequence", std::to_string(stuck.sequence)}, {"why", stuck.why}});
          },
      },
      action);
}

void ControlLogShell::FetchFrom(Machine machine, const NodeId& peer, std::string target,
                                std::function<LogEvent(Result<std::string>)> parse) {
  const std::optional<Address> address = parts_.address_of(peer);
  HttpCall call;
  // Port 0 answers nobody: a peer that is gone fails like one that can't be reached.
  call.to = address.value_or(Address{"127.0.0.1", 0});
  call.target = std::move(target);
  call.total_timeout = kPeerTimeout;
  parts_.client.Fetch(std::move(call),
                      [this, machine, parse = std::move(parse)](Result<HttpResponse> response) {
                        if (!IsOk(response)) return Answer(machine, parse(ErrorOf(response)));
                        HttpResponse& got = ValueOf(response);
                        if (got.status != 200)
                          return Answer(machine, parse(ErrorFromProblem(got.status, got.body)));
                        Answer(machine, parse(std::move(got.body)));
                      });
}

void ControlLogShell::Finish(const AnswerAppend& answer) {
  const auto found = appends_.find(answer.append);
  if (found == appends_.end()) return;
  const auto done = std::move(found->second);
  appends_.erase(found);
  const bool won = IsOk(answer.outcome);
  Log(LogLevel::kInfo, "control_append",
      {{"outcome", won ? "sequence " + std::to_string(ValueOf(answer.outcome))
                       : std::string(ErrorInfoOf(ErrorOf(answer.outcome).kind).name)}});
  done(answer.outcome);
  if (won) return Carry(Machine::kCompactor, compactor_.CompactIfDue());
  // This node lags: unless it reads on now, the operator's next try is refused too.
  if (ErrorOf(answer.outcome).kind == ErrorKind::kStaleOrders) Poll();
}

}  // namespace figmill
