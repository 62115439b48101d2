#include "gateway/stream_sources_client.h"

#include <utility>

#include "gateway/log_text.h"

namespace figmill {

class StreamSourcesClient::Search : public std::enable_shared_from_this<Search> {
 public:
  Search(StreamSourcesClient& client, Request request, StreamQuery query, StreamLookup lookup,
         Done done)
      : client_(client),
        request_(std::move(request)),
        query_(query),
        lookup_(std::move(lookup)),
        done_(std::move(done)),
        asked_(lookup_.unanswered().size()),
        started_at_(Loop::Now()) {
    client_.searches_[query_.number] = this;
  }
  ~Search() { client_.searches_.erase(query_.number); }
  Search(const Search&) = delete;
  Search& operator=(const Search&) = delete;

  [[nodiscard]] bool finished() const { return !done_; }

  void Start() { Continue(); }
  void OnHistory(const std::optional<SoftwareVersion>& only) {
    lookup_.OnHistory(only);
    Finish();
  }
  [[nodiscard]] const ServiceName& service() const { return request_.services.front(); }
  void OnResponse(const NodeId& from, const StreamResponse& response) {
    if (response.key != query_.key) return;
    lookup_.OnResponse(from, response);
    ConcludeIfPossible();
  }

 private:
  void Continue() {
    if (queries_ == kQueries) lookup_.GiveUp();
    if (ConcludeIfPossible()) return;
    ++queries_;
    for (const NodeId& node : lookup_.unanswered()) {
      if (const Peer* peer = client_.peers_.Find(node))
        client_.messenger_.SendStream(*peer, query_);
    }
    timer_ = client_.loop_.After(kAnswerTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Continue();
    });
  }

  // Whether no further answers are waited for.
  bool ConcludeIfPossible() {
    if (lookup_.result()) {
      Finish();
      return true;
    }
    if (!lookup_.needs_history()) return false;
    AwaitHistory();
    return true;
  }

  void AwaitHistory() {
    if (std::exchange(store_asked_, true)) return;
    timer_ = client_.loop_.After(kStoreTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->OnHistory(std::nullopt);
    });
    client_.need_history_.push_back(weak_from_this());
    client_.ReadHistory();
  }

  void Finish() {
    if (!done_) return;
    timer_.Reset();
    const Result<OutputSource>& result = *lookup_.result();
    const bool found = IsOk(result);
    const OutputSource source = found ? ValueOf(result) : OutputSource{};
    (found ? client_.found_ : client_.not_found_).Add();
    Log(LogLevel::kInfo, "stream_source",
        {{"request", request_.request.value},
         {"began", request_.began.value},
         {"service", source.service.value},
         {"version", source.version.value},
         {"asked", std::to_string(asked_)},
         {"unanswered", std::to_string(lookup_.unanswered().size())},
         {"store_asked", store_asked_ ? "true" : "false"},
         {"ms", Milliseconds(Loop::Now() - started_at_)},
         {"why", found ? "" : ErrorOf(result).detail}});
    std::exchange(done_, nullptr)(result);
  }

  StreamSourcesClient& client_;
  Request request_;
  StreamQuery query_;
  StreamLookup lookup_;
  Done done_;
  std::size_t asked_;
  Time started_at_;
  int queries_ = 0;
  bool store_asked_ = false;
  Timer timer_;
};

StreamSourcesClient::StreamSourcesClient(Loop& loop, PeerTable& peers, PeerMessenger& messenger,
                                         SharedTables& store, const StoreClock& clock,
                                         Metrics& metrics)
    : loop_(loop),
      peers_(peers),
      messenger_(messenger),
      store_(store),
      clock_(clock),
      records_sent_(metrics.counter("figmill_stream_records_sent_total",
                                    "Records of streams' sources sent to other entries")),
      found_(metrics.counter("figmill_stream_lookups_total",
                             "Look-ups of the version that began a resumed stream",
                             "outcome=\"found\"")),
      not_found_(metrics.counter("figmill_stream_lookups_total",
                                 "Look-ups of the version that began a resumed stream",
                                 "outcome=\"unknown\"")),
      check_timer_(loop.Every(kCheckPeriod, [this] { CheckPeers(); })) {}

void StreamSourcesClient::SetHistory(std::shared_ptr<const VersionHistory> history, bool followed,
                                     std::set<ServiceName> incomplete) {
  if (history == history_ && followed == history_followed_ && incomplete == incomplete_) return;
  history_ = std::move(history);
  incomplete_ = std::move(incomplete);
  history_followed_ = followed;
  publisher_.OnChanged();
  SendRecords();
}

bool StreamSourcesClient::NeedsRecords(const ServiceName& service) const {
  const std::optional<StoreTime> now = clock_.Earliest(Loop::SinceBoot());
  return !history_followed_ || incomplete_.contains(service) || !now ||
         !history_->Only(service, *now);
}

void StreamSourcesClient::CheckPeers() {
  const Time now = Loop::Now();
  const std::uint64_t generation = peers_.Generation(now);
  if (generation == peers_generation_) return;
  peers_generation_ = generation;
  eligible_ = peers_.EligiblePeers(now);
  publisher_.OnChanged();
  SendRecords();
}

void StreamSourcesClient::Record(const RequestId& began, const OutputSource& source, bool always) {
  if (began.empty()) return;  // nobody can name it
  const Time now = Loop::Now();
  const StreamRecord record{StreamKeyOf(began), source};
  directory_.Put(record, now);
  publisher_.Add(record, always, now);
  SendRecords();
}

void StreamSourcesClient::SendRecords() {
  const auto needed = [this](const ServiceName& service) { return NeedsRecords(service); };
  for (const StreamPublisher::Outgoing& each :
       publisher_.TakeOutgoing(eligible_, peers_.self().node, needed, Loop::Now())) {
    const Peer* peer = peers_.Find(each.to);
    if (peer == nullptr) continue;
    records_sent_.Add(each.records.records.size());
    messenger_.SendStream(*peer, each.records);
  }
}

std::set<NodeId> StreamSourcesClient::EntriesToAsk(StreamKey key, Time now) const {
  std::set<NodeId> nodes;
  for (const Peer* holder : StreamHolders(eligible_, key)) nodes.insert(holder->node);
  const std::vector<Peer> live = peers_.Live(now);
  if (live.size() <= kAskAllLimit) {
    for (const Peer& peer : live) nodes.insert(peer.node);
  }
  nodes.erase(peers_.self().node);
  return nodes;
}

void StreamSourcesClient::ReadHistory() {
  if (need_history_.empty() || std::exchange(reading_history_, true)) return;
  store_.Read({VersionHistory::kTable},
              [this, searches = std::exchange(need_history_, {})](const Result<TablePage>& page) {
                reading_history_ = false;
                OnHistoryRead(searches, page);
                ReadHistory();
              });
}

void StreamSourcesClient::OnHistoryRead(const std::vector<std::weak_ptr<Search>>& searches,
                                        const Result<TablePage>& page) {
  VersionHistory history;
  const bool whole = IsOk(page) && !ValueOf(page).truncated && ValueOf(page).now;
  if (whole) {
    // The history itself accounts for rows that can't be read.
    for (const TableRow& row : ValueOf(page).rows) static_cast<void>(history.Put(row));
  }
  for (const auto& weak : searches) {
    const auto search = weak.lock();
    if (!search) continue;
    const bool complete = whole && !incomplete_.contains(search->service());
    search->OnHistory(complete ? history.Only(search->service(), *ValueOf(page).now)
                               : std::nullopt);
  }
}

std::shared_ptr<StreamSourcesClient::Search> StreamSourcesClient::Find(const Request& request,
                                                                       Done done) {
  const StreamKey key = StreamKeyOf(request.began);
  StreamLookup lookup({key, request.services}, directory_.Find(key, Loop::Now()),
                      EntriesToAsk(key, Loop::Now()));
  const StreamQuery query{++last_number_, key};
  auto search = std::make_shared<Search>(*this, request, query, std::move(lookup), std::move(done));
  search->Start();
  return search->finished() ? nullptr : search;
}

void StreamSourcesClient::OnMessage(const Peer& from, const StreamMessage& message) {
  std::visit([&](const auto& each) { On(from, each); }, message);
}

void StreamSourcesClient::On(const Peer& /*from*/, const StreamRecords& records) {
  for (const StreamRecord& record : records.records) directory_.Put(record, Loop::Now());
}

void StreamSourcesClient::On(const Peer& from, const StreamQuery& query) {
  StreamResponse response;
  response.number = query.number;
  response.key = query.key;
  response.source = directory_.Find(query.key, Loop::Now());
  messenger_.SendStream(from, response);
}

void StreamSourcesClient::On(const Peer& from, const StreamResponse& response) {
  const auto found = searches_.find(response.number);
  if (found == searches_.end()) return;
  const std::shared_ptr<Search> keep = found->second->shared_from_this();
  keep->OnResponse(from.node, response);
}

}  // namespace figmill
