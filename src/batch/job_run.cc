#include "batch/job_run.h"

#include <algorithm>

namespace figmill::detail {
namespace {

// Guards the fair share against an item that claims to be without bound.
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

JobRun::JobRun(JobHost& host, JobId job, JobRow row, RowVersion version)
    : host_(host), job_(std::move(job)), row_(std::move(row)), version_(version) {}

template <typename F>
auto JobRun::Guarded(F callback) {
  return [weak = weak_from_this(), callback = std::move(callback)](const auto& answer) {
    const auto self = weak.lock();
    if (self && self->phase_ != Phase::kEnded) callback(answer);
  };
}

void JobRun::Claim(const NodeId& self, Epoch lease) {
  row_.owner = self;
  row_.owner_lease = lease;
  ++row_.epoch;
  row_.token = host_.NewToken();
  CommitRequest request;
  request.conditions = {RowCondition{JobKey(job_), version_}};
  request.writes = {PutRow{JobKey(job_), EncodeJobRow(row_)},
                    PutRow{OpenKey(job_), EncodeOpenRow(OpenRow{row_.token, self, lease})}};
  request.proof = JobKey(job_);
  request.token = row_.token;
  request.done = Guarded([this](const CommitResult& result) {
    const auto* applied = std::get_if<Applied>(&result);
    if (applied == nullptr) return End(JobNote::What::kFenced);
    version_ = VersionOf(*applied, JobKey(job_));
    phase_ = Phase::kIdle;
    host_.Claimed(job_, row_.epoch);
  });
  host_.commits.Submit(std::move(request));
}

// A claim, a cancellation or our own last commit changes the row's version, and
// nothing else does.
void JobRun::Verify() {
  if (verifying_ || phase_ == Phase::kClaiming || phase_ == Phase::kReleasing) return;
  verifying_ = true;
  host_.store.Read(JobKey(job_), Guarded([this](const Result<std::optional<Row>>& answer) {
                     verifying_ = false;
                     if (IsOk(answer)) TakeVerification(ValueOf(answer));
                   }));
}

void JobRun::TakeVerification(const std::optional<Row>& found) {
  if (found && found->version == version_ && !lost_) return;
  const Result<JobRow> row = ParseJobRow(found ? found->value : "");
  if (!IsOk(row)) return End(JobNote::What::kFenced);
  switch (ValueOf(row).state) {
    case JobState::kCancelled:
      return End(JobNote::What::kCancelled);
    case JobState::kDone:
      return End(JobNote::What::kDone);
    // After a lost commit the run is given up even if the job is still ours: the
    // next scan claims it afresh, from what the rows say.
    case JobState::kRunning:
      return End(JobNote::What::kFenced);
  }
}

void JobRun::VerifyLoss() {
  lost_ = true;
  Verify();
}

void JobRun::Release() {
  phase_ = Phase::kReleasing;
  JobRow row = row_;
  row.owner = {};
  row.token = host_.NewToken();
  CommitRequest request;
  request.conditions = {RowCondition{JobKey(job_), version_}};
  request.writes = {PutRow{JobKey(job_), EncodeJobRow(row)},
                    PutRow{OpenKey(job_), EncodeOpenRow(OpenRow{row.token, {}, 0})}};
  request.proof = JobKey(job_);
  request.token = row.token;
  request.done = Guarded([this](const CommitResult& result) {
    const bool applied = std::holds_alternative<Applied>(result);
    End(applied ? JobNote::What::kReleased : JobNote::What::kFenced);
  });
  host_.commits.Submit(std::move(request));
}

void JobRun::OpenNext() {
  if (phase_ == Phase::kIdle) return Load();
  if (phase_ != Phase::kRunning || next_ >= chunks_.size()) return;
  const std::uint32_t chunk = next_++;
  while (next_ < chunks_.size() && committed_[next_]) ++next_;
  LoadChunk(chunk);
}

bool JobRun::has_more() const {
  return phase_ == Phase::kIdle || (phase_ == Phase::kRunning && next_ < chunks_.size());
}

bool JobRun::idle() const {
  const bool settled = phase_ == Phase::kIdle || phase_ == Phase::kRunning;
  return settled && open_chunks() == 0 && stored_.empty() && !committing_ && !verifying_;
}

void JobRun::Load() {
  phase_ = Phase::kLoading;
  host_.store.Get(ManifestObject(job_, row_.digest),
                  Guarded([this](const Result<std::string>& bytes) { TakeManifest(bytes); }));
}

void JobRun::TakeManifest(const Result<std::string>& bytes) {
  Result<std::vector<ChunkEntry>> parsed =
      IsOk(bytes) ? ParseManifest(ValueOf(bytes)) : Result<std::vector<ChunkEntry>>(ErrorOf(bytes));
  // The row was only written after the manifest, so this is a fault of the object
  // store; the job is left as it is and found again by the next scan.
  if (!IsOk(parsed)) return End(JobNote::What::kFenced);
  chunks_ = std::move(ValueOf(parsed));
  std::uint32_t index = 0;
  for (const ChunkEntry& chunk : chunks_) {
    first_index_.push_back(index);
    index += chunk.items;
  }
  committed_.assign(chunks_.size(), false);
  host_.store.ScanAll(ChunkPrefix(job_), Guarded([this](const Result<std::vector<Row>>& rows) {
                        if (!IsOk(rows)) return End(JobNote::What::kFenced);
                        TakeChunkRows(ValueOf(rows));
                      }));
}

void JobRun::TakeChunkRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const Result<ChunkRow> parsed = ParseChunkRow(row.value);
    const auto chunk =
        static_cast<std::uint32_t>(std::stoul(row.key.substr(ChunkPrefix(job_).size())));
    if (!IsOk(parsed) || chunk >= chunks_.size()) continue;
    if (ValueOf(parsed).state == ChunkState::kDone) {
      committed_[chunk] = true;
      ++committed_count_;
    } else {
      intended_[chunk] = row.version;
    }
  }
  phase_ = Phase::kRunning;
  while (next_ < chunks_.size() && committed_[next_]) ++next_;
}

void JobRun::LoadChunk(std::uint32_t chunk) {
  ++loading_;
  host_.store.Get(ItemsObject(job_, chunks_[chunk].digest),
                  Guarded([this, chunk](const Result<std::string>& text) {
                    --loading_;
                    TakeChunk(chunk, text);
                  }));
}

void JobRun::TakeChunk(std::uint32_t chunk, const Result<std::string>& text) {
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
    return StoreIfFinished(chunk);
  }
  const bool needs_intent = open.ForbidRepeats(host_.repeatable());
  if (const auto found = intended_.find(chunk); found != intended_.end()) {
    // An earlier owner may have sent these, so they are never sent again.
    open.row_version = found->second;
    const Error unknown{ErrorKind::kOutcomeUnknown,
                        "its owner was lost after it may have been sent", Ran::kUnknown};
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::uint32_t index = open.first_index() + i;
      if (!open.item(index).repeatable) open.Fail(index, unknown);
    }
  } else if (needs_intent) {
    has_once_ = true;
    for (std::uint32_t i = 0; i < count; ++i) {
      if (!open.item(open.first_index() + i).repeatable) ++unsent_once_;
    }
    Intend(chunk);
  }
  OfferItems(chunk, true);
  StoreIfFinished(chunk);
}

// Marks the chunk before any of its not-repeatable items is sent: whoever finds
// the mark without results knows that they may have run.
void JobRun::Intend(std::uint32_t chunk) {
  ChunkRow row;
  row.token = host_.NewToken();
  row.state = ChunkState::kIntended;
  row.epoch = row_.epoch;
  CommitRequest request;
  request.conditions = {RowCondition{JobKey(job_), version_},
                        RowCondition{ChunkKey(job_, chunk), 0}};
  request.writes = {PutRow{ChunkKey(job_, chunk), EncodeChunkRow(row)}};
  request.proof = ChunkKey(job_, chunk);
  request.token = row.token;
  request.done = Guarded([this, chunk](const CommitResult& result) {
    const auto* applied = std::get_if<Applied>(&result);
    if (applied == nullptr) return VerifyLoss();
    const auto open = open_.find(chunk);
    if (open == open_.end()) return;
    open->second.row_version = VersionOf(*applied, ChunkKey(job_, chunk));
    OfferItems(chunk, false);
  });
  host_.commits.Submit(std::move(request));
}

void JobRun::OfferItems(std::uint32_t chunk, bool repeatable) {
  const OpenChunk& open = open_.at(chunk);
  for (std::uint32_t i = 0; i < open.size(); ++i) {
    const std::uint32_t index = open.first_index() + i;
    if (open.item(index).repeatable == repeatable) Offer(index, {});
  }
}

void JobRun::Offer(std::uint32_t index, const NodeId& avoid) {
  const BatchItem& item = *Find(index);
  host_.Ready(ReadyItem{job_, index, row_.team, row_.due, item.service, CostOf(item), avoid});
}

std::uint32_t JobRun::ChunkOf(std::uint32_t index) const {
  const auto after = std::upper_bound(first_index_.begin(), first_index_.end(), index);
  return static_cast<std::uint32_t>(after - first_index_.begin()) - 1;
}

const BatchItem* JobRun::Find(std::uint32_t index) const {
  const auto open = open_.find(ChunkOf(index));
  return open == open_.end() || open->second.finished() ? nullptr : &open->second.item(index);
}

void JobRun::OnSent(std::uint32_t index) {
  OpenChunk& open = open_.at(ChunkOf(index));
  open.CountAttempt(index);
  if (!open.item(index).repeatable) --unsent_once_;
}

void JobRun::OnOutcome(std::uint32_t index, const ItemOutcome& outcome, const NodeId& agent) {
  const std::uint32_t chunk = ChunkOf(index);
  const auto open = open_.find(chunk);
  if (open == open_.end() || open->second.finished()) return;
  if (open->second.Take(index, outcome, host_.limits().max_attempts) == AfterAttempt::kTryAgain) {
    if (!open->second.item(index).repeatable) ++unsent_once_;
    return Offer(index, agent);
  }
  StoreIfFinished(chunk);
}

void JobRun::StoreIfFinished(std::uint32_t chunk) {
  OpenChunk& open = open_.at(chunk);
  if (!open.finished()) return;
  // The token keeps a paused earlier owner from writing over these results.
  StoredResults results{chunk, "results/" + job_.value + "/" + std::to_string(chunk) + "-" +
                                   std::to_string(row_.epoch) + "-" + host_.NewToken().value};
  std::vector<std::string> pieces = open.TakeResults();
  results.pieces = static_cast<std::uint32_t>(pieces.size());
  const auto left = std::make_shared<std::uint32_t>(results.pieces);
  for (std::uint32_t i = 0; i < results.pieces; ++i) {
    host_.store.Put(results.object + "-" + std::to_string(i), std::move(pieces[i]),
                    Retry::kWhileDown, Guarded([this, results, left](const Result<Ok>& stored) {
                      if (!IsOk(stored)) return End(JobNote::What::kFenced);
                      if (--*left > 0) return;
                      open_.at(results.chunk).ForgetBytes();
                      stored_.push_back(results);
                      CommitStored();
                    }));
  }
}

// All chunks whose results are stored go into one request; the one that covers
// the last of them ends the job in the same transaction.
void JobRun::CommitStored() {
  if (committing_ || stored_.empty()) return;
  committing_ = true;
  CommitRequest request;
  request.token = host_.NewToken();
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
  request.proof = ChunkKey(job_, chunks.front());
  const bool ends_job = committed_count_ + chunks.size() == chunks_.size();
  if (ends_job) {
    JobRow row = row_;
    row.state = JobState::kDone;
    row.token = request.token;
    request.writes.emplace_back(PutRow{JobKey(job_), EncodeJobRow(row)});
    request.writes.emplace_back(DeleteRow{OpenKey(job_)});
  }
  request.done = Guarded([this, chunks, ends_job](const CommitResult& result) {
    TakeCommit(chunks, ends_job, result);
  });
  host_.commits.Submit(std::move(request));
}

void JobRun::TakeCommit(const std::vector<std::uint32_t>& chunks, bool ends_job,
                        const CommitResult& result) {
  // While `committing_` stays set nothing more is committed.
  if (!std::holds_alternative<Applied>(result)) return VerifyLoss();
  committing_ = false;
  for (const std::uint32_t chunk : chunks) {
    const auto open = open_.find(chunk);
    host_.CountCommitted(open->second.succeeded() + open->second.failed());
    committed_[chunk] = true;
    ++committed_count_;
    open_.erase(open);
  }
  if (ends_job) return End(JobNote::What::kDone);
  CommitStored();
}

std::size_t JobRun::held_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [chunk, open] : open_) bytes += open.held_bytes();
  return bytes;
}

void JobRun::End(JobNote::What how) {
  phase_ = Phase::kEnded;
  open_.clear();
  host_.Ended(job_, how);
}

}  // namespace figmill::detail
