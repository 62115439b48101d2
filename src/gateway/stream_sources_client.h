#pragma once

// Keeps the records of streams' sources up to date at this entry and its holders, and looks up the
// source of a stream that a caller resumes.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figmill/observe.h"
#include "figmill/runtime.h"
#include "figmill/store_clock.h"
#include "figmill/stream_sources.h"
#include "figmill/tables.h"
#include "figmill/version_history.h"
#include "gateway/peer_messenger.h"

namespace figmill {

class StreamSourcesClient {
 public:
  // An entry that has not answered a query after this is asked once more. Several times the round
  // trip between regions.
  static constexpr Duration kAnswerTimeout{60'000};
  static constexpr int kQueries = 2;
  // Up to this many live entries all of them are asked: the one that began the stream may be alive
  // although no holder has its record.
  static constexpr std::size_t kAskAllLimit = 16;
  // The store counts as out of reach if it hasn't answered after this. Nobody else can tell which
  // version began a stream without a record, so a slow store is waited for.
  static constexpr Duration kStoreTimeout{1'000'000};
  static constexpr Duration kCheckPeriod{100'000};

  struct Request {
    RequestId request;  // for the log
    RequestId began;
    std::vector<ServiceName> services;
  };
  using Done = std::function<void(Result<OutputSource>)>;
  // A look-up in progress. It doesn't call back after it is destroyed.
  class Search;

  // `store`: the table service itself, without relays.
  // `clock`: the store's.
  StreamSourcesClient(Loop& loop, PeerTable& peers, PeerMessenger& messenger, SharedTables& store,
                      const StoreClock& clock, Metrics& metrics);

  // `followed`: the store answers. While it doesn't, it can't be asked for the history either, and
  // the records of all streams are needed. `incomplete`: services that have backend servers of
  // other versions as well.
  void SetHistory(std::shared_ptr<const VersionHistory> history, bool followed,
                  std::set<ServiceName> incomplete);
  // This entry is about to deliver events of the stream. `always`: see StreamPublisher::Add.
  void Record(const RequestId& began, const OutputSource& source, bool always);
  // Calls `done` once, perhaps from within this call. Returns null if it was already called.
  // Errors: kNoBackend, ran no.
  [[nodiscard]] std::shared_ptr<Search> Find(const Request& request, Done done);
  void OnMessage(const Peer& from, const StreamMessage& message);

 private:
  void On(const Peer& from, const StreamRecords& records);
  void On(const Peer& from, const StreamQuery& query);
  void On(const Peer& from, const StreamResponse& response);
  void CheckPeers();
  void SendRecords();
  [[nodiscard]] std::set<NodeId> EntriesToAsk(StreamKey key, Time now) const;
  // Whether a stream of the service may be resumed where its source is known by its record alone.
  [[nodiscard]] bool NeedsRecords(const ServiceName& service) const;
  void ReadHistory();
  void OnHistoryRead(const std::vector<std::weak_ptr<Search>>& searches,
                     const Result<TablePage>& page);

  Loop& loop_;
  PeerTable& peers_;
  PeerMessenger& messenger_;
  SharedTables& store_;
  const StoreClock& clock_;
  Counter& records_sent_;
  Counter& found_;
  Counter& not_found_;
  std::shared_ptr<const VersionHistory> history_ = std::make_shared<VersionHistory>();
  bool history_followed_ = false;
  std::set<ServiceName> incomplete_;
  StreamDirectory directory_;
  StreamPublisher publisher_;
  std::vector<Peer> eligible_;
  std::uint64_t peers_generation_ = 0;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, Search*> searches_;
  // They need the history, as of a read that starts after they asked. One read is made at a time.
  std::vector<std::weak_ptr<Search>> need_history_;
  bool reading_history_ = false;
  Timer check_timer_;
};

}  // namespace figmill
