#include "gateway/slot_finder.h"

#include <utility>

namespace figmill {

class SlotFinder::Search : public std::enable_shared_from_this<Search> {
 public:
  Search(SlotFinder& finder, const Request& request, SlotSearch search, Done done)
      : finder_(finder),
        service_(request.query.service),
        version_(request.query.version),
        tried_(request.query.tried.begin(), request.query.tried.end()),
        search_(std::move(search)),
        done_(std::move(done)) {}
  ~Search() {
    finder_.searches_.erase(search_.number());
    // Releases the slot that the allocator may have reserved for this request.
    if (done_ && !allocator_.empty())
      finder_.messenger_.AcknowledgeAnswer(allocator_, search_.number());
  }
  Search(const Search&) = delete;
  Search& operator=(const Search&) = delete;

  void Start() { Execute(search_.Start(Loop::Now())); }
  void OnAnswer(const SlotResponse& answer) {
    if (done_) Execute(search_.OnEvent(search::Answered{answer}, Loop::Now()));
  }

 private:
  void Execute(const search::Action& action) {
    std::visit([this](const auto& each) { Do(each); }, action);
  }
  void Do(const search::AskAllocator& ask) {
    allocator_ = ask.allocator;
    ArmTimer(ask.timeout);
    finder_.messenger_.RequestSlot(ask.allocator, ask.request);
  }
  void Do(const search::Wait& wait) { ArmTimer(wait.timeout); }
  void Do(const search::FindAllocators& action) {
    finder_.messenger_.AcknowledgeAnswer(action.lost, search_.number());
    Execute(search_.OnEvent(
        search::AllocatorsFound{finder_.messenger_.AllocatorsFor({service_, tried_, version_})},
        Loop::Now()));
  }
  void Do(const search::UseSlot& action) {
    finder_.messenger_.AcknowledgeAnswer(allocator_, search_.number());
    const BackendInfo* info = finder_.backend_pool_.Find(action.backend);
    // An allocator that runs an earlier release doesn't know of versions.
    const bool fits = info != nullptr && (!version_ || info->version == *version_);
    if (fits && finder_.backend_pool_.IsUsable(action.backend, Loop::Now())) {
      return Finish(AddressOf(*info));
    }
    Log(LogLevel::kInfo, "place_refused",
        {{"backend", action.backend.value},
         {"keeper", allocator_.value},
         {"why", WhyRefused(info, fits)}});
    tried_.push_back(action.backend);
    ChooseLocally();
  }
  void Do(const search::ChooseLocally& /*action*/) {
    LeaveQueue();
    ChooseLocally();
  }
  void Do(const search::RefuseRequest& action) {
    LeaveQueue();
    Finish(Error{ErrorKind::kOverloaded, "all places are taken", Ran::kNo, action.wait});
  }
  // The allocator doesn't know yet that the backend server is leaving, that it doesn't respond to
  // this entry, or which version it runs.
  [[nodiscard]] static std::string WhyRefused(const BackendInfo* info, bool fits) {
    if (info == nullptr || info->state != BackendState::kReady)
      return "the backend server is leaving";
    return fits ? "the backend server fails or does not respond here"
                : "the backend server runs another version";
  }
  // The allocator may have queued the request although its answer was lost or late.
  void LeaveQueue() {
    if (!allocator_.empty()) finder_.messenger_.AcknowledgeAnswer(allocator_, search_.number());
  }
  void ChooseLocally() {
    BackendQuery query;
    query.service = service_;
    query.tried = tried_;
    query.version = version_;
    Finish(finder_.backend_pool_.Choose(query, Loop::Now()));
  }
  void Finish(Result<BackendAddress> result) {
    timer_.Reset();
    std::exchange(done_, nullptr)(std::move(result));
  }
  void ArmTimer(Duration timeout) {
    timer_ = finder_.loop_.After(timeout, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->done_)
        self->Execute(self->search_.OnEvent(search::TimedOut{}, Loop::Now()));
    });
  }

  SlotFinder& finder_;
  ServiceName service_;
  std::optional<SoftwareVersion> version_;
  std::vector<BackendId> tried_;
  SlotSearch search_;
  Done done_;
  NodeId allocator_;
  Timer timer_;
};

SlotFinder::SlotFinder(Loop& loop, BackendPool& backend_pool, PeerMessenger& messenger)
    : loop_(loop), backend_pool_(backend_pool), messenger_(messenger) {}

std::shared_ptr<SlotFinder::Search> SlotFinder::Find(const Request& request, Done done) {
  const Time now = Loop::Now();
  if (const auto lightly_loaded =
          backend_pool_.ChooseLightlyLoaded(request.query, kLightLoadShare, now)) {
    done(*lightly_loaded);
    return nullptr;
  }
  const std::vector<BackendId> excluded = BackendsToExclude(request.query, now);
  std::vector<NodeId> allocators =
      messenger_.AllocatorsFor({request.query.service, excluded, request.query.version});
  if (allocators.empty()) {
    done(backend_pool_.Choose(request.query, now));
    return nullptr;
  }
  SlotRequest ask;
  ask.number = ++last_request_number_;
  ask.service = request.query.service;
  ask.goal_left = request.goal_left;
  ask.time_left = request.time_left;
  ask.last_try = request.last_try;
  ask.tried = excluded;
  ask.team = request.team;
  ask.rank = request.rank;
  ask.version = request.query.version;
  auto search = std::make_shared<Search>(
      *this, request, SlotSearch(std::move(ask), std::move(allocators), now), std::move(done));
  searches_[last_request_number_] = search;
  search->Start();
  return search;
}

std::vector<BackendId> SlotFinder::BackendsToExclude(const BackendQuery& query, Time now) const {
  std::vector<BackendId> excluded(query.tried.begin(), query.tried.end());
  for (BackendId& id : backend_pool_.ExcludedBackends(query, now)) {
    if (excluded.size() >= kMaxExcludedBackends) break;
    excluded.push_back(std::move(id));
  }
  return excluded;
}

void SlotFinder::OnAnswer(const SlotResponse& answer) {
  const auto found = searches_.find(answer.number);
  if (found == searches_.end()) return;
  if (const auto search = found->second.lock()) search->OnAnswer(answer);
}

}  // namespace figmill
