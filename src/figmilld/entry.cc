// The process that takes callers' requests and owns batch jobs.

#include <memory>
#include <utility>

#include "figmill/runtime.h"
#include "figmilld/batch/entry_batch.h"
#include "figmilld/control/entry_query.h"
#include "figmilld/daemon.h"
#include "figmilld/process.h"
#include "figmilld/traffic/entry_once.h"
#include "figmilld/traffic/entry_online.h"
#include "figmilld/traffic/once_view.h"

namespace figmill {
namespace {

// How long the balancer may still send requests after /readyz has said no.
constexpr Duration kBalancerNotice{1'000'000};
constexpr Duration kIdleCheck{50'000};

EntryBatchSettings BatchSettingsOf(const Settings& settings, Incarnation incarnation) {
  EntryBatchSettings batch;
  batch.node = settings.common.node;
  batch.incarnation = incarnation;
  batch.platform = settings.common.platform;
  batch.store_timeout = settings.common.store_timeout;
  return batch;
}

class Entry {
 public:
  explicit Entry(const Settings& settings)
      : daemon_(settings, "entry"),
        online_(daemon_.loop(), daemon_.client(), daemon_.rpc(), daemon_.metrics(),
                daemon_.tracer(), {self().node, self().data_centre}),
        batch_(daemon_.loop(), BatchSettingsOf(settings, self().incarnation), daemon_.metrics()),
        query_({daemon_.loop(), daemon_.client(), daemon_.platform(), daemon_.platform(),
                daemon_.control(), self().node,
                [this](const JobId& job) { batch_.Cancel(job, [](const Result<JobRow>&) {}); }}),
        once_(daemon_.loop(), daemon_.client(), daemon_.platform(), daemon_.platform(),
              {self().node, self().incarnation}, ViewOver(daemon_.control(), self()),
              [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                RunStored(std::move(request), std::move(reply));
              }) {
    online_.SetOnce(&once_);
    batch_.BindOrders(daemon_.rpc());
    query_.BindRpc(daemon_.rpc());
  }

  int Run() {
    return daemon_.Run({
        [this](HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
          return Route(request, reply);
        },
        [this](std::function<void()> finished) { Leave(std::move(finished)); },
        [] { return false; },
        [this](const std::shared_ptr<const RoutingSnapshot>& snapshot) {
          online_.Update(snapshot);
          batch_.Update(snapshot);
        },
    });
  }

 private:
  [[nodiscard]] const Member& self() const { return daemon_.self(); }

  // The balancer has been told by /readyz; the jobs are handed over meanwhile.
  void Leave(std::function<void()> finished) {
    finished_ = std::move(finished);
    batch_.Drain([this] { batch_drained_ = true; });
    idle_timer_ = daemon_.loop().After(kBalancerNotice, [this] { FinishWhenIdle(); });
  }

  void FinishWhenIdle() {
    // A keyed item's outcome is kept even when its caller has its answer already.
    if (!batch_drained_ || online_.in_flight() > 0 || once_.open() > 0) {
      idle_timer_ = daemon_.loop().After(kIdleCheck, [this] { FinishWhenIdle(); });
      return;
    }
    finished_();
  }

  bool Route(HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
    if (request.path == "/once/write") {
      once_.OnWrite(request, reply);
      return true;
    }
    if (EntryQuery::Handles(request.path)) {
      query_.OnRequest(request, reply);
      return true;
    }
    if (!request.path.starts_with("/v1/")) return false;
    return RouteCaller(request, query_.Recording(request, reply));
  }

  bool RouteCaller(HttpRequest& request, std::shared_ptr<HttpReply> reply) {
    const std::string& path = request.path;
    const bool completion = path == "/v1/completions" || path == "/v1/chat/completions";
    if (completion && request.method == "POST") {
      online_.OnCompletion(std::move(request), std::move(reply));
    } else if (path.starts_with("/v1/services/")) {
      online_.OnServiceCall(std::move(request), std::move(reply));
    } else if (EntryBatch::Takes(path)) {
      batch_.OnRequest(std::move(request), std::move(reply));
    } else if (path.starts_with("/v1/results/")) {
      once_.OnResult(request, std::move(reply));
    } else {
      return false;
    }
    return true;
  }

  // An item accepted before. Its reply is its ticket, by which the online part knows
  // it: behind another reply it would be taken for a new request with the key, and
  // wait for its own outcome.
  void RunStored(HttpRequest request, std::shared_ptr<HttpReply> ticket) {
    if (request.path.starts_with("/v1/services/")) {
      online_.OnServiceCall(std::move(request), std::move(ticket));
    } else {
      online_.OnCompletion(std::move(request), std::move(ticket));
    }
  }

  Daemon daemon_;
  EntryOnline online_;
  EntryBatch batch_;
  EntryQuery query_;
  EntryOnce once_;
  bool batch_drained_ = false;
  std::function<void()> finished_;
  Timer idle_timer_;
};

}  // namespace

int RunEntry(const Settings& settings) {
  return Entry(settings).Run();
}

}  // namespace figmill
