#pragma once

// The callers' side of batch jobs: /v1/jobs/... Any entry answers for any job,
// from the store alone.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "figmill/batch.h"
#include "figmill/runtime.h"
#include "figmilld/batch/batch_store.h"
#include "figmilld/traffic/remote_reply.h"

namespace figmill {

class BatchJobs {
 public:
  struct Links {
    Loop& loop;
    BatchStore store;
    RandomBits random;
    // Tells the job's owner that its row has changed.
    std::function<void(const JobRow&, const JobId&)> notify;
  };
  explicit BatchJobs(Links links);

  void SetRule(RepeatableRule rule) { rule_ = std::move(rule); }
  void SetDraining() { draining_ = true; }
  void On(HttpRequest request, const RemoteReply& reply);
  // The row as it stands afterwards. Errors: those of JobCancellation.
  void Cancel(const JobId& job, std::function<void(Result<JobRow>)> done);

 private:
  struct Upload;
  using UploadPtr = std::shared_ptr<Upload>;

  void Put(HttpRequest request, const JobId& job, const RemoteReply& reply);
  void PutPart(HttpRequest request, const JobId& job, std::string_view number,
               const RemoteReply& reply);
  void Get(const JobId& job, const RemoteReply& reply);
  void GetResults(const JobId& job, const RemoteReply& reply);
  void Delete(const JobId& job, const RemoteReply& reply);

  [[nodiscard]] UploadPtr StartUpload(const JobId& job, std::string body, const RemoteReply& reply);
  // Puts the chunks of the upload's body, then goes on.
  void PutChunks(const UploadPtr& upload, std::function<void()> then);
  void NextChunk(const UploadPtr& upload, const std::function<void()>& then);
  void GatherParts(const UploadPtr& upload, const std::vector<std::string>& digests,
                   std::size_t next);
  void Accept(const UploadPtr& upload);
  void AnswerState(const JobId& job, int status, const JobRow& row, const RemoteReply& reply);
  void StreamResults(std::vector<std::string> objects, std::size_t next, const RemoteReply& reply);

  Links links_;
  RepeatableRule rule_;
  bool draining_ = false;
  int uploads_ = 0;
};

}  // namespace figmill
