#include "batch/commit_queue.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill::detail {
namespace {

constexpr std::size_t kMaxGroupedRequests = 32;
constexpr Duration kInitialBackoff{100'000};
constexpr Duration kMaxBackoff{2'000'000};

const Row* FindRow(const std::vector<Row>& rows, std::string_view key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

bool WritesRow(const CommitRequest& request, std::string_view key) {
  return std::any_of(request.writes.begin(), request.writes.end(), [&](const RowWrite& write) {
    const auto* put = std::get_if<PutRow>(&write);
    return put != nullptr && put->key == key;
  });
}

bool HasConditionOn(const CommitRequest& request, const std::vector<Row>& rows) {
  return std::any_of(request.conditions.begin(), request.conditions.end(),
                     [&](const RowCondition& c) { return FindRow(rows, c.key) != nullptr; });
}

bool HasToken(const CommitRequest& request, const Row* row) {
  return row != nullptr && TokenOf(row->value) == request.token;
}

}  // namespace

Token TokenOf(std::string_view value) {
  const auto json = ParseJson(value);
  if (!json.is_object()) return {};
  const auto token = json.find("token");
  if (token == json.end() || !token->is_string()) return {};
  return Token{token->get<std::string>()};
}

void CommitQueue::Submit(CommitRequest request) {
  queue_.push_back(PendingRequest{std::move(request), false});
  SendNextGroup();
}

void CommitQueue::Tick(Time) {
  SendNextGroup();
}

void CommitQueue::SendNextGroup() {
  if (!in_flight_.empty() || token_reads_ > 0 || queue_.empty() || store_.now() < send_at_) return;
  const std::size_t size = send_singly_ ? 1 : std::min(queue_.size(), kMaxGroupedRequests);
  send_singly_ = false;
  Transaction transaction;
  for (std::size_t i = 0; i < size; ++i) {
    PendingRequest pending = std::move(queue_.front());
    queue_.pop_front();
    const CommitRequest& request = pending.request;
    // Jobs share no rows and each has one request at a time, so the requests of a
    // group can't conflict with each other.
    transaction.conditions.insert(transaction.conditions.end(), request.conditions.begin(),
                                  request.conditions.end());
    transaction.writes.insert(transaction.writes.end(), request.writes.begin(),
                              request.writes.end());
    in_flight_.push_back(std::move(pending));
  }
  ++transactions_;
  store_.Commit(std::move(transaction),
                [this](const TransactionOutcome& outcome) { OnOutcome(outcome); });
}

void CommitQueue::OnOutcome(const TransactionOutcome& outcome) {
  std::visit(Overloaded{
                 [this](const Committed& o) { OnCommitted(o); },
                 [this](const Rejected& o) { OnRejected(o); },
                 [this](const NotWritten& o) { OnNotWritten(o); },
                 [this](const FateUnknown&) { OnFateUnknown(); },
             },
             outcome);
  SendNextGroup();
}

void CommitQueue::OnCommitted(const Committed& committed) {
  backoff_ = Duration{0};
  for (PendingRequest& pending : std::exchange(in_flight_, {})) {
    Applied applied;
    for (const Row& row : committed.rows) {
      if (WritesRow(pending.request, row.key)) applied.rows.push_back(row);
    }
    pending.request.done(applied);
  }
}

// Only requests whose own conditions failed are superseded; the others of the group
// are retried.
void CommitQueue::OnRejected(const Rejected& rejected) {
  std::vector<PendingRequest> pending_requests = std::exchange(in_flight_, {});
  const bool unattributed = std::none_of(pending_requests.begin(), pending_requests.end(),
                                         [&](const PendingRequest& pending) {
                                           return HasConditionOn(pending.request, rejected.current);
                                         });
  if (unattributed && pending_requests.size() > 1) send_singly_ = true;
  for (PendingRequest& pending : pending_requests) {
    const Row* token_row = FindRow(rejected.current, pending.request.token_key);
    if (HasToken(pending.request, token_row)) {
      pending.request.done(Applied{{*token_row}});
    } else if (!HasConditionOn(pending.request, rejected.current) &&
               !(unattributed && pending_requests.size() == 1)) {
      Requeue(std::move(pending));
    } else if (pending.maybe_applied && token_row == nullptr) {
      ReadTokenRow(std::move(pending), true);
    } else {
      pending.request.done(Superseded{});
    }
  }
}

void CommitQueue::OnNotWritten(const NotWritten& refused) {
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
  send_at_ = store_.now() + backoff_;
  for (PendingRequest& pending : std::exchange(in_flight_, {})) {
    const bool abandon = deadline_ && (!pending.maybe_applied || store_.now() >= *deadline_);
    if (abandon) {
      pending.request.done(CommitFailed{pending.maybe_applied, refused.why});
    } else {
      Requeue(std::move(pending));
    }
  }
}

void CommitQueue::OnFateUnknown() {
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
  send_at_ = store_.now() + backoff_;
  for (PendingRequest& pending : std::exchange(in_flight_, {})) {
    pending.maybe_applied = true;
    ReadTokenRow(std::move(pending), false);
  }
}

void CommitQueue::ReadTokenRow(PendingRequest pending, bool superseded_if_absent) {
  ++token_reads_;
  std::string key = pending.request.token_key;
  store_.Read(std::move(key), [this, pending = std::move(pending), superseded_if_absent](
                                  const Result<std::optional<Row>>& answer) mutable {
    --token_reads_;
    if (!IsOk(answer)) {
      pending.request.done(CommitFailed{true, ErrorOf(answer).detail});
    } else if (const auto& row = ValueOf(answer); row && HasToken(pending.request, &*row)) {
      pending.request.done(Applied{{*row}});
    } else if (superseded_if_absent) {
      pending.request.done(Superseded{});
    } else if (deadline_ && store_.now() >= *deadline_) {
      pending.request.done(CommitFailed{true, "the store's answer was lost"});
    } else {
      // The write may still be in transit. A retry is either applied, or rejected
      // because the first attempt was applied and its token is in the row.
      Requeue(std::move(pending));
    }
    SendNextGroup();
  });
}

void CommitQueue::Requeue(PendingRequest pending) {
  queue_.push_front(std::move(pending));
}

}  // namespace figmill::detail
