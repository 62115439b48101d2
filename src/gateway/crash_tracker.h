#pragma once

// Detects backend servers that crashed while they ran a request, reports the crashes to all entries
// through the table service, and tracks which requests and parts of prompts are in quarantine.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "figmill/answer_end.h"
#include "figmill/exchange.h"
#include "figmill/gateway.h"
#include "figmill/quarantine.h"
#include "gateway/fleet_view.h"
#include "gateway/lost_send.h"
#include "gateway/refused_rows.h"
#include "gateway/table_follower.h"
#include "gateway/undecided_losses.h"

namespace figmill {

class CrashTracker {
 public:
  static constexpr const char* kTable = "crash_reports";
  // The port of a process that has ended refuses a connection within a round trip. A host that
  // doesn't answer may be busy or partitioned, which is no evidence against the request.
  static constexpr Duration kDialTimeout{50'000};
  // A process that goes on answers a call that needs no slot within this time.
  static constexpr Duration kCallTimeout{500'000};
  static constexpr Duration kRetryDelay{300'000};
  // Entries that have completed requests with a reported part remove its row at different times
  // within this one: in large fleets all of them would write at once.
  static constexpr Duration kWithdrawalSpread{300'000};
  // Limit on the rows written in one transaction.
  static constexpr std::size_t kMaxRowsPerTransaction = 50;

  CrashTracker(Loop& loop, NoRetryHttpClient& client, SharedTables& tables, Metrics& metrics,
               NodeId self, const PlatformAdapter& adapter);

  void Start() { follower_.Start(); }
  // Checks whether the backend server still accepts connections and then calls `done`, never from
  // within this call. If the connection is refused, the crash is reported before `done` is called.
  void CheckBackend(LostSend lost, std::function<void()> done);
  // The same for an answer that only the close of its connection ended, so that a crash looks like
  // its end. Calls the backend server unless `evidence` shows without it that the answer is whole.
  void CheckEnd(LostSend send, EndEvidence evidence, std::function<void(Completeness)> done);
  // EndEvidence::closed_after of an answer whose send began when this host had been suspended for
  // `suspended_before`. While a host is suspended a close can't arrive, so that its age is too low.
  [[nodiscard]] static std::optional<Duration> ClosedAfter(const HttpEnd& end,
                                                           Duration suspended_before);
  // Call it with each list of backend servers, in one place: the list is also looked up between the
  // calls. Something else may accept connections in place of one that has crashed; its crash then
  // shows in the list alone.
  void OnBackendsListed(const BackendList& backends);
  // A response has begun to a request that was sent to this process at `sent_at`.
  void RecordAnswer(const BackendAddress& process, Time sent_at);
  // Reports a crash of a backend server whose row in the list shows a later incarnation.
  void ReportRestart(const LostSend& lost);

  // Whether anything is in quarantine; if not, fingerprints need not be computed.
  [[nodiscard]] bool has_quarantined() const { return !quarantine_.culprits().empty(); }
  // The error for an online request that is in quarantine, with the remaining time; nullopt if it
  // may run. `request`: its fingerprint and those of the parts of its prompt.
  [[nodiscard]] std::optional<Error> QuarantineError(std::span<const Fingerprint> request) const;
  // Time until a batch item that is given up at `expires` may run; not positive if it may now.
  [[nodiscard]] Duration ItemQuarantineLeft(std::span<const Fingerprint> item, Time expires) const;
  // A run of the request starts.
  void RecordStart(std::span<const Fingerprint> request);
  // A run of a batch item has ended, with or without a complete response.
  void RecordItemEnd(std::span<const Fingerprint> item);
  // Whether there are crash reports, or losses that may still be reported. If not, RecordSound only
  // needs the parts of the prompt.
  [[nodiscard]] bool has_reports() const {
    return quarantine_.reports() > 0 || !undecided_.empty();
  }
  // A run has shown that these suspects crash nothing (Quarantine::RecordSound): their crash
  // reports are withdrawn.
  void RecordSound(std::span<const Fingerprint> suspects);

 private:
  void OnDialed(const LostSend& lost, DialResult found, Time detected_at);
  // Sends a call on the connection that CheckEnd has opened.
  void CallBackend(LostSend send, EndEvidence evidence, std::function<void(Completeness)> done);
  void ReportCrash(const LostSend& lost, Time detected_at);
  void AwaitList(const LostSend& lost, Time detected_at);
  void OnRow(const TableMirror::Change& change);
  void WithdrawLater(const Crash& crash);
  // Logs what has come into quarantine, or was released, since the last call.
  void LogChanges();
  void Write(const Crash& crash, std::optional<std::string> value);
  void Flush();
  void OnWritten(std::map<std::string, std::optional<std::string>> written,
                 const TableOutcome& outcome);

  Loop& loop_;
  NoRetryHttpClient& client_;
  SharedTables& tables_;
  NodeId self_;
  const PlatformAdapter& adapter_;
  Quarantine quarantine_;
  RefusedRows refused_rows_;
  Counter& reports_counter_;
  Gauge& requests_gauge_;
  Gauge& parts_gauge_;
  std::vector<Quarantine::Culprit> logged_;
  TableFollower follower_;
  UndecidedLosses undecided_;
  const BackendList* listed_ = nullptr;  // null before the first list
  // Rows to write, by key; nullopt for a row to remove.
  std::map<std::string, std::optional<std::string>> pending_rows_;
  // Rows of other entries that are to be removed.
  std::set<std::string> withdrawing_;
  bool writing_ = false;
};

}  // namespace figmill
