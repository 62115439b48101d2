#include "batch/job_run.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// Limits the cost of an item that declares a huge token limit, to keep the team's
// fair share.
constexpr std::uint32_t kMaxCost = 1U << 16;
constexpr std::size_t kBytesPerToken = 4;

std::uint32_t CostOf(const BatchItem& item) {
  const std::size_t cost = 1 + item.tokens + item.body.size() / kBytesPerToken;
  return static_cast<std::uint32_t>(std::min<std::size_t>(cost, kMaxCost));
}

RowVersion VersionOf(const Applied& applied, std::string_view key) {
  for (const Row& row : applied.rows) {
    if (row.key == key) return row.version;
  }
  return 0;
}

}  // namespace

JobRun::JobRun(JobRunDelegate& delegate, JobId job, JobRow row, RowVersion version)
    : delegate_(delegate), job_(std::move(job)), row_(std::move(row)), version_(version) {}

template <typename F>
auto JobRun::IfNotEnded(F callback) {
  return [weak = weak_from_this(), callback = std::move(callback)](const auto& answer) {
    const auto self = weak.lock();
    if (self && self->phase_ != Phase::kEnded) callback(answer);
  };
}

void JobRun::Claim(const NodeId& self, Epoch lease) {
  row_.owner = self;
  row_.owner_lease = lease;
  ++row_.epoch;
  row_.token = delegate_.NewToken();
  CommitRequest request;
  request.conditions = {RowCondition{JobKey(job_), version_}};
  request.writes = {
      PutRow{JobKey(job_), EncodeJobRow(row_)},
      PutRow{OpenJobKey(job_), EncodeOpenJobRow(OpenJobRow{row_.token, self, lease})}};
  request.token_key = JobKey(job_);
  request.token = row_.token;
  request.done = IfNotEnded([this](const CommitResult& result) {
    const auto* applied = std::get_if<Applied>(&result);
    if (applied == nullptr) return End(JobTransition::Kind::kFenced);
    version_ = VersionOf(*applied, JobKey(job_));
    phase_ = Phase::kClaimed;
    delegate_.OnJobClaimed(job_, row_.epoch);
  });
  delegate_.commits.Submit(std::move(request));
}

// Only a claim, a cancellation or this run's own final commit changes the version of
// the job's row.
void JobRun::VerifyOwnership() {
  if (verifying_ || phase_ == Phase::kClaiming || phase_ == Phase::kReleasing) return;
  verifying_ = true;
  delegate_.store.Read(JobKey(job_), IfNotEnded([this](const Result<std::optional<Row>>& answer) {
                         verifying_ = false;
                         if (IsOk(answer)) OnOwnershipRead(ValueOf(answer));
                       }));
}

void JobRun::OnOwnershipRead(const std::optional<Row>& found) {
  if (found && found->version == version_ && !commit_conflicted_) return;
  const Result<JobRow> row = ParseJobRow(found ? found->value : "");
  if (!IsOk(row)) return End(JobTransition::Kind::kFenced);
  switch (ValueOf(row).state) {
    case JobState::kCancelled:
      return End(JobTransition::Kind::kCancelled);
    case JobState::kDone:
      return End(JobTransition::Kind::kDone);
    // After a superseded commit the run ends even if this process still owns the job:
    // the next scan claims the job again and reloads its state from the rows.
    case JobState::kRunning:
      return End(JobTransition::Kind::kFenced);
  }
}

void JobRun::VerifyAfterConflict() {
  commit_conflicted_ = true;
  VerifyOwnership();
}

void JobRun::StartDraining() {
  draining_ = true;
  std::vector<std::uint32_t> unstarted;
  for (const auto& [chunk, open] : open_) {
    if (!open.started && !open.finished()) unstarted.push_back(chunk);
  }
  for (const std::uint32_t chunk : unstarted) ReturnChunk(chunk);
}

void JobRun::ReturnChunk(std::uint32_t chunk) {
  const OpenChunk& open = open_.at(chunk);
  returning_[chunk] =
      delegate_.RecallItems(job_, open.first_index(), static_cast<std::uint32_t>(open.size()));
  FinishReturn(chunk);
}

void JobRun::FinishReturn(std::uint32_t chunk) {
  const auto open = open_.find(chunk);
  if (!returning_.at(chunk).empty() || open->second.recording_intent) return;
  const bool own_intent = open->second.row_version != 0 && !intent_versions_.contains(chunk);
  if (own_intent) withdrawn_intents_[chunk] = open->second.row_version;
  returning_.erase(chunk);
  open_.erase(open);
  delegate_.CountReturnedChunk();
}

void JobRun::KeepChunk(std::uint32_t chunk) {
  const std::set<std::uint32_t> pending = std::move(returning_.extract(chunk).mapped());
  const OpenChunk& open = open_.at(chunk);
  for (std::uint32_t i = 0; i < open.size(); ++i) {
    const std::uint32_t index = open.first_index() + i;
    // A not-repeatable item is sent only once its intent is recorded.
    const bool sendable = open.item(index).repeatable || !open.recording_intent;
    if (sendable && !open.has_ended(index) && !pending.contains(index)) EnqueueItem(index, {});
  }
}

void JobRun::Release() {
  phase_ = Phase::kReleasing;
  JobRow row = row_;
  row.owner = {};
  row.token = delegate_.NewToken();
  CommitRequest request;
  request.conditions = {RowCondition{JobKey(job_), version_}};
  request.writes = {PutRow{JobKey(job_), EncodeJobRow(row)},
                    PutRow{OpenJobKey(job_), EncodeOpenJobRow(OpenJobRow{row.token, {}, 0})}};
  for (const auto& [chunk, version] : withdrawn_intents_) {
    request.conditions.push_back(RowCondition{ChunkKey(job_, chunk), version});
    request.writes.emplace_back(DeleteRow{ChunkKey(job_, chunk)});
  }
  request.token_key = JobKey(job_);
  request.token = row.token;
  request.done = IfNotEnded([this](const CommitResult& result) {
    const bool applied = std::holds_alternative<Applied>(result);
    End(applied ? JobTransition::Kind::kReleased : JobTransition::Kind::kFenced);
  });
  delegate_.commits.Submit(std::move(request));
}

void JobRun::OpenNext() {
  if (phase_ == Phase::kClaimed) return LoadManifest();
  if (phase_ != Phase::kRunning || next_chunk_ >= chunks_.size()) return;
  const std::uint32_t chunk = next_chunk_++;
  while (next_chunk_ < chunks_.size() && committed_[next_chunk_]) ++next_chunk_;
  LoadChunk(chunk);
}

bool JobRun::has_more() const {
  return phase_ == Phase::kClaimed || (phase_ == Phase::kRunning && next_chunk_ < chunks_.size());
}

bool JobRun::idle() const {
  const bool settled = phase_ == Phase::kClaimed || phase_ == Phase::kRunning;
  return settled && open_chunks() == 0 && stored_.empty() && !committing_ && !verifying_;
}

void JobRun::LoadManifest() {
  phase_ = Phase::kLoading;
  delegate_.store.Get(ManifestObjectKey(job_, row_.digest),
                      IfNotEnded([this](const Result<std::string>& bytes) { OnManifest(bytes); }));
}

void JobRun::OnManifest(const Result<std::string>& bytes) {
  Result<std::vector<ChunkEntry>> parsed =
      IsOk(bytes) ? ParseManifest(ValueOf(bytes)) : Result<std::vector<ChunkEntry>>(ErrorOf(bytes));
  // The job's row is written after the manifest, so a missing manifest is a fault of
  // the object store. The job is left unchanged and the next scan finds it again.
  if (!IsOk(parsed)) return End(JobTransition::Kind::kFenced);
  chunks_ = std::move(ValueOf(parsed));
  std::uint32_t index = 0;
  for (const ChunkEntry& chunk : chunks_) {
    first_index_.push_back(index);
    index += chunk.items;
  }
  committed_.assign(chunks_.size(), false);
  delegate_.store.ScanAll(ChunkPrefix(job_),
                          IfNotEnded([this](const Result<std::vector<Row>>& rows) {
                            if (!IsOk(rows)) return End(JobTransition::Kind::kFenced);
                            OnChunkRows(ValueOf(rows));
                          }));
}

void JobRun::OnChunkRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const Result<ChunkRow> parsed = ParseChunkRow(row.value);
    const auto chunk =
        static_cast<std::uint32_t>(std::stoul(row.key.substr(ChunkPrefix(job_).size())));
    if (!IsOk(parsed) || chunk >= chunks_.size()) continue;
    if (ValueOf(parsed).state == ChunkState::kDone) {
      committed_[chunk] = true;
      ++committed_count_;
    } else {
      intent_versions_[chunk] = row.version;
    }
  }
  phase_ = Phase::kRunning;
  while (next_chunk_ < chunks_.size() && committed_[next_chunk_]) ++next_chunk_;
}

void JobRun::LoadChunk(std::uint32_t chunk) {
  ++loading_count_;
  delegate_.store.Get(ItemsObjectKey(job_, chunks_[chunk].digest),
                      IfNotEnded([this, chunk](const Result<std::string>& text) {
                        --loading_count_;
                        OnChunkItems(chunk, text);
                      }));
}

void JobRun::OnChunkItems(std::uint32_t chunk, const Result<std::string>& text) {
  if (draining_) return;
  Result<std::vector<BatchItem>> items =
      IsOk(text) ? ParseItems(ValueOf(text)) : Result<std::vector<BatchItem>>(ErrorOf(text));
  const std::uint32_t count = chunks_[chunk].items;
  const bool whole = IsOk(items) && ValueOf(items).size() == count;
  OpenChunk& open =
      open_
          .try_emplace(chunk, first_index_[chunk],
                       whole ? std::move(ValueOf(items)) : std::vector<BatchItem>(count))
          .first->second;
  if (!whole) {
    const Error error{ErrorKind::kInternal, "the items can't be read from the object store"};
    for (std::uint32_t i = 0; i < count; ++i) open.Fail(open.first_index() + i, error);
    return StoreResultsIfFinished(chunk);
  }
  const bool needs_intent = open.ApplyRepeatableRule(delegate_.repeatable());
  if (const auto found = intent_versions_.find(chunk); found != intent_versions_.end()) {
    // An earlier owner may have sent the not-repeatable items: never send them again.
    open.row_version = found->second;
    const Error unknown{ErrorKind::kOutcomeUnknown,
                        "the owner was lost after the item may have been sent", Ran::kUnknown};
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::uint32_t index = open.first_index() + i;
      if (!open.item(index).repeatable) open.Fail(index, unknown);
    }
  } else if (needs_intent) {
    has_not_repeatable_ = true;
    for (std::uint32_t i = 0; i < count; ++i) {
      if (!open.item(open.first_index() + i).repeatable) ++unsent_intents_;
    }
    RecordIntent(chunk);
  }
  EnqueueItems(chunk, true);
  StoreResultsIfFinished(chunk);
}

// Records the intent in the chunk's row before any of its not-repeatable items is
// sent. A later owner that finds an intent without results knows that these items may
// have run.
void JobRun::RecordIntent(std::uint32_t chunk) {
  ChunkRow row;
  row.token = delegate_.NewToken();
  row.state = ChunkState::kIntended;
  row.epoch = row_.epoch;
  open_.at(chunk).recording_intent = true;
  CommitRequest request;
  request.conditions = {RowCondition{JobKey(job_), version_},
                        RowCondition{ChunkKey(job_, chunk), 0}};
  request.writes = {PutRow{ChunkKey(job_, chunk), EncodeChunkRow(row)}};
  request.token_key = ChunkKey(job_, chunk);
  request.token = row.token;
  request.done = IfNotEnded([this, chunk](const CommitResult& result) {
    const auto* applied = std::get_if<Applied>(&result);
    if (applied == nullptr) return VerifyAfterConflict();
    const auto open = open_.find(chunk);
    if (open == open_.end()) return;
    open->second.row_version = VersionOf(*applied, ChunkKey(job_, chunk));
    open->second.recording_intent = false;
    if (returning_.contains(chunk)) return FinishReturn(chunk);
    EnqueueItems(chunk, false);
  });
  delegate_.commits.Submit(std::move(request));
}

void JobRun::EnqueueItems(std::uint32_t chunk, bool repeatable) {
  const OpenChunk& open = open_.at(chunk);
  for (std::uint32_t i = 0; i < open.size(); ++i) {
    const std::uint32_t index = open.first_index() + i;
    if (open.item(index).repeatable == repeatable) EnqueueItem(index, {});
  }
}

void JobRun::EnqueueItem(std::uint32_t index, const NodeId& avoid) {
  const BatchItem& item = *FindItem(index);
  delegate_.EnqueueItem(
      ReadyItem{job_, index, row_.team, row_.due, item.service, CostOf(item), avoid});
}

std::uint32_t JobRun::ChunkOf(std::uint32_t index) const {
  const auto after = std::upper_bound(first_index_.begin(), first_index_.end(), index);
  return static_cast<std::uint32_t>(after - first_index_.begin()) - 1;
}

const BatchItem* JobRun::FindItem(std::uint32_t index) const {
  const auto open = open_.find(ChunkOf(index));
  return open == open_.end() || open->second.finished() ? nullptr : &open->second.item(index);
}

void JobRun::OnSent(std::uint32_t index) {
  OpenChunk& open = open_.at(ChunkOf(index));
  open.CountAttempt(index);
  if (!open.item(index).repeatable) --unsent_intents_;
}

void JobRun::OnStarted(std::uint32_t index) {
  const std::uint32_t chunk = ChunkOf(index);
  const auto open = open_.find(chunk);
  if (open == open_.end()) return;
  open->second.started = true;
  if (returning_.contains(chunk)) KeepChunk(chunk);
}

bool JobRun::TakeRecalled(std::uint32_t index, AttemptResult result) {
  const std::uint32_t chunk = ChunkOf(index);
  const auto returned = returning_.find(chunk);
  if (returned == returning_.end()) return false;
  returned->second.erase(index);
  if (result == AttemptResult::kRetry) {
    FinishReturn(chunk);
    return true;
  }
  KeepChunk(chunk);
  return false;
}

void JobRun::OnOutcome(std::uint32_t index, const ItemOutcome& outcome, const NodeId& agent) {
  const std::uint32_t chunk = ChunkOf(index);
  const auto open = open_.find(chunk);
  if (open == open_.end() || open->second.finished()) return;
  const AttemptResult result =
      open->second.RecordOutcome(index, outcome, delegate_.limits().max_attempts);
  if (open->second.attempts(index) > 0) open->second.started = true;
  const bool retry = result == AttemptResult::kRetry;
  if (retry && !open->second.item(index).repeatable) ++unsent_intents_;
  if (TakeRecalled(index, result)) return;
  if (retry) return EnqueueItem(index, agent);
  StoreResultsIfFinished(chunk);
}

void JobRun::StoreResultsIfFinished(std::uint32_t chunk) {
  OpenChunk& open = open_.at(chunk);
  if (!open.finished()) return;
  // The token in the key keeps a paused earlier owner from overwriting these results.
  StoredResults results{chunk, "results/" + job_.value + "/" + std::to_string(chunk) + "-" +
                                   std::to_string(row_.epoch) + "-" + delegate_.NewToken().value};
  std::vector<std::string> pieces = open.TakeResults();
  results.pieces = static_cast<std::uint32_t>(pieces.size());
  const auto remaining = std::make_shared<std::uint32_t>(results.pieces);
  for (std::uint32_t i = 0; i < results.pieces; ++i) {
    delegate_.store.Put(results.object + "-" + std::to_string(i), std::move(pieces[i]),
                        Retry::kWhileDown,
                        IfNotEnded([this, results, remaining](const Result<Ok>& stored) {
                          if (!IsOk(stored)) return End(JobTransition::Kind::kFenced);
                          if (--*remaining > 0) return;
                          open_.at(results.chunk).ClearHeldBytes();
                          stored_.push_back(results);
                          CommitStoredResults();
                        }));
  }
}

// Commits all chunks whose results are stored in one request. The request that
// commits the job's last chunk also ends the job in the same transaction.
void JobRun::CommitStoredResults() {
  if (committing_ || stored_.empty()) return;
  committing_ = true;
  CommitRequest request;
  request.token = delegate_.NewToken();
  request.conditions = {RowCondition{JobKey(job_), version_}};
  std::vector<std::uint32_t> chunks;
  for (const StoredResults& stored : std::exchange(stored_, {})) {
    const OpenChunk& open = open_.at(stored.chunk);
    const std::string key = ChunkKey(job_, stored.chunk);
    const ChunkRow row{request.token, ChunkState::kDone, row_.epoch,   stored.object,
                       stored.pieces, open.succeeded(),  open.failed()};
    request.conditions.push_back(RowCondition{key, open.row_version});
    request.writes.emplace_back(PutRow{key, EncodeChunkRow(row)});
    chunks.push_back(stored.chunk);
  }
  request.token_key = ChunkKey(job_, chunks.front());
  const bool ends_job = committed_count_ + chunks.size() == chunks_.size();
  if (ends_job) {
    JobRow row = row_;
    row.state = JobState::kDone;
    row.token = request.token;
    request.writes.emplace_back(PutRow{JobKey(job_), EncodeJobRow(row)});
    request.writes.emplace_back(DeleteRow{OpenJobKey(job_)});
  }
  request.done = IfNotEnded([this, chunks, ends_job](const CommitResult& result) {
    OnCommitResult(chunks, ends_job, result);
  });
  delegate_.commits.Submit(std::move(request));
}

void JobRun::OnCommitResult(const std::vector<std::uint32_t>& chunks, bool ends_job,
                            const CommitResult& result) {
  // On failure `committing_` remains set, so that nothing more is committed.
  if (!std::holds_alternative<Applied>(result)) return VerifyAfterConflict();
  committing_ = false;
  for (const std::uint32_t chunk : chunks) {
    const auto open = open_.find(chunk);
    delegate_.CountCommitted(open->second.succeeded() + open->second.failed());
    committed_[chunk] = true;
    ++committed_count_;
    open_.erase(open);
  }
  if (ends_job) return End(JobTransition::Kind::kDone);
  CommitStoredResults();
}

std::size_t JobRun::held_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [chunk, open] : open_) bytes += open.held_bytes();
  return bytes;
}

void JobRun::End(JobTransition::Kind transition) {
  phase_ = Phase::kEnded;
  open_.clear();
  delegate_.OnJobEnded(job_, transition);
}

}  // namespace figmill::detail
