#include "gateway/table_follower.h"

#include <algorithm>
#include <utility>

namespace figmill {

TableFollower::TableFollower(Loop& loop, SharedTables& tables, std::string table,
                             std::vector<std::string> parts, TableMirror::OnChange on_change,
                             std::function<void()> after_response)
    : loop_(loop),
      tables_(tables),
      table_(table),
      mirror_(std::move(table), parts, std::move(on_change)),
      after_response_(std::move(after_response)),
      single_part_(parts.size() == 1),
      self_(std::make_shared<TableFollower*>(this)) {}

TableFollower::~TableFollower() {
  *self_ = nullptr;
}

void TableFollower::Step() {
  std::visit(Overloaded{
                 [this](const mirror::ListPart& list) { List(list); },
                 [this](const mirror::FollowFrom& from) { Follow(from); },
                 [this](const mirror::WaitFor& wait) {
                   step_timer_ = loop_.After(wait.delay, [this] {
                     mirror_.OnDelayElapsed();
                     Step();
                   });
                 },
             },
             mirror_.Next());
}

void TableFollower::List(const mirror::ListPart& list) {
  tables_.Read({table_, list.part, list.from, {}, TableRange{}.limit},
               [self = self_, list, asked_at = Loop::SinceBoot()](const Result<TablePage>& page) {
                 if (*self != nullptr) (*self)->OnListed(list, page, asked_at);
               });
}

void TableFollower::Follow(const mirror::FollowFrom& from) {
  const Duration wait = Loop::Now() < short_wait_until_ ? kShortWait : wait_;
  tables_.Follow(table_, from.version, wait,
                 [self = self_, asked_at = Loop::SinceBoot()](const FeedOutcome& outcome) {
                   if (*self != nullptr) (*self)->OnFollowed(outcome, asked_at);
                 });
}

void TableFollower::OnListed(const mirror::ListPart& list, const Result<TablePage>& page,
                             Duration asked_at) {
  const std::string& part = list.part;
  const std::string why = IsOk(page) ? "" : ErrorOf(page).detail;
  const RowVersion before = mirror_.version();
  mirror_.OnListed(part, page);
  const bool complete = IsOk(page) && list.from.empty() && !ValueOf(page).truncated;
  const bool confirms = complete && single_part_ && ValueOf(page).version >= before;
  if (confirms && mirror_.following()) confirmed_at_ = asked_at;
  SetPartReadable(part, IsOk(page), why);
  // While changes are received, a part that can't be read doesn't mean that the store is lost.
  if (IsOk(page) || !mirror_.following()) SetConnected(IsOk(page), "part '" + part + "': " + why);
  Continue();
}

void TableFollower::OnFollowed(const FeedOutcome& outcome, Duration asked_at) {
  const RowVersion before = mirror_.version();
  mirror_.OnFollowed(outcome);
  const auto* changes = std::get_if<TableChanges>(&outcome);
  // A response older than changes that were received already, of a store that lags, confirms
  // nothing.
  const bool confirms = changes != nullptr && changes->version >= before && !mirror_.listing();
  if (confirms)
    confirmed_at_ = std::max(confirmed_at_.value_or(Duration{0}), asked_at - changes->age);
  const Error* error = std::get_if<Error>(&outcome);
  if (error != nullptr) short_wait_until_ = Loop::Now() + kShortWaitPeriod;
  SetConnected(error == nullptr, error == nullptr ? "" : error->detail);
  Continue();
}

void TableFollower::SetPartReadable(const std::string& part, bool readable,
                                    const std::string& why) {
  if (!readable) short_wait_until_ = Loop::Now() + kShortWaitPeriod;
  const bool changed =
      readable ? unreadable_parts_.erase(part) > 0 : unreadable_parts_.insert(part).second;
  if (!changed) return;
  Log(readable ? LogLevel::kInfo : LogLevel::kWarning,
      readable ? "store_part_read" : "store_part_unread",
      {{"table", table_}, {"part", part}, {"why", why}});
}

void TableFollower::SetConnected(bool connected, const std::string& why) {
  if (connected == connected_) return;
  connected_ = connected;
  Log(connected ? LogLevel::kInfo : LogLevel::kWarning, connected ? "store_regained" : "store_lost",
      {{"table", table_},
       {"version", std::to_string(mirror_.version())},
       {"why", connected ? "" : why}});
}

void TableFollower::Continue() {
  after_response_();
  const bool follows = std::holds_alternative<mirror::FollowFrom>(mirror_.Next());
  if (min_interval_.count() == 0 || !follows) return Step();
  step_timer_ = loop_.After(min_interval_, [this] { Step(); });
}

}  // namespace figmill
