#include "figmilld/batch/batch_jobs.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kRoot = "/v1/jobs/";
// Each holds a body of up to 8 MB.
constexpr int kMaxUploads = 4;
constexpr Duration kUploadRetryAfter{1'000'000};
// How long the fate of a write whose answer was lost is looked for.
constexpr Duration kFatePatience{8'000'000};
constexpr Duration kReadRetry{500'000};
// The due time of a job that names none; it must not depend on when it was sent.
constexpr WallTime kNoDue{std::chrono::milliseconds(253'402'300'799'000)};  // year 9999

Error BadRequest(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

// "2026-12-03T06:00:00Z".
std::optional<WallTime> ParseDue(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  unsigned hour = 0;
  unsigned minute = 0;
  unsigned second = 0;
  int used = 0;
  const int read = std::sscanf(text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2uZ%n", &year, &month, &day,
                               &hour, &minute, &second, &used);
  const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                         std::chrono::day(day)};
  const bool whole = read == 6 && used == static_cast<int>(text.size()) && date.ok() && hour < 24 &&
                     minute < 60 && second < 60;
  if (!whole) return std::nullopt;
  return WallTime(std::chrono::sys_days(date) + std::chrono::hours(hour) +
                  std::chrono::minutes(minute) + std::chrono::seconds(second));
}

// Errors: kBadRequest.
Result<JobRequest> ParseJobRequest(const HttpRequest& request, const JobId& job) {
  Result<std::string> team = ParseId(request.QueryValue("team").value_or(""), "team");
  if (!IsOk(team)) return ErrorOf(team);
  WallTime due = kNoDue;
  if (const auto text = request.QueryValue("due")) {
    const auto parsed = ParseDue(*text);
    if (!parsed) return BadRequest("due must be a UTC time such as 2026-12-03T06:00:00Z");
    due = *parsed;
  }
  return JobRequest{job, TeamId{std::move(ValueOf(team))}, due};
}

Json StateJson(const JobId& job, const JobRow& row, const JobProgress& progress) {
  return {{"id", job.value},
          {"state", ToString(row.state)},
          {"team", row.team.value},
          {"due_ms", row.due.time_since_epoch().count()},
          {"items", row.items},
          {"completed", progress.succeeded + progress.failed},
          {"succeeded", progress.succeeded},
          {"failed", progress.failed},
          {"owner", row.owner.value},
          {"epoch", row.epoch}};
}

}  // namespace

// One body on its way into the object store. Counted while it lives.
struct BatchJobs::Upload {
  Upload(int& counter, JobId id, std::string text, RemoteReply to)
      : count(counter), job(std::move(id)), body(std::move(text)), reply(std::move(to)) {
    ++count;
  }
  ~Upload() { --count; }
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;

  int& count;
  JobId job;
  std::string body;
  RemoteReply reply;
  JobRequest request;
  SplitPart part;
  JobAssembly assembly;
  std::size_t next_chunk = 0;
};

BatchJobs::BatchJobs(Links links) : links_(std::move(links)) {}

void BatchJobs::On(HttpRequest request, const RemoteReply& reply) {
  std::string_view path = std::string_view(request.path).substr(kRoot.size());
  const std::size_t slash = path.find('/');
  Result<std::string> id = ParseId(path.substr(0, slash), "job", kMaxJobIdLength);
  if (!IsOk(id)) return reply.Send(ProblemOf(ErrorOf(id)));
  const JobId job{std::move(ValueOf(id))};
  const std::string rest(slash == std::string_view::npos ? "" : path.substr(slash));
  const std::string method = request.method;
  if (rest.empty() && method == "PUT") return Put(std::move(request), job, reply);
  if (rest.empty() && method == "GET") return Get(job, reply);
  if (rest.empty() && method == "DELETE") return Delete(job, reply);
  if (rest == "/results" && method == "GET") return GetResults(job, reply);
  if (rest.starts_with("/parts/") && method == "PUT") {
    return PutPart(std::move(request), job, std::string_view(rest).substr(7), reply);
  }
  const bool known = rest.empty() || rest == "/results" || rest.starts_with("/parts/");
  reply.Send(ProblemOf({known ? ErrorKind::kMethodNotAllowed : ErrorKind::kNotFound,
                        method + " is not offered at " + request.path}));
}

// --- Upload ------------------------------------------------------------------------

BatchJobs::UploadPtr BatchJobs::StartUpload(const JobId& job, std::string body,
                                            const RemoteReply& reply) {
  if (draining_) {
    reply.Send(ProblemOf({ErrorKind::kLeaving, "this entry is shutting down"}));
    return nullptr;
  }
  if (uploads_ >= kMaxUploads) {
    reply.Send(ProblemOf(
        {ErrorKind::kOverloaded, "too many uploads at once", Ran::kNo, kUploadRetryAfter}));
    return nullptr;
  }
  return std::make_shared<Upload>(uploads_, job, std::move(body), reply);
}

void BatchJobs::PutChunks(const UploadPtr& upload, std::function<void()> then) {
  Result<SplitPart> part = SplitItems(upload->body, rule_);
  if (!IsOk(part)) return upload->reply.Send(ProblemOf(ErrorOf(part)));
  upload->part = std::move(ValueOf(part));
  NextChunk(upload, then);
}

void BatchJobs::NextChunk(const UploadPtr& upload, const std::function<void()>& then) {
  const std::size_t chunk = upload->next_chunk++;
  if (chunk == upload->part.texts.size()) return then();
  links_.store.objects.Put(ItemsObjectKey(upload->job, upload->part.index.chunks[chunk].digest),
                           std::string(upload->part.texts[chunk]),
                           [this, upload, then](const Result<Ok>& stored) {
                             if (IsOk(stored)) return NextChunk(upload, then);
                             Error error = ErrorOf(stored);
                             error.ran = Ran::kNo;  // the job is accepted by its row alone
                             upload->reply.Send(ProblemOf(error));
                           });
}

void BatchJobs::PutPart(HttpRequest request, const JobId& job, std::string_view number,
                        const RemoteReply& reply) {
  std::uint32_t part = 0;
  const auto [end, failure] = std::from_chars(number.data(), number.data() + number.size(), part);
  if (failure != std::errc{} || end != number.data() + number.size()) {
    return reply.Send(ProblemOf(BadRequest("a part's number is expected after parts/")));
  }
  const UploadPtr upload = StartUpload(job, std::move(request.body), reply);
  if (!upload) return;
  PutChunks(upload, [this, upload, part] {
    const std::string digest = DigestOf(upload->body);
    const Json answer = {
        {"part", part}, {"digest", digest}, {"items", upload->part.index.item_hashes.size()}};
    links_.store.objects.Put(PartObjectKey(upload->job, part, digest),
                             EncodePartIndex(upload->part.index),
                             [upload, answer](const Result<Ok>& stored) {
                               if (IsOk(stored)) {
                                 upload->reply.Send({200, "application/json", {}, answer.dump()});
                                 return;
                               }
                               Error error = ErrorOf(stored);
                               error.ran = Ran::kNo;
                               upload->reply.Send(ProblemOf(error));
                             });
  });
}

void BatchJobs::Put(HttpRequest request, const JobId& job, const RemoteReply& reply) {
  Result<JobRequest> parsed = ParseJobRequest(request, job);
  if (!IsOk(parsed)) return reply.Send(ProblemOf(ErrorOf(parsed)));
  const bool names_parts = request.HeaderOr("Content-Type").starts_with("application/json");
  const UploadPtr upload = StartUpload(job, std::move(request.body), reply);
  if (!upload) return;
  upload->request = std::move(ValueOf(parsed));
  if (names_parts) {
    const Result<std::vector<std::string>> digests = ParsePartsManifest(upload->body);
    if (!IsOk(digests)) return reply.Send(ProblemOf(ErrorOf(digests)));
    return GatherParts(upload, ValueOf(digests), 0);
  }
  PutChunks(upload, [this, upload] {
    const Result<Ok> added = upload->assembly.Add(upload->part.index);
    if (!IsOk(added)) return upload->reply.Send(ProblemOf(ErrorOf(added)));
    Accept(upload);
  });
}

void BatchJobs::GatherParts(const UploadPtr& upload, const std::vector<std::string>& digests,
                            std::size_t next) {
  if (next == digests.size()) return Accept(upload);
  links_.store.objects.Get(
      PartObjectKey(upload->job, static_cast<std::uint32_t>(next), digests[next]),
      [this, upload, digests, next](const Result<std::string>& bytes) {
        if (!IsOk(bytes)) {
          Error error = ErrorOf(bytes);
          error.ran = Ran::kNo;
          if (error.kind == ErrorKind::kNotFound) {
            error = BadRequest("part " + std::to_string(next) + " with digest " + digests[next] +
                               " has not been uploaded");
          }
          return upload->reply.Send(ProblemOf(error));
        }
        const Result<PartIndex> index = ParsePartIndex(ValueOf(bytes));
        const Result<Ok> added =
            IsOk(index) ? upload->assembly.Add(ValueOf(index)) : Result<Ok>(ErrorOf(index));
        if (!IsOk(added)) return upload->reply.Send(ProblemOf(ErrorOf(added)));
        GatherParts(upload, digests, next + 1);
      });
}

void BatchJobs::Accept(const UploadPtr& upload) {
  auto machine = std::make_unique<JobAcceptance>(upload->request, upload->assembly,
                                                 Loop::Now() + kFatePatience, links_.random);
  std::make_shared<StoreMachine<JobAcceptance>>(
      links_.loop, links_.store, std::move(machine),
      [this, upload](const Result<JobAccepted>& outcome) {
        if (!IsOk(outcome)) return upload->reply.Send(ProblemOf(ErrorOf(outcome)));
        const JobAccepted& accepted = ValueOf(outcome);
        if (accepted.created) {
          const Json state = StateJson(upload->job, accepted.row, {});
          return upload->reply.Send({201, "application/json", {}, state.dump()});
        }
        AnswerState(upload->job, 200, accepted.row, upload->reply);
      })
      ->Run();
}

// --- State, results, cancellation -----------------------------------------------------

void BatchJobs::AnswerState(const JobId& job, int status, const JobRow& row,
                            const RemoteReply& reply) {
  ScanAllRows(links_.store.table, ChunkPrefix(job),
              [job, status, row, reply](const Result<std::vector<Row>>& rows) {
                if (!IsOk(rows)) return reply.Send(ProblemOf(ErrorOf(rows)));
                const Json state = StateJson(job, row, ProgressOf(ValueOf(rows)));
                reply.Send({status, "application/json", {}, state.dump()});
              });
}

namespace {

void ReadJob(TableStore& table, const JobId& job, std::function<void(Result<JobRow>)> done) {
  table.Read(JobKey(job), [job, done](const Result<std::optional<Row>>& row) {
    if (!IsOk(row)) return done(ErrorOf(row));
    if (!ValueOf(row)) {
      return done(Error{ErrorKind::kNotFound, "there is no job " + job.value});
    }
    done(ParseJobRow(ValueOf(row)->value));
  });
}

}  // namespace

void BatchJobs::Get(const JobId& job, const RemoteReply& reply) {
  ReadJob(links_.store.table, job, [this, job, reply](const Result<JobRow>& row) {
    if (!IsOk(row)) return reply.Send(ProblemOf(ErrorOf(row)));
    AnswerState(job, 200, ValueOf(row), reply);
  });
}

void BatchJobs::GetResults(const JobId& job, const RemoteReply& reply) {
  ReadJob(links_.store.table, job, [this, job, reply](const Result<JobRow>& found) {
    if (!IsOk(found)) return reply.Send(ProblemOf(ErrorOf(found)));
    // The row was read before the chunks' rows: a job that was done then shows all
    // of them.
    const JobRow row = ValueOf(found);
    ScanAllRows(links_.store.table, ChunkPrefix(job),
                [this, row, reply](const Result<std::vector<Row>>& rows) {
                  if (!IsOk(rows)) return reply.Send(ProblemOf(ErrorOf(rows)));
                  JobProgress progress = ProgressOf(ValueOf(rows));
                  const std::uint32_t items = progress.succeeded + progress.failed;
                  reply.Begin({200,
                               "application/x-ndjson",
                               {{"Figmill-Job-State", std::string(ToString(row.state))},
                                {"Figmill-Items", std::to_string(items)},
                                {"Figmill-Complete", items == row.items ? "true" : "false"}},
                               ""});
                  StreamResults(std::move(progress.objects), 0, reply);
                });
  });
}

// An object that can't be read now is asked for again: ending the answer here
// would make it look whole.
void BatchJobs::StreamResults(std::vector<std::string> objects, std::size_t next,
                              const RemoteReply& reply) {
  if (next == objects.size()) return reply.End();
  std::string key = objects[next];
  links_.store.objects.Get(std::move(key), [this, objects = std::move(objects), next,
                                            reply](Result<std::string> bytes) mutable {
    if (IsOk(bytes)) {
      reply.Write(std::move(ValueOf(bytes)));
      return StreamResults(std::move(objects), next + 1, reply);
    }
    const auto timer = std::make_shared<Timer>();
    *timer = links_.loop.After(kReadRetry,
                               [this, timer, objects = std::move(objects), next, reply]() mutable {
                                 StreamResults(std::move(objects), next, reply);
                                 timer->Reset();
                               });
  });
}

void BatchJobs::Cancel(const JobId& job, std::function<void(Result<JobRow>)> done) {
  auto machine = std::make_unique<JobCancellation>(job, Loop::Now() + kFatePatience, links_.random);
  std::make_shared<StoreMachine<JobCancellation>>(
      links_.loop, links_.store, std::move(machine),
      [this, job, done = std::move(done)](const Result<JobRow>& row) {
        if (IsOk(row) && !ValueOf(row).owner.empty()) links_.notify(ValueOf(row), job);
        done(row);
      })
      ->Run();
}

void BatchJobs::Delete(const JobId& job, const RemoteReply& reply) {
  Cancel(job, [this, job, reply](const Result<JobRow>& row) {
    if (!IsOk(row)) return reply.Send(ProblemOf(ErrorOf(row)));
    AnswerState(job, 200, ValueOf(row), reply);
  });
}

}  // namespace figmill
