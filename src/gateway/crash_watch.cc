#include "gateway/crash_watch.h"

#include <utility>

#include "figmill/observe.h"
#include "figmill/runtime.h"
#include "gateway/log_text.h"

namespace figmill {
namespace {

constexpr const char* kTable = "crash_reports";

void LogLost(const CrashWatch::LostSend& lost, std::string_view found) {
  Log(LogLevel::kInfo, "send_lost",
      {{"request", lost.id},
       {"fingerprint", lost.request.value},
       {"backend", lost.backend.id.value},
       {"incarnation", std::to_string(lost.backend.incarnation.number)},
       {"dialed", std::string(found)},
       {"ran_ms", Milliseconds(Loop::Now() - lost.begun_at)}});
}

}  // namespace

CrashWatch::CrashWatch(Loop& loop, NoRetryHttpClient& client, SharedTables& tables,
                       Metrics& metrics, NodeId self)
    : loop_(loop),
      client_(client),
      tables_(tables),
      self_(std::move(self)),
      quarantine_(self_),
      refused_(metrics, {"crash_report", "crash_report_refused", "row"}),
      reported_(metrics.counter("figmill_crashes_reported_total",
                                "Requests reported for the end of a backend server that ran them")),
      quarantined_(metrics.gauge("figmill_requests_quarantined",
                                 "Requests that are not run for the crashes that followed them")),
      follower_(
          loop, tables, kTable, {""}, [this](const TableMirror::Change& change) { OnRow(change); },
          [] {}) {}

void CrashWatch::Check(LostSend lost, std::function<void()> done) {
  const Address to = lost.backend.address;
  client_.Dial(to, kDialPatience,
               [this, lost = std::move(lost), done = std::move(done),
                lost_at = Loop::Now()](DialResult found) {
                 LogLost(lost, ToString(found));
                 if (found == DialResult::kRefused) Report(lost, lost_at);
                 done();
               });
}

void CrashWatch::Crashed(const LostSend& lost) {
  LogLost(lost, "restarted");
  Report(lost, Loop::Now());
}

void CrashWatch::Report(const LostSend& lost, Time seen_at) {
  const Crash crash{lost.request, lost.backend.id, lost.backend.incarnation};
  const CrashReport report{crash, quarantine_.ChainOf(lost.request, lost.begun_at)};
  const std::size_t before = quarantine_.quarantined();
  quarantine_.Add(report, seen_at);
  reported_.Add();
  LogChange(lost.request, before);
  Write(crash, RowValueOf(report, self_, lost.id));
  for (const Crash& surplus : quarantine_.Surplus()) {
    quarantine_.Remove(surplus);
    Write(surplus, std::nullopt);
  }
  ShowCount();
}

std::optional<Error> CrashWatch::WhyNot(const RequestFingerprint& request, WorkClass work) const {
  const std::optional<Duration> left = quarantine_.TimeLeft(request, work, Loop::Now());
  if (!left) return std::nullopt;
  const std::string why = "in quarantine: fingerprint " + request.value + " crashed " +
                          std::to_string(quarantine_.ChainOf(request)) +
                          " backend servers one after the other";
  return Error{ErrorKind::kQuarantined, why, Ran::kNo, left};
}

void CrashWatch::Began(const RequestFingerprint& request) {
  quarantine_.Began(request, Loop::Now());
}

void CrashWatch::Completed(const RequestFingerprint& request) {
  const std::size_t before = quarantine_.quarantined();
  for (const Crash& crash : quarantine_.Completed(request)) Write(crash, std::nullopt);
  LogChange(request, before);
}

void CrashWatch::LogChange(const RequestFingerprint& request,
                           std::size_t quarantined_before) const {
  const std::size_t now = quarantine_.quarantined();
  if (now == quarantined_before) return;
  ShowCount();
  const std::optional<Duration> left =
      quarantine_.TimeLeft(request, WorkClass::kOnline, Loop::Now());
  Log(LogLevel::kWarning, now > quarantined_before ? "request_quarantined" : "request_released",
      {{"fingerprint", request.value},
       {"chain", std::to_string(quarantine_.ChainOf(request))},
       {"for_ms", left ? Milliseconds(*left) : ""}});
}

void CrashWatch::ShowCount() const {
  quarantined_.Set(static_cast<double>(quarantine_.quarantined()));
}

// --- Table ------------------------------------------------------------------------

void CrashWatch::OnRow(const TableMirror::Change& change) {
  const std::size_t before = quarantine_.quarantined();
  if (change.row == nullptr) {
    refused_.Forget(change.at.key);
    const Result<Crash> crash = ParseCrashKey(change.at.key);
    if (!IsOk(crash)) return;  // it was refused when it came
    quarantine_.Remove(ValueOf(crash));
    return LogChange(ValueOf(crash).request, before);
  }
  const Result<CrashReport> report = ParseCrashRow(*change.row);
  if (!IsOk(report)) {
    return refused_.Refuse(change.at.key, change.row->version, ErrorOf(report).detail);
  }
  refused_.Forget(change.at.key);
  quarantine_.Add(ValueOf(report), Loop::Now());
  LogChange(ValueOf(report).crash.request, before);
}

void CrashWatch::Write(const Crash& crash, std::optional<std::string> value) {
  unwritten_[RowKeyOf(crash)] = std::move(value);
  // What a backend server's end brings up goes out together.
  loop_.Post([this] { Flush(); });
}

void CrashWatch::Flush() {
  if (writing_ || unwritten_.empty()) return;
  writing_ = true;
  TableTransaction transaction;
  std::map<std::string, std::optional<std::string>> taken;
  while (!unwritten_.empty() && taken.size() < kMaxWrites) {
    auto row = unwritten_.extract(unwritten_.begin());
    const TableKey at{kTable, "", row.key()};
    if (row.mapped()) {
      transaction.puts.push_back({at, *row.mapped()});
    } else {
      transaction.removes.push_back(at);
    }
    taken.insert(std::move(row));
  }
  tables_.Commit(std::move(transaction),
                 [this, taken = std::move(taken)](const TableOutcome& outcome) mutable {
                   OnWritten(std::move(taken), outcome);
                 });
}

// A write that may have taken effect is repeated: it is the same the second time.
void CrashWatch::OnWritten(std::map<std::string, std::optional<std::string>> written,
                           const TableOutcome& outcome) {
  writing_ = false;
  if (std::holds_alternative<TableCommitted>(outcome)) return Flush();
  unwritten_.merge(written);  // keeps what is newer
  loop_.Later(kRetryPause, [this] { Flush(); });
}

}  // namespace figmill
