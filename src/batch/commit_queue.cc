#include "batch/commit_queue.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace figmill::detail {
namespace {

constexpr std::size_t kMaxGroup = 32;
constexpr Duration kFirstBackoff{100'000};
constexpr Duration kMaxBackoff{2'000'000};

const Row* FindRow(const std::vector<Row>& rows, std::string_view key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

bool Writes(const CommitRequest& request, std::string_view key) {
  return std::any_of(request.writes.begin(), request.writes.end(), [&](const RowWrite& write) {
    const auto* put = std::get_if<PutRow>(&write);
    return put != nullptr && put->key == key;
  });
}

bool Conditions(const CommitRequest& request, const std::vector<Row>& rows) {
  return std::any_of(request.conditions.begin(), request.conditions.end(),
                     [&](const RowCondition& c) { return FindRow(rows, c.key) != nullptr; });
}

bool Proves(const CommitRequest& request, const Row* row) {
  return row != nullptr && TokenOf(row->value) == request.token;
}

}  // namespace

Token TokenOf(std::string_view value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object()) return {};
  const auto token = json.find("token");
  if (token == json.end() || !token->is_string()) return {};
  return Token{token->get<std::string>()};
}

void CommitQueue::Submit(CommitRequest request) {
  waiting_.push_back(Entry{std::move(request), false});
  Pump();
}

void CommitQueue::Tick(Time) {
  Pump();
}

void CommitQueue::Pump() {
  if (!flying_.empty() || unsettled_ > 0 || waiting_.empty() || store_.now() < send_at_) return;
  const std::size_t size = one_by_one_ ? 1 : std::min(waiting_.size(), kMaxGroup);
  one_by_one_ = false;
  Transaction transaction;
  for (std::size_t i = 0; i < size; ++i) {
    Entry entry = std::move(waiting_.front());
    waiting_.pop_front();
    const CommitRequest& request = entry.request;
    // Jobs share no row, and each has one request at a time, so that the requests
    // of a group can't clash with each other.
    transaction.conditions.insert(transaction.conditions.end(), request.conditions.begin(),
                                  request.conditions.end());
    transaction.writes.insert(transaction.writes.end(), request.writes.begin(),
                              request.writes.end());
    flying_.push_back(std::move(entry));
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
  Pump();
}

void CommitQueue::OnCommitted(const Committed& committed) {
  backoff_ = Duration{0};
  for (Entry& entry : std::exchange(flying_, {})) {
    Applied applied;
    for (const Row& row : committed.rows) {
      if (Writes(entry.request, row.key)) applied.rows.push_back(row);
    }
    entry.request.done(applied);
  }
}

// Only the requests whose own conditions failed are at fault; the others of the
// group go again.
void CommitQueue::OnRejected(const Rejected& rejected) {
  std::vector<Entry> entries = std::exchange(flying_, {});
  const bool nameless = std::none_of(entries.begin(), entries.end(), [&](const Entry& entry) {
    return Conditions(entry.request, rejected.current);
  });
  if (nameless && entries.size() > 1) one_by_one_ = true;
  for (Entry& entry : entries) {
    const Row* proof = FindRow(rejected.current, entry.request.proof);
    if (Proves(entry.request, proof)) {
      entry.request.done(Applied{{*proof}});
    } else if (!Conditions(entry.request, rejected.current) && !(nameless && entries.size() == 1)) {
      Requeue(std::move(entry));
    } else if (entry.maybe_applied && proof == nullptr) {
      ReadProof(std::move(entry), true);
    } else {
      entry.request.done(Superseded{});
    }
  }
}

void CommitQueue::OnNotWritten(const NotWritten& refused) {
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  send_at_ = store_.now() + backoff_;
  for (Entry& entry : std::exchange(flying_, {})) {
    const bool give_up = give_up_ && (!entry.maybe_applied || store_.now() >= *give_up_);
    if (give_up) {
      entry.request.done(GaveUp{entry.maybe_applied, refused.why});
    } else {
      Requeue(std::move(entry));
    }
  }
}

void CommitQueue::OnFateUnknown() {
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  send_at_ = store_.now() + backoff_;
  for (Entry& entry : std::exchange(flying_, {})) {
    entry.maybe_applied = true;
    ReadProof(std::move(entry), false);
  }
}

void CommitQueue::ReadProof(Entry entry, bool lost_if_absent) {
  ++unsettled_;
  std::string key = entry.request.proof;
  store_.Read(std::move(key), [this, entry = std::move(entry),
                               lost_if_absent](const Result<std::optional<Row>>& answer) mutable {
    --unsettled_;
    if (!IsOk(answer)) {
      entry.request.done(GaveUp{true, ErrorOf(answer).detail});
    } else if (const auto& row = ValueOf(answer); row && Proves(entry.request, &*row)) {
      entry.request.done(Applied{{*row}});
    } else if (lost_if_absent) {
      entry.request.done(Superseded{});
    } else if (give_up_ && store_.now() >= *give_up_) {
      entry.request.done(GaveUp{true, "the store's answer was lost"});
    } else {
      // The write may still be on its way: the same attempt again either takes
      // effect or is rejected by the first, whose token then shows.
      Requeue(std::move(entry));
    }
    Pump();
  });
}

void CommitQueue::Requeue(Entry entry) {
  waiting_.push_front(std::move(entry));
}

}  // namespace figmill::detail
