#include "gateway/crash_tracker.h"

#include <utility>

#include "figmill/observe.h"
#include "figmill/runtime.h"
#include "gateway/log_text.h"

namespace figmill {
namespace {

void LogLostSend(const CrashTracker::LostSend& lost, std::string_view found) {
  Log(LogLevel::kInfo, "send_lost",
      {{"request", lost.id},
       {"fingerprint", lost.request.value},
       {"parts", lost.parts},
       {"events", std::to_string(lost.events)},
       {"backend", lost.backend.id.value},
       {"incarnation", std::to_string(lost.backend.incarnation.number)},
       {"dialed", std::string(found)},
       {"ran_ms", Milliseconds(Loop::Now() - lost.started_at)}});
}

}  // namespace

CrashTracker::CrashTracker(Loop& loop, NoRetryHttpClient& client, SharedTables& tables,
                           Metrics& metrics, NodeId self)
    : loop_(loop),
      client_(client),
      tables_(tables),
      self_(std::move(self)),
      quarantine_(self_),
      refused_rows_(metrics, {"crash_report", "crash_report_refused", "row"}),
      reports_counter_(
          metrics.counter("figmill_crashes_reported_total",
                          "Requests reported for the end of a backend server that ran them")),
      quarantined_gauge_(
          metrics.gauge("figmill_requests_quarantined",
                        "Requests that are not run for the crashes that followed them")),
      follower_(
          loop, tables, kTable, {""}, [this](const TableMirror::Change& change) { OnRow(change); },
          [] {}) {}

void CrashTracker::CheckBackend(LostSend lost, std::function<void()> done) {
  const Address to = lost.backend.address;
  client_.Dial(to, kDialTimeout,
               [this, lost = std::move(lost), done = std::move(done),
                detected_at = Loop::Now()](DialResult found) {
                 LogLostSend(lost, ToString(found));
                 if (found == DialResult::kRefused) ReportCrash(lost, detected_at);
                 done();
               });
}

void CrashTracker::ReportRestart(const LostSend& lost) {
  LogLostSend(lost, "restarted");
  ReportCrash(lost, Loop::Now());
}

void CrashTracker::ReportCrash(const LostSend& lost, Time detected_at) {
  const Crash crash{lost.request, lost.backend.id, lost.backend.incarnation};
  const CrashReport report{crash, quarantine_.NextChainLength(lost.request, lost.started_at)};
  const std::size_t before = quarantine_.quarantined();
  quarantine_.Add(report, detected_at);
  reports_counter_.Add();
  LogChange(lost.request, before);
  Write(crash, CrashRowValue(report, self_, lost.id));
  for (const Crash& surplus : quarantine_.ExcessReports()) {
    quarantine_.Remove(surplus);
    Write(surplus, std::nullopt);
  }
  UpdateGauge();
}

std::optional<Error> CrashTracker::QuarantineError(const RequestFingerprint& request,
                                                   WorkClass work) const {
  const std::optional<Duration> left = quarantine_.TimeLeft(request, work, Loop::Now());
  if (!left) return std::nullopt;
  const std::string why = "in quarantine: fingerprint " + request.value + " crashed " +
                          std::to_string(quarantine_.ChainLength(request)) +
                          " backend servers one after the other";
  return Error{ErrorKind::kQuarantined, why, Ran::kNo, left};
}

void CrashTracker::RecordStart(const RequestFingerprint& request) {
  quarantine_.RecordStart(request, Loop::Now());
}

void CrashTracker::RecordCompletion(const RequestFingerprint& request) {
  const std::size_t before = quarantine_.quarantined();
  for (const Crash& crash : quarantine_.RecordCompletion(request)) Write(crash, std::nullopt);
  LogChange(request, before);
}

void CrashTracker::LogChange(const RequestFingerprint& request,
                             std::size_t quarantined_before) const {
  const std::size_t now = quarantine_.quarantined();
  if (now == quarantined_before) return;
  UpdateGauge();
  const std::optional<Duration> left =
      quarantine_.TimeLeft(request, WorkClass::kOnline, Loop::Now());
  Log(LogLevel::kWarning, now > quarantined_before ? "request_quarantined" : "request_released",
      {{"fingerprint", request.value},
       {"chain", std::to_string(quarantine_.ChainLength(request))},
       {"for_ms", left ? Milliseconds(*left) : ""}});
}

void CrashTracker::UpdateGauge() const {
  quarantined_gauge_.Set(static_cast<double>(quarantine_.quarantined()));
}

// --- Table ------------------------------------------------------------------------

void CrashTracker::OnRow(const TableMirror::Change& change) {
  const std::size_t before = quarantine_.quarantined();
  if (change.row == nullptr) {
    refused_rows_.Clear(change.at.key);
    const Result<Crash> crash = ParseCrashKey(change.at.key);
    if (!IsOk(crash)) return;  // the row was rejected when it was read
    quarantine_.Remove(ValueOf(crash));
    return LogChange(ValueOf(crash).request, before);
  }
  const Result<CrashReport> report = ParseCrashRow(*change.row);
  if (!IsOk(report)) {
    return refused_rows_.Refuse(change.at.key, change.row->version, ErrorOf(report).detail);
  }
  refused_rows_.Clear(change.at.key);
  quarantine_.Add(ValueOf(report), Loop::Now());
  LogChange(ValueOf(report).crash.request, before);
}

void CrashTracker::Write(const Crash& crash, std::optional<std::string> value) {
  pending_rows_[CrashRowKey(crash)] = std::move(value);
  // Reports caused by the end of one backend server are written together.
  loop_.Post([this] { Flush(); });
}

void CrashTracker::Flush() {
  if (writing_ || pending_rows_.empty()) return;
  writing_ = true;
  TableTransaction transaction;
  std::map<std::string, std::optional<std::string>> rows;
  while (!pending_rows_.empty() && rows.size() < kMaxRowsPerTransaction) {
    auto row = pending_rows_.extract(pending_rows_.begin());
    const TableKey at{kTable, "", row.key()};
    if (row.mapped()) {
      transaction.puts.push_back({at, *row.mapped()});
    } else {
      transaction.removes.push_back(at);
    }
    rows.insert(std::move(row));
  }
  tables_.Commit(std::move(transaction),
                 [this, rows = std::move(rows)](const TableOutcome& outcome) mutable {
                   OnWritten(std::move(rows), outcome);
                 });
}

// A write whose outcome is unknown is retried, because writing the same rows twice has no further
// effect.
void CrashTracker::OnWritten(std::map<std::string, std::optional<std::string>> written,
                             const TableOutcome& outcome) {
  writing_ = false;
  if (std::holds_alternative<TableCommitted>(outcome)) return Flush();
  pending_rows_.merge(written);  // doesn't overwrite newer values
  loop_.Later(kRetryDelay, [this] { Flush(); });
}

}  // namespace figmill
