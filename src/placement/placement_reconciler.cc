#include <algorithm>

#include "figmill/placement.h"

namespace figmill {
namespace {

// Bounds the shift; the longest retry is reached long before.
constexpr int kMaxDoublings = 16;

bool IsLoad(const EngineOrder& order) {
  return order.kind.starts_with("load-");
}

// Adapters come and go beside running work; models and roles don't.
bool NeedsDrain(const EngineOrder& order) {
  return !order.kind.ends_with("adapter");
}

std::string ObjectOf(const EngineOrder& order) {
  return order.subject + "@" + order.version;
}

}  // namespace

std::vector<PlacerAction> Placer::On(Time now, const PlacerEvent& event) {
  actions_.clear();
  // An answer that nothing waits for is of an action that was given up.
  const auto answered = [&](Waiting what) {
    if (waiting_ != what) return false;
    waiting_ = Waiting::kNothing;
    return true;
  };
  std::visit(Overloaded{
                 [&](const DesiredPlacement& desired) { OnDesired(now, desired); },
                 [&](const RightRead& right) {
                   if (answered(Waiting::kRight)) OnRight(now, right.mine);
                 },
                 [&](const RightUnread& unread) {
                   if (answered(Waiting::kRight)) Retry(now, unread.error);
                 },
                 [&](const EngineStateRead& read) { OnStateRead(now, read.state); },
                 [&](const WeightsGranted& granted) {
                   if (!answered(Waiting::kWeights)) return;
                   granted_[reserving_] = now + granted.wait;
                   Continue(now);
                 },
                 [&](const WeightsRefused& refused) {
                   if (answered(Waiting::kWeights)) Retry(now, refused.error);
                 },
                 [&](const EngineDrained&) {
                   if (!answered(Waiting::kDrain)) return;
                   drained_ = true;
                   Continue(now);
                 },
                 [&](const OrderDone& order) {
                   if (order.number == number_ && answered(Waiting::kOrder)) OnOrderDone(now);
                 },
                 [&](const OrderFailed& failed) {
                   if (failed.number != number_ || !answered(Waiting::kOrder)) return;
                   OnOrderFailed(now, failed.error);
                 },
                 [&](const PlacerTick&) { OnTick(now); },
             },
             event);
  return std::exchange(actions_, {});
}

// The log never goes back, but its fold may be handed in twice.
void Placer::OnDesired(Time now, const DesiredPlacement& desired) {
  if (desired_ && desired.sequence < desired_->sequence) return;
  const bool news = !desired_ || desired.sequence > desired_->sequence ||
                    desired.checks_fencing != desired_->checks_fencing;
  if (!news) return;
  desired_ = desired;
  settled_ = false;
  failures_ = 0;
  not_before_ = now;
  if (state_) {
    orders_ = OrdersFor(*desired_, *state_);
    // A drain that the new wish doesn't need must not go on holding work off.
    if (std::none_of(orders_.begin(), orders_.end(), NeedsDrain)) ReleaseDrain(now);
  }
  Continue(now);
}

void Placer::OnTick(Time now) {
  CheckOrder(now);
  if (settled_) ReleaseDrain(now);
  if (settled_ && now >= not_before_) {
    settled_ = false;
    state_.reset();
  }
  Continue(now);
}

void Placer::Continue(Time now) {
  if (waiting_ != Waiting::kNothing || !desired_ || superseded_ || settled_) return;
  if (now < not_before_) return;
  if (!state_) {
    waiting_ = Waiting::kState;
    actions_.emplace_back(ReadEngineState{});
  } else if (orders_.empty()) {
    Settle(now);
  } else {
    Prepare(now);
  }
}

// What goes wrong: an order takes effect and its answer never comes. It would
// show as an engine that stays drained until the order times out, which may be
// minutes, as loads take that long. A look at the engine tells sooner.
void Placer::CheckOrder(Time now) {
  if (waiting_ != Waiting::kOrder || checking_ || now < check_at_) return;
  checking_ = true;
  actions_.emplace_back(ReadEngineState{});
}

void Placer::OnStateRead(Time now, const Result<EngineState>& state) {
  if (checking_) {
    checking_ = false;
    check_at_ = now + settings_.order_check;
    const bool shows = waiting_ == Waiting::kOrder && IsOk(state) && Shows(ValueOf(state), *sent_);
    if (!shows) return;
    waiting_ = Waiting::kNothing;
    // That the engine shows it isn't proof that it was this order's doing.
    in_doubt_until_ = now + settings_.longest_order;
    return OnOrderDone(now);
  }
  if (waiting_ != Waiting::kState) return;
  waiting_ = Waiting::kNothing;
  OnState(now, state);
}

void Placer::OnOrderDone(Time now) {
  done_ = std::exchange(sent_, std::nullopt);
  Continue(now);
}

void Placer::OnState(Time now, const Result<EngineState>& state) {
  if (!IsOk(state)) return Retry(now, ErrorOf(state));
  // The engine obeyed someone on newer orders, so this node's are behind: what
  // it would do now is a thing of the past. Newer orders come by themselves.
  if (ValueOf(state).fence > desired_->sequence) {
    return Retry(now, Error{ErrorKind::kFenced, "the engine has newer orders than this agent"});
  }
  state_ = ValueOf(state);
  state_read_ = now;
  if (in_doubt_ && Shows(*state_, *in_doubt_)) in_doubt_.reset();
  orders_ = OrdersFor(*desired_, *state_);
  // Ordering again at once would keep a broken engine busy with loads.
  const bool no_effect = OrderHadNoEffect();
  done_.reset();
  if (no_effect) {
    return Retry(now, Error{ErrorKind::kBackendFailed,
                            "the engine called an order done and doesn't show it"});
  }
  Continue(now);
}

bool Placer::OrderHadNoEffect() const {
  return done_ && done_->fence == desired_->sequence && !Shows(*state_, *done_);
}

bool Placer::MayStillLand(Time now) const {
  return in_doubt_ && now < in_doubt_until_;
}

// Weights first, since waiting for them while drained would cost capacity; then
// the wait for others' orders, then the drain, then the right.
void Placer::Prepare(Time now) {
  if (!first_mine_) return AskRight(now);
  if (ReserveNext() || !WeightsReady(now) || !OthersOrdersEnded(now)) return;
  // The engine may have restarted during those waits: what an order out of date
  // leaves in doubt could then not be told from what it did.
  if (now - state_read_ >= settings_.right_term) {
    state_.reset();
    return Continue(now);
  }
  if (NeedsDrain(orders_.front()) && !draining_) {
    draining_ = true;
    waiting_ = Waiting::kDrain;
    actions_.emplace_back(BeginDrain{});
    return;
  }
  AskRight(now);
}

bool Placer::ReserveNext() {
  for (const EngineOrder& order : orders_) {
    if (!IsLoad(order) || granted_.contains(ObjectOf(order))) continue;
    reserving_ = ObjectOf(order);
    waiting_ = Waiting::kWeights;
    actions_.emplace_back(ReserveWeights{reserving_, settings_.weight_bytes});
    return true;
  }
  return false;
}

bool Placer::WeightsReady(Time now) const {
  return std::all_of(orders_.begin(), orders_.end(), [&](const EngineOrder& order) {
    return !IsLoad(order) || granted_.at(ObjectOf(order)) <= now;
  });
}

// What goes wrong: the engine ignores fencing, and an order that a paused
// predecessor or this agent gave earlier takes effect after a newer one. It
// would show as a placement that reverts. Waiting until every such order has
// ended keeps them in order.
bool Placer::OthersOrdersEnded(Time now) const {
  if (desired_->checks_fencing) return true;
  const Time predecessors_end = *first_mine_ + settings_.right_term + settings_.longest_order;
  return now >= std::max(predecessors_end, in_doubt_until_);
}

void Placer::AskRight(Time now) {
  waiting_ = Waiting::kRight;
  right_asked_ = now;
  actions_.emplace_back(ReadRight{});
}

void Placer::OnRight(Time now, bool mine) {
  if (!mine) {
    superseded_ = true;  // for good: a later incarnation has this slot
    ReleaseDrain(now);
    actions_.emplace_back(PlacementTrouble{
        Error{ErrorKind::kFenced, "a later incarnation of this agent orders the engine"}});
    return;
  }
  if (!first_mine_) {
    first_mine_ = now;
    return Continue(now);
  }
  // What goes wrong: this process is paused between asking and now, its
  // successor starts, and the reading is of the time before. It shows in the
  // time since asking, so the right is read again.
  if (now - right_asked_ >= settings_.right_term) return Continue(now);
  // The wish may have changed while the right was read.
  const bool prepared =
      !orders_.empty() && (drained_ || !NeedsDrain(orders_.front())) &&
      (!IsLoad(orders_.front()) || granted_.contains(ObjectOf(orders_.front()))) &&
      OthersOrdersEnded(now);
  if (!prepared) return Continue(now);
  GiveOrder(now);
}

void Placer::GiveOrder(Time now) {
  waiting_ = Waiting::kOrder;
  sent_ = orders_.front();
  state_.reset();  // read back, whatever comes of the order
  granted_.erase(ObjectOf(*sent_));
  check_at_ = now + settings_.order_check;
  actions_.emplace_back(SendOrder{++number_, *sent_, right_asked_ + settings_.right_term});
}

void Placer::OnOrderFailed(Time now, const Error& error) {
  if (error.ran != Ran::kNo) {
    in_doubt_ = sent_;
    in_doubt_until_ = now + settings_.longest_order;
  }
  sent_.reset();
  Retry(now, error);
}

void Placer::Settle(Time now) {
  settled_ = true;
  failures_ = 0;
  granted_.clear();
  not_before_ = now + settings_.read_period;
  ReleaseDrain(now);
}

// Gives the engine back to traffic with what it holds, and starts over later
// with a look at it.
void Placer::Retry(Time now, const Error& error) {
  state_.reset();
  orders_.clear();
  const int doublings = std::min(failures_++, kMaxDoublings);
  not_before_ = now + std::min(settings_.last_retry, settings_.first_retry * (1 << doublings));
  ReleaseDrain(now);
  actions_.emplace_back(PlacementTrouble{error});
}

// Kept while an order may still take effect: it would change a model or a role
// under work that came back.
void Placer::ReleaseDrain(Time now) {
  if (!draining_ || MayStillLand(now) || waiting_ == Waiting::kOrder) return;
  if (waiting_ == Waiting::kDrain) waiting_ = Waiting::kNothing;
  draining_ = false;
  drained_ = false;
  actions_.emplace_back(EndDrain{});
}

}  // namespace figmill
