#include "batch/commit_queue.h"

namespace figmill {
namespace detail {

class AcceptanceCore {
 public:
  AcceptanceCore(JobRequest request, const JobAssembly& assembly, Time deadline,
                 const RandomBits& random)
      : job_(std::move(request.job)),
        manifest_(EncodeManifest(assembly.chunks())),
        store_(deadline),
        commits_(store_, deadline) {
    row_.token = GenerateToken(random);
    row_.digest = assembly.ContentDigest(request.team, request.due);
    row_.team = std::move(request.team);
    row_.due = request.due;
    row_.items = assembly.items();
    row_.chunks = static_cast<std::uint32_t>(assembly.chunks().size());
  }

  void Start() {
    store_.Put(ManifestObjectKey(job_, row_.digest), std::move(manifest_), Retry::kNo,
               [this](const Result<Ok>& stored) {
                 if (IsOk(stored)) return CommitJobRow();
                 outcome_ = Error{ErrorKind::kStoreUnavailable, ErrorOf(stored).detail, Ran::kNo};
               });
  }

  StoreClient& store() { return store_; }
  CommitQueue& commits() { return commits_; }
  [[nodiscard]] const std::optional<Result<JobAccepted>>& outcome() const { return outcome_; }

 private:
  // Writing the job's row is what accepts the job. Objects stored before are unused if
  // the row is never written.
  void CommitJobRow() {
    CommitRequest request;
    request.conditions = {RowCondition{JobKey(job_), 0}};
    request.writes = {PutRow{JobKey(job_), EncodeJobRow(row_)},
                      PutRow{OpenJobKey(job_), EncodeOpenJobRow(OpenJobRow{row_.token, {}, 0})}};
    request.token_key = JobKey(job_);
    request.token = row_.token;
    request.done = [this](const CommitResult& result) {
      std::visit(Overloaded{
                     [this](const Applied&) {
                       outcome_ = JobAccepted{row_, true};
                     },
                     [this](const Superseded&) { CompareWithExisting(); },
                     [this](const CommitFailed& failure) {
                       outcome_ = Error{ErrorKind::kStoreUnavailable, failure.reason,
                                        failure.outcome_unknown ? Ran::kUnknown : Ran::kNo};
                     },
                 },
                 result);
    };
    commits_.Submit(std::move(request));
  }

  // A job with this id exists; it is the same job if its content digest is equal.
  void CompareWithExisting() {
    store_.Read(JobKey(job_), [this](const Result<std::optional<Row>>& answer) {
      if (!IsOk(answer) || !ValueOf(answer)) {
        outcome_ = Error{ErrorKind::kStoreUnavailable, "the job's row can't be read", Ran::kNo};
        return;
      }
      Result<JobRow> row = ParseJobRow(ValueOf(answer)->value);
      if (!IsOk(row)) {
        outcome_ = ErrorOf(row);
      } else if (ValueOf(row).digest != row_.digest) {
        outcome_ = Error{ErrorKind::kConflict,
                         "job " + job_.value + " exists with other content, team or due time"};
      } else {
        outcome_ = JobAccepted{std::move(ValueOf(row)), false};
      }
    });
  }

  JobId job_;
  std::string manifest_;
  JobRow row_;
  StoreClient store_;
  CommitQueue commits_;
  std::optional<Result<JobAccepted>> outcome_;
};

class CancellationCore {
 public:
  CancellationCore(JobId job, Time deadline, RandomBits random)
      : job_(std::move(job)),
        random_(std::move(random)),
        store_(deadline),
        commits_(store_, deadline) {}

  void Start() {
    store_.Read(JobKey(job_), [this](const Result<std::optional<Row>>& answer) {
      if (!IsOk(answer)) {
        outcome_ = Error{ErrorKind::kStoreUnavailable, ErrorOf(answer).detail, Ran::kNo};
      } else if (!ValueOf(answer)) {
        outcome_ = Error{ErrorKind::kNotFound, "there is no job " + job_.value};
      } else {
        Cancel(*ValueOf(answer));
      }
    });
  }

  StoreClient& store() { return store_; }
  CommitQueue& commits() { return commits_; }
  [[nodiscard]] const std::optional<Result<JobRow>>& outcome() const { return outcome_; }

 private:
  void Cancel(const Row& found) {
    Result<JobRow> parsed = ParseJobRow(found.value);
    if (!IsOk(parsed) || ValueOf(parsed).state != JobState::kRunning) {
      outcome_ = std::move(parsed);
      return;
    }
    JobRow row = std::move(ValueOf(parsed));
    row.token = GenerateToken(random_);
    row.state = JobState::kCancelled;
    CommitRequest request;
    request.conditions = {RowCondition{found.key, found.version}};
    request.writes = {PutRow{found.key, EncodeJobRow(row)}, DeleteRow{OpenJobKey(job_)}};
    request.token_key = found.key;
    request.token = row.token;
    request.done = [this, row](const CommitResult& result) {
      std::visit(Overloaded{
                     [&](const Applied&) { outcome_ = row; },
                     // An owner claimed or finished the job meanwhile, so read its row again.
                     [this](const Superseded&) { Start(); },
                     [this](const CommitFailed& failure) {
                       outcome_ = Error{ErrorKind::kStoreUnavailable, failure.reason,
                                        failure.outcome_unknown ? Ran::kUnknown : Ran::kNo};
                     },
                 },
                 result);
    };
    commits_.Submit(std::move(request));
  }

  JobId job_;
  RandomBits random_;
  StoreClient store_;
  CommitQueue commits_;
  std::optional<Result<JobRow>> outcome_;
};

namespace {

template <typename Core>
std::vector<StoreCall> StartCore(Core& core, Time now) {
  core.store().Tick(now);
  core.Start();
  return core.store().TakeCalls();
}

template <typename Core>
std::vector<StoreCall> HandleCore(Core& core, const StoreResult& answer, Time now) {
  core.store().Handle(answer, now);
  return core.store().TakeCalls();
}

template <typename Core>
std::vector<StoreCall> TickCore(Core& core, Time now) {
  core.store().Tick(now);
  core.commits().Tick(now);
  return core.store().TakeCalls();
}

}  // namespace
}  // namespace detail

JobAcceptance::JobAcceptance(JobRequest request, const JobAssembly& assembly, Time deadline,
                             const RandomBits& random)
    : core_(std::make_unique<detail::AcceptanceCore>(std::move(request), assembly, deadline,
                                                     random)) {}
JobAcceptance::~JobAcceptance() = default;
std::vector<StoreCall> JobAcceptance::Start(Time now) {
  return detail::StartCore(*core_, now);
}
std::vector<StoreCall> JobAcceptance::Handle(const StoreResult& answer, Time now) {
  return detail::HandleCore(*core_, answer, now);
}
std::vector<StoreCall> JobAcceptance::Tick(Time now) {
  return detail::TickCore(*core_, now);
}
const std::optional<Result<JobAccepted>>& JobAcceptance::outcome() const {
  return core_->outcome();
}

JobCancellation::JobCancellation(JobId job, Time deadline, RandomBits random)
    : core_(std::make_unique<detail::CancellationCore>(std::move(job), deadline,
                                                       std::move(random))) {}
JobCancellation::~JobCancellation() = default;
std::vector<StoreCall> JobCancellation::Start(Time now) {
  return detail::StartCore(*core_, now);
}
std::vector<StoreCall> JobCancellation::Handle(const StoreResult& answer, Time now) {
  return detail::HandleCore(*core_, answer, now);
}
std::vector<StoreCall> JobCancellation::Tick(Time now) {
  return detail::TickCore(*core_, now);
}
const std::optional<Result<JobRow>>& JobCancellation::outcome() const {
  return core_->outcome();
}

}  // namespace figmill
