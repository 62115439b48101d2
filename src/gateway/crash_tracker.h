#pragma once

// Detects backend servers that crashed while they ran a request, reports the crashes to all entries
// through the table service, and tracks which requests are in quarantine.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "figmill/exchange.h"
#include "figmill/quarantine.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class CrashTracker {
 public:
  static constexpr const char* kTable = "crash_reports";
  // The port of a process that has ended refuses a connection within a round trip. A host that
  // doesn't answer may be busy or partitioned, which is no evidence against the request.
  static constexpr Duration kDialTimeout{50'000};
  static constexpr Duration kRetryDelay{300'000};
  // Limit on the rows written in one transaction.
  static constexpr std::size_t kMaxRowsPerTransaction = 50;

  // A send whose connection was lost before the response was complete.
  struct LostSend {
    std::string id;  // of the request attempt or of the batch item
    RequestFingerprint request;
    std::string parts;  // ids of the prompt's shared parts, for the log
    BackendAddress backend;
    Time started_at{};
    std::uint64_t events = 0;  // of the answer that arrived in this run
  };

  CrashTracker(Loop& loop, NoRetryHttpClient& client, SharedTables& tables, Metrics& metrics,
               NodeId self);

  void Start() { follower_.Start(); }
  // Checks whether the backend server still accepts connections and then calls `done`, never from
  // within this call. If the connection is refused, the crash is reported before `done` is called.
  void CheckBackend(LostSend lost, std::function<void()> done);
  // Reports a crash of a backend server whose row in the list shows a later incarnation.
  void ReportRestart(const LostSend& lost);

  // Whether any request is in quarantine; if not, fingerprints need not be computed.
  [[nodiscard]] bool has_quarantined() const { return quarantine_.quarantined() > 0; }
  // The error for a request that is in quarantine, with the remaining time; nullopt if it may run.
  [[nodiscard]] std::optional<Error> QuarantineError(const RequestFingerprint& request,
                                                     WorkClass work) const;
  // A run of the request starts.
  void RecordStart(const RequestFingerprint& request);
  // Whether there are crash reports that RecordCompletion could withdraw.
  [[nodiscard]] bool has_reports() const { return quarantine_.reports() > 0; }
  // A run of the request ended with a complete response: its crash reports are withdrawn.
  void RecordCompletion(const RequestFingerprint& request);

 private:
  void ReportCrash(const LostSend& lost, Time detected_at);
  void OnRow(const TableMirror::Change& change);
  void LogChange(const RequestFingerprint& request, std::size_t quarantined_before) const;
  void UpdateGauge() const;
  void Write(const Crash& crash, std::optional<std::string> value);
  void Flush();
  void OnWritten(std::map<std::string, std::optional<std::string>> written,
                 const TableOutcome& outcome);

  Loop& loop_;
  NoRetryHttpClient& client_;
  SharedTables& tables_;
  NodeId self_;
  Quarantine quarantine_;
  RefusedRows refused_rows_;
  Counter& reports_counter_;
  Gauge& quarantined_gauge_;
  TableFollower follower_;
  // Rows to write, by key; nullopt for a row to remove.
  std::map<std::string, std::optional<std::string>> pending_rows_;
  bool writing_ = false;
};

}  // namespace figmill
