#include <algorithm>
#include <utility>

#include "figmill/sharing.h"

namespace figmill {

PlaceSearch::PlaceSearch(PlaceAsk ask, std::vector<NodeId> keepers, Time now)
    : ask_(std::move(ask)),
      keepers_(std::move(keepers)),
      goal_at_(now + ask_.goal_left),
      gone_at_(now + ask_.time_left) {
  if (keepers_.size() > kMaxAsked) keepers_.resize(kMaxAsked);
}

search::Action PlaceSearch::Start(Time now) {
  return AskNext(now);
}

search::Action PlaceSearch::Ask(const NodeId& keeper, Time now) {
  ask_.goal_left = std::max(goal_at_ - now, Duration{0});
  ask_.time_left = std::max(gone_at_ - now, Duration{0});
  return search::AskKeeper{keeper, ask_, kAnswerPatience};
}

search::Action PlaceSearch::AskNext(Time now) {
  if (next_ < keepers_.size()) return Ask(keepers_[next_++], now);
  // Those that keep places say that all are taken; silence says nothing.
  if (!soonest_) return search::TakeUnasked{};
  if (ask_.may_queue) return search::GiveUp{come_back_.value_or(shortest_wait_)};
  ask_.may_queue = true;
  return Ask(*soonest_, now);
}

search::Action PlaceSearch::On(const search::Event& event, Time now) {
  if (std::holds_alternative<search::TimedOut>(event)) return AskNext(now);
  const PlaceAnswer& answer = std::get<search::Answered>(event).answer;
  switch (answer.kind) {
    case PlaceAnswer::Kind::kPlaced:
      return search::Take{answer.backend};
    case PlaceAnswer::Kind::kQueued: {
      const Time until = ask_.last_chance ? gone_at_ : goal_at_;
      return search::Wait{std::max(until - now, kAnswerPatience)};
    }
    case PlaceAnswer::Kind::kFull:
      if (ask_.may_queue) come_back_ = answer.come_back;
      if (answer.wait < shortest_wait_ && next_ > 0) {
        shortest_wait_ = answer.wait;
        if (!ask_.may_queue) soonest_ = keepers_[next_ - 1];
      }
      return AskNext(now);
    case PlaceAnswer::Kind::kNotKept:
      return AskNext(now);
  }
  return AskNext(now);
}

}  // namespace figmill
