#include "gateway/crash_tracker.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "figmill/observe.h"
#include "figmill/runtime.h"
#include "gateway/log_text.h"

namespace figmill {
namespace {

template <typename Fingerprints>
std::string Join(const Fingerprints& fingerprints, char separator) {
  std::string text;
  for (const Fingerprint& each : fingerprints) {
    if (!text.empty()) text += separator;
    text += each.value;
  }
  return text;
}

void LogLostSend(const LostSend& lost, std::string_view found) {
  const std::span<const Fingerprint> suspects(lost.suspects);
  Log(LogLevel::kInfo, "send_lost",
      {{"request", lost.id},
       {"fingerprint", suspects.front().value},
       {"parts", Join(suspects.subspan(1), ',')},
       {"events", std::to_string(lost.events)},
       {"backend", lost.backend.id.value},
       {"incarnation", std::to_string(lost.backend.incarnation.number)},
       {"leaving", lost.leaving ? "yes" : "no"},
       {"dialed", std::string(found)},
       {"ran_ms", Milliseconds(Loop::Now() - lost.started_at)}});
}

void LogDropped(const std::vector<UndecidedLosses::Decision>& dropped) {
  for (const auto& [loss, cause] : dropped) LogLostSend(loss.lost, ToString(cause));
}

// Longest time from the close of the answer's connection until the call was answered.
std::string AgeMs(const EndEvidence& evidence) {
  if (!evidence.answered_at || !evidence.closed_after) return "";
  return Milliseconds(*evidence.answered_at - *evidence.closed_after);
}

void LogEnd(const LostSend& send, const EndEvidence& evidence, Completeness end) {
  const auto& limit = evidence.max_output_tokens;
  Log(LogLevel::kInfo, "end_by_close",
      {{"request", send.id},
       {"backend", send.backend.id.value},
       {"incarnation", std::to_string(send.backend.incarnation.number)},
       {"leaving", send.leaving ? "yes" : "no"},
       {"events", std::to_string(evidence.events)},
       {"max_tokens", limit ? std::to_string(*limit) : ""},
       {"answers", evidence.answered_at ? "yes" : "no"},
       {"answered_by", std::to_string(evidence.answered_by.number)},
       {"after_ms", AgeMs(evidence)},
       {"end", std::string(ToString(end))}});
}

// The response to CrashTracker::CallBackend.
struct Report {
  // A backend server in trouble may send bytes without end.
  static constexpr std::size_t kMaxBytes = 256U << 10;

  // Returns whether the call is over.
  [[nodiscard]] bool Add(const HttpEvent& event) {
    answers |= std::holds_alternative<HttpHead>(event);
    if (const auto* part = std::get_if<HttpBytes>(&event)) body.append(part->bytes);
    const bool too_long = body.size() > kMaxBytes;
    if (too_long) cancel();
    return too_long || std::holds_alternative<HttpEnd>(event) ||
           std::holds_alternative<HttpFailure>(event);
  }

  bool answers = false;
  std::string body;
  CancelCall cancel;
};

std::size_t CountParts(const std::vector<Quarantine::Culprit>& culprits) {
  std::size_t parts = 0;
  for (const Quarantine::Culprit& each : culprits) {
    if (IsPart(each.suspect)) ++parts;
  }
  return parts;
}

bool Names(const std::vector<Quarantine::Culprit>& culprits, const Quarantine::Culprit& culprit) {
  return std::any_of(culprits.begin(), culprits.end(), [&](const Quarantine::Culprit& each) {
    return each.suspect == culprit.suspect && each.alternatives == culprit.alternatives;
  });
}

void LogCulprit(std::string_view event, const Quarantine::Culprit& culprit, Duration left) {
  Log(LogLevel::kWarning, event,
      {{"fingerprint", culprit.suspect.value},
       {"alternatives", Join(culprit.alternatives, ',')},
       {"chain", std::to_string(culprit.chain)},
       {"crashes", std::to_string(culprit.crashes.size())},
       {"for_ms", left.count() > 0 ? Milliseconds(left) : ""}});
}

}  // namespace

CrashTracker::CrashTracker(Loop& loop, NoRetryHttpClient& client, SharedTables& tables,
                           Metrics& metrics, NodeId self, const PlatformAdapter& adapter)
    : loop_(loop),
      client_(client),
      tables_(tables),
      self_(std::move(self)),
      adapter_(adapter),
      quarantine_(self_),
      refused_rows_(metrics, {"crash_report", "crash_report_refused", "row"}),
      reports_counter_(
          metrics.counter("figmill_crashes_reported_total",
                          "Requests reported for the end of a backend server that ran them")),
      requests_gauge_(
          metrics.gauge("figmill_requests_quarantined",
                        "Requests that are not run for the crashes that followed them")),
      parts_gauge_(metrics.gauge(
          "figmill_prompt_parts_quarantined",
          "Parts of prompts whose requests are not run for the crashes that followed them")),
      follower_(
          loop, tables, kTable, {""}, [this](const TableMirror::Change& change) { OnRow(change); },
          [] {}) {}

void CrashTracker::CheckBackend(LostSend lost, std::function<void()> done) {
  const Address to = lost.backend.address;
  client_.Dial(to, kDialTimeout,
               [this, lost = std::move(lost), done = std::move(done),
                detected_at = Loop::Now()](DialResult found) {
                 OnDialed(lost, found, detected_at);
                 done();
               });
}

void CrashTracker::OnDialed(const LostSend& lost, DialResult found, Time detected_at) {
  LogLostSend(lost, ToString(found));
  if (found == DialResult::kRefused) {
    ReportCrash(lost, detected_at);
  } else {
    AwaitList(lost, detected_at);
  }
}

void CrashTracker::CheckEnd(LostSend send, EndEvidence evidence,
                            std::function<void(Completeness)> done) {
  if (HasAllOutput(evidence)) {
    LogEnd(send, evidence, Completeness::kWhole);
    return loop_.Post([done = std::move(done)] { done(Completeness::kWhole); });
  }
  const Address to = send.backend.address;
  client_.Dial(to, kDialTimeout,
               [this, send = std::move(send), evidence, done = std::move(done),
                detected_at = Loop::Now()](DialResult found) mutable {
                 if (found == DialResult::kConnected) {
                   return CallBackend(std::move(send), evidence, std::move(done));
                 }
                 const Completeness completeness = JudgeEnd(evidence);
                 LogEnd(send, evidence, completeness);
                 OnDialed(send, found, detected_at);
                 done(completeness);
               });
}

std::optional<Duration> CrashTracker::ClosedAfter(const HttpEnd& end, Duration suspended_before) {
  if (!end.closed_ago) return std::nullopt;
  return Loop::SinceBoot() - *end.closed_ago - (Loop::Suspended() - suspended_before);
}

void CrashTracker::CallBackend(LostSend send, EndEvidence evidence,
                               std::function<void(Completeness)> done) {
  HttpCall call;
  call.to = send.backend.address;
  call.target = adapter_.report_path();
  call.connect_timeout = kDialTimeout;
  call.total_timeout = kCallTimeout;
  const auto report = std::make_shared<Report>();
  report->cancel =
      client_.Start(std::move(call), [this, report, send = std::move(send), evidence,
                                      done = std::move(done)](const HttpEvent& event) mutable {
        if (!report->Add(event)) return;
        if (report->answers) evidence.answered_at = Loop::SinceBoot();
        evidence.answered_by = adapter_.ParseReport(report->body);
        const Completeness completeness = JudgeEnd(evidence);
        LogEnd(send, evidence, completeness);
        if (completeness == Completeness::kWhole) return done(completeness);
        CheckBackend(std::move(send),
                     [done = std::move(done), completeness] { done(completeness); });
      });
}

void CrashTracker::AwaitList(const LostSend& lost, Time detected_at) {
  if (lost.leaving) return;
  if (listed_ != nullptr) {
    // The list may have shown the crash before the loss was found here.
    if (const auto cause = UndecidedLosses::CrashIn(*listed_, lost)) {
      LogLostSend(lost, ToString(*cause));
      return ReportCrash(lost, detected_at);
    }
  }
  if (!undecided_.Add(lost, detected_at)) LogLostSend(lost, "too_many_undecided");
}

void CrashTracker::OnBackendsListed(const BackendList& backends) {
  listed_ = &backends;
  for (const auto& [loss, cause] : undecided_.RecordList(backends, Loop::Now())) {
    LogLostSend(loss.lost, ToString(cause));
    ReportCrash(loss.lost, loss.detected_at);
  }
}

void CrashTracker::RecordAnswer(const BackendAddress& process, Time sent_at) {
  LogDropped(undecided_.RecordAnswer(process, sent_at));
}

void CrashTracker::ReportRestart(const LostSend& lost) {
  LogLostSend(lost, "restarted");
  ReportCrash(lost, Loop::Now());
}

void CrashTracker::ReportCrash(const LostSend& lost, Time detected_at) {
  if (lost.leaving) return;
  reports_counter_.Add();
  for (const Fingerprint& suspect : lost.suspects) {
    const bool sound = IsPart(suspect) && (Quarantine::ShowsSoundParts(lost.events) ||
                                           quarantine_.IsCleared(suspect, detected_at));
    if (sound) continue;
    const Crash crash{suspect, {lost.backend.id, lost.backend.incarnation}};
    const CrashReport report{crash, quarantine_.NextChainLength(crash, lost.started_at),
                             lost.online};
    quarantine_.Add(report, detected_at);
    Write(crash, CrashRowValue(report, self_, lost.id));
  }
  for (const Crash& surplus : quarantine_.ExcessReports()) {
    quarantine_.Remove(surplus);
    Write(surplus, std::nullopt);
  }
  LogChanges();
}

Duration CrashTracker::ItemQuarantineLeft(std::span<const Fingerprint> item, Time expires) const {
  const auto hold = quarantine_.HoldOfItem(item, expires, Loop::Now());
  return hold ? hold->left : Duration{0};
}

std::optional<Error> CrashTracker::QuarantineError(std::span<const Fingerprint> request) const {
  const auto hold = quarantine_.HoldOf(request, Loop::Now());
  if (!hold) return std::nullopt;
  const std::string why = "in quarantine: fingerprint " + hold->suspect.value + " crashed " +
                          std::to_string(hold->chain) + " backend servers one after the other";
  return Error{ErrorKind::kQuarantined, why, Ran::kNo, hold->left};
}

void CrashTracker::RecordStart(std::span<const Fingerprint> request) {
  quarantine_.RecordStart(request, Loop::Now());
}

void CrashTracker::RecordItemEnd(std::span<const Fingerprint> item) {
  quarantine_.RecordItemEnd(item, Loop::Now());
}

void CrashTracker::RecordSound(std::span<const Fingerprint> suspects) {
  for (const Crash& crash : quarantine_.RecordSound(suspects, Loop::Now())) {
    Write(crash, std::nullopt);
  }
  for (const Fingerprint& each : suspects) {
    if (IsPart(each)) continue;
    LogDropped(undecided_.RecordCompletion(each));
  }
  LogChanges();
}

void CrashTracker::LogChanges() {
  const std::vector<Quarantine::Culprit>& now = quarantine_.culprits();
  if (now == logged_) return;
  for (const Quarantine::Culprit& each : now) {
    if (Names(logged_, each)) continue;
    std::vector<Fingerprint> suspects(each.alternatives.begin(), each.alternatives.end());
    suspects.push_back(each.suspect);
    const auto hold = quarantine_.HoldOf(suspects, Loop::Now());
    LogCulprit("request_quarantined", each, hold ? hold->left : Duration{0});
  }
  for (const Quarantine::Culprit& each : logged_) {
    if (!Names(now, each)) LogCulprit("request_released", each, Duration{0});
  }
  logged_ = now;
  const std::size_t parts = CountParts(now);
  parts_gauge_.Set(static_cast<double>(parts));
  requests_gauge_.Set(static_cast<double>(now.size() - parts));
}

// --- Table ------------------------------------------------------------------------

void CrashTracker::OnRow(const TableMirror::Change& change) {
  if (change.row == nullptr) {
    refused_rows_.Clear(change.at.key);
    withdrawing_.erase(change.at.key);
    const Result<Crash> crash = ParseCrashKey(change.at.key);
    if (!IsOk(crash)) return;  // the row was rejected when it was read
    quarantine_.Remove(ValueOf(crash));
    return LogChanges();
  }
  const Result<CrashReport> report = ParseCrashRow(*change.row);
  if (!IsOk(report)) {
    return refused_rows_.Refuse(change.at.key, change.row->version, ErrorOf(report).detail);
  }
  refused_rows_.Clear(change.at.key);
  const Crash& crash = ValueOf(report).crash;
  if (quarantine_.IsCleared(crash.suspect, Loop::Now())) return WithdrawLater(crash);
  quarantine_.Add(ValueOf(report), Loop::Now());
  LogChanges();
}

void CrashTracker::WithdrawLater(const Crash& crash) {
  const std::string key = CrashRowKey(crash);
  if (!withdrawing_.insert(key).second) return;
  const auto weight = static_cast<double>(RendezvousWeight(key, self_.value));
  const double spread = weight / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  loop_.Later(std::chrono::duration_cast<Duration>(kWithdrawalSpread * spread), [this, crash, key] {
    if (withdrawing_.erase(key) > 0) Write(crash, std::nullopt);
  });
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
