#pragma once

// Finds out which backend servers have crashed under a request, tells all entries by the table
// service, and knows which requests are in quarantine for it.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "figmill/exchange.h"
#include "figmill/quarantine.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"

namespace figmill {

class CrashWatch {
 public:
  // A process that has ended refuses connections within a round trip. A host that doesn't answer
  // may be busy or cut off, and says nothing of the request.
  static constexpr Duration kDialPatience{50'000};
  static constexpr Duration kRetryPause{300'000};
  // Rows that one transaction writes.
  static constexpr std::size_t kMaxWrites = 50;

  // A send whose connection was lost before its answer was whole.
  struct LostSend {
    std::string id;  // of the request's attempt, or of the item
    RequestFingerprint request;
    BackendAddress backend;
    Time begun_at{};
  };

  CrashWatch(Loop& loop, NoRetryHttpClient& client, SharedTables& tables, Metrics& metrics,
             NodeId self);

  void Start() { follower_.Start(); }
  // Calls `done` once it is known whether the backend server still listens, never inside this
  // call. If it doesn't, the crash is reported before.
  void Check(LostSend lost, std::function<void()> done);
  // The backend server has ended, as its entry in the list says.
  void Crashed(const LostSend& lost);

  // Callers need no fingerprint while nothing is in quarantine.
  [[nodiscard]] bool quarantines() const { return quarantine_.quarantined() > 0; }
  // Why the request may not run now, and until when.
  [[nodiscard]] std::optional<Error> WhyNot(const RequestFingerprint& request,
                                            WorkClass work) const;
  void Began(const RequestFingerprint& request);
  // A run ended with its whole answer.
  [[nodiscard]] bool has_reports() const { return quarantine_.reports() > 0; }
  void Completed(const RequestFingerprint& request);

 private:
  void Report(const LostSend& lost, Time seen_at);
  void OnRow(const TableMirror::Change& change);
  void LogChange(const RequestFingerprint& request, std::size_t quarantined_before) const;
  void ShowCount() const;
  void Write(const Crash& crash, std::optional<std::string> value);
  void Flush();
  void OnWritten(std::map<std::string, std::optional<std::string>> written,
                 const TableOutcome& outcome);

  Loop& loop_;
  NoRetryHttpClient& client_;
  SharedTables& tables_;
  NodeId self_;
  Quarantine quarantine_;
  RefusedRows refused_;
  Counter& reported_;
  Gauge& quarantined_;
  TableFollower follower_;
  // Rows to write, by their keys; nothing: to remove.
  std::map<std::string, std::optional<std::string>> unwritten_;
  bool writing_ = false;
};

}  // namespace figmill
