#include "standin/platform_model.h"

#include <algorithm>

namespace figmill::standin {

TransactionOutcome TableModel::Commit(const Transaction& transaction) {
  Rejected rejected;
  for (const RowCondition& condition : transaction.conditions) {
    Row current = Read(condition.key).value_or(Row{condition.key, "", 0});
    if (current.version != condition.version) rejected.current.push_back(std::move(current));
  }
  if (!rejected.current.empty()) return rejected;

  Committed committed;
  for (const RowWrite& write : transaction.writes) {
    std::visit(Overloaded{
                   [&](const PutRow& put) {
                     const Cell cell{put.value, ++last_version_};
                     rows_.insert_or_assign(put.key, cell);
                     committed.rows.push_back(Row{put.key, cell.value, cell.version});
                   },
                   [&](const DeleteRow& row) { rows_.erase(row.key); },
               },
               write);
  }
  return committed;
}

std::optional<Row> TableModel::Read(std::string_view key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return std::nullopt;
  return Row{found->first, found->second.value, found->second.version};
}

std::vector<Row> TableModel::Scan(const RowRange& range) const {
  std::vector<Row> rows;
  auto at =
      range.after < range.prefix ? rows_.lower_bound(range.prefix) : rows_.upper_bound(range.after);
  for (; at != rows_.end() && rows.size() < range.limit; ++at) {
    if (!at->first.starts_with(range.prefix)) break;
    rows.push_back(Row{at->first, at->second.value, at->second.version});
  }
  return rows;
}

Duration Meter::Book(Time now, double amount) {
  const Time turn = std::max(now, free_at_);
  free_at_ = turn + Duration(static_cast<Duration::rep>(1e6 * amount / rate_));
  return turn - now;
}

void HostListModel::Set(Time now, ListedHost host) {
  pending_.push_back(Change{now, std::move(host)});
}

void HostListModel::SetStale(Time now, bool stale) {
  static_cast<void>(List(now));
  stale_ = stale;
}

std::vector<ListedHost> HostListModel::List(Time now) {
  while (!stale_ && !pending_.empty() && pending_.front().at + lag_ <= now) {
    ListedHost& host = pending_.front().host;
    const NodeId node = host.node;
    visible_.insert_or_assign(node, std::move(host));
    pending_.pop_front();
  }
  std::vector<ListedHost> hosts;
  hosts.reserve(visible_.size());
  for (const auto& [node, host] : visible_) hosts.push_back(host);
  return hosts;
}

bool WriteFault::Strikes(const std::vector<std::string>& keys) {
  if (count == 0) return false;
  const bool hit = std::any_of(keys.begin(), keys.end(),
                               [this](const std::string& key) { return key.starts_with(prefix); });
  if (hit) --count;
  return hit;
}

}  // namespace figmill::standin
