#include <algorithm>

#include "figmill/query.h"

namespace figmill::query {
namespace {

// Causes come from many places; a long one must not cost the room of others.
constexpr std::size_t kMaxCauseBytes = 200;

TableRow RowFor(const Refusal& refusal) {
  return {refusal.at,
          std::monostate{},
          refusal.service.value,
          refusal.team.value,
          std::string(ErrorInfoOf(refusal.kind).name),
          std::string(ToString(refusal.ran)),
          std::int64_t{1},
          refusal.cause};
}

}  // namespace

void RefusalLog::Record(Refusal refusal) {
  ++recorded_[static_cast<std::size_t>(refusal.kind)];
  if (refusal.cause.size() > kMaxCauseBytes) refusal.cause.resize(kMaxCauseBytes);
  kept_.push_back(std::move(refusal));
  if (kept_.size() <= capacity_) return;
  Dropped& dropped = dropped_[static_cast<std::size_t>(kept_.front().kind)];
  ++dropped.count;
  dropped.newest = std::max(dropped.newest, kept_.front().at);
  kept_.pop_front();
}

Table RefusalLog::Since(std::optional<WallTime> since) const {
  const auto within = [&](WallTime at) { return !since || at >= *since; };
  Table table = EmptyTable(ShowRefusals{});
  for (std::size_t kind = 0; kind < dropped_.size(); ++kind) {
    const Dropped& dropped = dropped_[kind];
    if (dropped.count == 0 || !within(dropped.newest)) continue;
    table.rows.push_back({dropped.newest, std::monostate{}, std::monostate{}, std::monostate{},
                          std::string(ErrorInfoOf(static_cast<ErrorKind>(kind)).name),
                          std::monostate{}, static_cast<std::int64_t>(dropped.count),
                          std::string("no longer kept one by one; this is the newest")});
  }
  for (const Refusal& refusal : kept_) {
    if (within(refusal.at)) table.rows.push_back(RowFor(refusal));
  }
  return table;
}

std::uint64_t RefusalLog::recorded(ErrorKind kind) const {
  return recorded_[static_cast<std::size_t>(kind)];
}

}  // namespace figmill::query
