#include "gateway/place_finder.h"

#include <utility>

namespace figmill {

class PlaceFinder::Search : public std::enable_shared_from_this<Search> {
 public:
  Search(PlaceFinder& finder, const Need& need, SlotSearch search, Done done)
      : finder_(finder),
        service_(need.query.service),
        tried_(need.query.tried.begin(), need.query.tried.end()),
        search_(std::move(search)),
        done_(std::move(done)) {}
  ~Search() {
    finder_.searches_.erase(search_.number());
    // A keeper may hold a place for this request that nobody will use.
    if (done_ && !keeper_.empty()) finder_.link_.ActedOn(keeper_, search_.number());
  }
  Search(const Search&) = delete;
  Search& operator=(const Search&) = delete;

  void Start() { Do(search_.Start(Loop::Now())); }
  void OnAnswer(const SlotResponse& answer) {
    if (done_) Do(search_.OnEvent(search::Answered{answer}, Loop::Now()));
  }

 private:
  void Do(const search::Action& action) {
    std::visit([this](const auto& each) { On(each); }, action);
  }
  void On(const search::AskAllocator& ask) {
    keeper_ = ask.allocator;
    Arm(ask.timeout);
    finder_.link_.Ask(ask.allocator, ask.request);
  }
  void On(const search::Wait& wait) { Arm(wait.timeout); }
  void On(const search::UseSlot& take) {
    finder_.link_.ActedOn(keeper_, search_.number());
    const BackendInfo* info = finder_.places_.Find(take.backend);
    if (info != nullptr && finder_.places_.IsUsable(take.backend, Loop::Now())) {
      return Finish(AddressOf(*info));
    }
    // The keeper has not heard yet that it leaves, or that it is silent to this entry.
    const bool leaves = info == nullptr || info->state != BackendState::kReady;
    Log(LogLevel::kInfo, "place_refused",
        {{"backend", take.backend.value},
         {"keeper", keeper_.value},
         {"why", leaves ? "it is leaving" : "it fails or is silent here"}});
    tried_.push_back(take.backend);
    On(search::ChooseLocally{});
  }
  void On(const search::ChooseLocally& /*action*/) {
    BackendQuery query;
    query.service = service_;
    query.tried = tried_;
    Finish(finder_.places_.Choose(query, Loop::Now()));
  }
  void On(const search::RefuseRequest& give_up) {
    Finish(Error{ErrorKind::kOverloaded, "all places are taken", Ran::kNo, give_up.wait});
  }
  void Finish(Result<BackendAddress> result) {
    timer_.Reset();
    std::exchange(done_, nullptr)(std::move(result));
  }
  void Arm(Duration patience) {
    timer_ = finder_.loop_.After(patience, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->done_) self->Do(self->search_.OnEvent(search::TimedOut{}, Loop::Now()));
    });
  }

  PlaceFinder& finder_;
  ServiceName service_;
  std::vector<BackendId> tried_;
  SlotSearch search_;
  Done done_;
  NodeId keeper_;
  Timer timer_;
};

PlaceFinder::PlaceFinder(Loop& loop, BackendPool& places, PeerLink& link)
    : loop_(loop), places_(places), link_(link) {}

std::shared_ptr<PlaceFinder::Search> PlaceFinder::Find(const Need& need, Done done) {
  const Time now = Loop::Now();
  if (const auto roomy = places_.ChooseLightlyLoaded(need.query, kRoomy, now)) {
    done(*roomy);
    return nullptr;
  }
  const std::vector<BackendId> not_there = NotThere(need.query, now);
  std::vector<NodeId> keepers = link_.KeepersFor(need.query.service, not_there);
  if (keepers.empty()) {
    done(places_.Choose(need.query, now));
    return nullptr;
  }
  SlotRequest ask;
  ask.number = ++next_ask_;
  ask.service = need.query.service;
  ask.goal_left = need.goal_left;
  ask.time_left = need.time_left;
  ask.last_try = need.last_chance;
  ask.tried = not_there;
  auto search = std::make_shared<Search>(
      *this, need, SlotSearch(std::move(ask), std::move(keepers), now), std::move(done));
  searches_[next_ask_] = search;
  search->Start();
  return search;
}

std::vector<BackendId> PlaceFinder::NotThere(const BackendQuery& query, Time now) const {
  std::vector<BackendId> not_there(query.tried.begin(), query.tried.end());
  for (BackendId& id : places_.ExcludedBackends(query, now)) {
    if (not_there.size() >= kMostNotThere) break;
    not_there.push_back(std::move(id));
  }
  return not_there;
}

void PlaceFinder::OnAnswer(const SlotResponse& answer) {
  const auto found = searches_.find(answer.number);
  if (found == searches_.end()) return;
  if (const auto search = found->second.lock()) search->OnAnswer(answer);
}

}  // namespace figmill
