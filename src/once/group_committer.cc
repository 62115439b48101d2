// Group commit: the conditional writes of many items in few transactions.

#include <algorithm>

#include "figmill/once.h"

namespace figmill {
namespace {

// Rows that a write adds to its transaction.
std::size_t RowsOf(const OnceWrite& write) {
  return 1 + write.marker_writes.size();
}

const Row* FindRow(std::span<const Row> rows, std::string_view key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [key](const Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

std::vector<GroupCommitter::Action> GroupCommitter::Submit(WriteId id, OnceWrite write, Time now) {
  std::vector<Action> actions;
  if (waiting_.size() >= limits_.max_waiting) {
    actions.emplace_back(Reply{id, NotWritten{"too many writes wait for the store"}});
    return actions;
  }
  // While the store is down a claim is refused immediately rather than after a
  // timeout, so that its caller can retry elsewhere; one claim per probe interval is
  // let through to detect that the store has recovered.
  if (store_down() && write.fail_fast) {
    if (now - last_probe_ < limits_.probe_interval) {
      actions.emplace_back(Reply{id, NotWritten{"the store can't be reached"}});
      return actions;
    }
    last_probe_ = now;
  }
  waiting_.push_back(PendingWrite{id, std::move(write)});
  Flush(now, actions);
  return actions;
}

std::vector<GroupCommitter::Action> GroupCommitter::Tick(Time now) {
  std::vector<Action> actions;
  Flush(now, actions);
  return actions;
}

std::vector<GroupCommitter::Action> GroupCommitter::Done(TransactionId id,
                                                         const TransactionOutcome& outcome,
                                                         Time now) {
  std::vector<Action> actions;
  auto node = in_flight_.extract(id);
  if (node.empty()) return actions;
  Group group = std::move(node.mapped());
  const auto reply_all = [&](const auto& result) {
    for (const PendingWrite& member : group) actions.emplace_back(Reply{member.id, result});
  };
  std::visit(Overloaded{[&](const Committed& committed) {
                          consecutive_failures_ = 0;
                          ReplyCommitted(group, committed, actions);
                        },
                        [&](const Rejected& rejected) {
                          consecutive_failures_ = 0;
                          ReplyRejected(std::move(group), rejected, actions);
                        },
                        [&](const NotWritten& result) {
                          consecutive_failures_ = kFailuresForOutage;
                          last_probe_ = now;
                          reply_all(result);
                        },
                        [&](const FateUnknown& result) {
                          ++consecutive_failures_;
                          last_probe_ = now;
                          reply_all(result);
                        }},
             outcome);
  Flush(now, actions);
  return actions;
}

void GroupCommitter::Flush(Time now, std::vector<Action>& actions) {
  while (!waiting_.empty() && in_flight_.size() < limits_.max_transactions_in_flight) {
    if (last_begin_ && now - *last_begin_ < limits_.min_interval) {
      actions.emplace_back(WakeAt{*last_begin_ + limits_.min_interval});
      return;
    }
    last_begin_ = now;
    Group group = TakeGroup();
    Transaction transaction;
    for (const PendingWrite& member : group) {
      const OnceWrite& write = member.write;
      transaction.conditions.push_back(write.condition);
      transaction.writes.emplace_back(PutRow{write.condition.key, write.value});
      transaction.writes.insert(transaction.writes.end(), write.marker_writes.begin(),
                                write.marker_writes.end());
    }
    const TransactionId id = next_id_++;
    in_flight_.emplace(id, std::move(group));
    actions.emplace_back(Begin{id, std::move(transaction)});
  }
}

// In order of arrival; a second write of a row waits for the next transaction, as
// its condition depends on the result of the first one.
GroupCommitter::Group GroupCommitter::TakeGroup() {
  Group group;
  std::set<std::string> keys;
  std::deque<PendingWrite> deferred;
  std::size_t rows = 0;
  while (!waiting_.empty()) {
    PendingWrite& member = waiting_.front();
    const std::size_t more = RowsOf(member.write);
    if (!group.empty() && rows + more > limits_.max_rows_per_transaction) break;
    if (keys.insert(member.write.condition.key).second) {
      rows += more;
      group.push_back(std::move(member));
    } else {
      deferred.push_back(std::move(member));
    }
    waiting_.pop_front();
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(deferred.begin()),
                  std::make_move_iterator(deferred.end()));
  return group;
}

void GroupCommitter::ReplyCommitted(const Group& group, const Committed& committed,
                                    std::vector<Action>& actions) {
  for (const PendingWrite& member : group) {
    const Row* row = FindRow(committed.rows, member.write.condition.key);
    // When the store's answer lacks the version of a committed row, the write is resolved
    // like one whose answer was lost.
    if (row == nullptr) {
      actions.emplace_back(
          Reply{member.id, FateUnknown{"the store did not return the row's version"}});
    } else {
      actions.emplace_back(Reply{member.id, OnceCommitted{row->version}});
    }
  }
}

// One failed condition rejects the whole group. The failed writes are removed before the
// rest is submitted again: otherwise one resent key would block every group that it is in.
void GroupCommitter::ReplyRejected(Group group, const Rejected& rejected,
                                   std::vector<Action>& actions) {
  std::deque<PendingWrite> resubmitted;
  for (PendingWrite& member : group) {
    const Row* row = FindRow(rejected.current, member.write.condition.key);
    if (row == nullptr) {
      resubmitted.push_back(std::move(member));
      continue;
    }
    std::optional<Row> current;
    if (row->version != 0) current = *row;
    actions.emplace_back(Reply{member.id, OnceRejected{std::move(current)}});
  }
  // If the store names none of the failed rows, the group would be resubmitted forever.
  if (resubmitted.size() == group.size()) {
    for (const PendingWrite& member : resubmitted) {
      actions.emplace_back(
          Reply{member.id, FateUnknown{"rejected, but the store did not name the failed row"}});
    }
    return;
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(resubmitted.begin()),
                  std::make_move_iterator(resubmitted.end()));
}

}  // namespace figmill
