#pragma once

// From what the control log wants on an engine to fenced orders. One Placer is
// the orderer of one engine, in the agent beside it; nobody else orders it.
// No I/O.
//
// Two orderers may still meet: an agent that was paused wakes beside its
// successor. Engines that check fencing refuse the older one's orders, as the
// fence is the sequence of the wanted placement and only rises. For the others
// each orderer reads its right anew before each order and lets that reading
// lapse after `right_term`; a successor gives its first order only after a
// predecessor's last reading has lapsed and its last order has ended; and the
// engine's state is read back after each order and from time to time, so that
// an order that took effect late is undone.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figmill/base.h"
#include "figmill/platform.h"

namespace figmill {

struct PlacerSettings {
  Duration right_term{4'000'000};       // how long a reading of the right counts
  Duration longest_order{600'000'000};  // after which an order has ended or never will
  Duration order_check{5'000'000};      // between looks while an order is out
  Duration read_period{30'000'000};     // between looks at an idle engine
  Duration first_retry{1'000'000};      // doubles with each failure in a row
  Duration last_retry{60'000'000};
  std::uint64_t weight_bytes = 16ULL << 30U;  // reserved for one load
};

// What the engine should hold and what not; "name@version" as in EngineState. A
// wanted name replaces its other versions; what is not named stays as it is.
struct DesiredPlacement {
  Sequence sequence = 0;  // of the order in the control log
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::vector<std::string> unwanted_models;
  std::vector<std::string> unwanted_adapters;
  std::string role;  // empty: as it is
  bool checks_fencing = true;
};

// Events. Each action but EndDrain and PlacementTrouble is answered by one; after
// EndDrain no EngineDrained comes for the drain that it ends.
struct RightRead {
  bool mine = false;  // false: a later incarnation of this agent has the right
};
struct RightUnread {
  Error error;
};
struct EngineStateRead {
  Result<EngineState> state;
};
struct WeightsGranted {
  Duration wait{0};  // before the load may begin
};
struct WeightsRefused {
  Error error;
};
struct EngineDrained {};
struct OrderDone {
  std::uint64_t number = 0;  // of the SendOrder
};
struct OrderFailed {
  std::uint64_t number = 0;
  Error error;  // `ran` says whether the order may still take effect
};
// At least every second.
struct PlacerTick {};
using PlacerEvent =
    std::variant<DesiredPlacement, RightRead, RightUnread, EngineStateRead, WeightsGranted,
                 WeightsRefused, EngineDrained, OrderDone, OrderFailed, PlacerTick>;

// Actions.
struct ReadRight {};
struct ReadEngineState {};
struct ReserveWeights {
  std::string object;  // "name@version"
  std::uint64_t bytes = 0;
};
// No new work for the engine; what runs there finishes or moves whole.
struct BeginDrain {};
struct EndDrain {};
// Must not be sent after `not_after`: it would outlive the right to give it.
struct SendOrder {
  std::uint64_t number = 0;
  EngineOrder order;
  Time not_after;
};
// For the log and metrics; nothing is to be done.
struct PlacementTrouble {
  Error error;
};
using PlacerAction = std::variant<ReadRight, ReadEngineState, ReserveWeights, BeginDrain, EndDrain,
                                  SendOrder, PlacementTrouble>;

// What separates an engine from its desired placement, in the order in which it
// has to be done: adapters and models go before others come.
[[nodiscard]] std::vector<EngineOrder> OrdersFor(const DesiredPlacement& desired,
                                                 const EngineState& state);

// Whether the engine's state is what the order asked for.
[[nodiscard]] bool Shows(const EngineState& state, const EngineOrder& order);

class Placer {
 public:
  explicit Placer(PlacerSettings settings) : settings_(settings) {}
  [[nodiscard]] std::vector<PlacerAction> On(Time now, const PlacerEvent& event);
  // The engine was last read to hold what is desired.
  [[nodiscard]] bool settled() const { return settled_; }
  [[nodiscard]] bool draining() const { return draining_; }

 private:
  enum class Waiting : std::uint8_t { kNothing, kState, kWeights, kDrain, kRight, kOrder };

  void OnDesired(Time now, const DesiredPlacement& desired);
  void OnRight(Time now, bool mine);
  void OnState(Time now, const Result<EngineState>& state);
  void OnStateRead(Time now, const Result<EngineState>& state);
  void OnOrderDone(Time now);
  void OnOrderFailed(Time now, const Error& error);
  void OnTick(Time now);

  void Continue(Time now);
  void Prepare(Time now);
  [[nodiscard]] bool ReserveNext();
  [[nodiscard]] bool WeightsReady(Time now) const;
  [[nodiscard]] bool OthersOrdersEnded(Time now) const;
  [[nodiscard]] bool OrderHadNoEffect() const;
  [[nodiscard]] bool MayStillLand(Time now) const;
  void AskRight(Time now);
  void GiveOrder(Time now);
  void CheckOrder(Time now);
  void Settle(Time now);
  void Retry(Time now, const Error& error);
  void ReleaseDrain(Time now);

  PlacerSettings settings_;
  std::optional<DesiredPlacement> desired_;
  std::optional<EngineState> state_;  // as last read, until an order is sent
  Time state_read_;
  std::vector<EngineOrder> orders_;  // what is left to do
  std::optional<EngineOrder> sent_;  // the order in flight
  std::uint64_t number_ = 0;         // of it
  Time check_at_;                    // when to look whether its answer was lost
  bool checking_ = false;            // that look is under way
  std::optional<EngineOrder> done_;  // last one that the engine called done
  Waiting waiting_ = Waiting::kNothing;
  Time not_before_;                      // nothing is begun before it
  std::optional<EngineOrder> in_doubt_;  // given, its fate unknown and no effect seen
  Time in_doubt_until_;                  // by then an unanswered order has ended
  std::optional<Time> first_mine_;       // when the right was first read as ours
  Time right_asked_;
  bool superseded_ = false;
  bool draining_ = false;
  bool drained_ = false;
  bool settled_ = false;
  int failures_ = 0;
  std::string reserving_;
  std::map<std::string, Time> granted_;  // object -> when its load may begin
  std::vector<PlacerAction> actions_;    // collected for the current event
};

}  // namespace figmill
