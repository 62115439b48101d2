#pragma once

// Batch jobs at an entry: the callers' calls and this entry's share of the jobs,
// on a thread of their own, so that parsing a large upload holds no online
// request up.

#include <functional>
#include <memory>

#include "figmill/batch.h"
#include "figmill/control.h"
#include "figmill/runtime.h"

namespace figmill {

struct EntryBatchSettings {
  NodeId node;
  Incarnation incarnation = 0;
  Address platform;
  Duration store_timeout{2'000'000};
  BatchLimits limits;
};

// All calls on the server's loop; callbacks come on it.
class EntryBatch {
 public:
  EntryBatch(Loop& server_loop, EntryBatchSettings settings, Metrics& metrics);
  ~EntryBatch();

  [[nodiscard]] static bool Takes(std::string_view path) { return path.starts_with("/v1/jobs/"); }
  void OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply);
  // Entries and agents that are alive, and the configuration.
  void Update(const std::shared_ptr<const RoutingSnapshot>& snapshot);
  // Binds `job-changed`, by which one entry tells another of a cancellation.
  void BindOrders(RpcServer& server);
  // For operators' cancellations. The row as it stands afterwards. Errors: those
  // of JobCancellation.
  void Cancel(const JobId& job, std::function<void(Result<JobRow>)> done);
  // Finishes the open chunks and hands the jobs over, then calls `done`. Without
  // it another entry takes the jobs over after a lease term.
  void Drain(std::function<void()> done);

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace figmill
