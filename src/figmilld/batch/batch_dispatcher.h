#pragma once

// Sends batch items to agents and gathers their answers.

#include <functional>
#include <map>
#include <string>

#include "figmill/batch.h"
#include "figmill/runtime.h"
#include "figmilld/traffic/dispatch.h"

namespace figmill {

class BatchDispatcher {
 public:
  using Report = std::function<void(BatchEvent)>;
  BatchDispatcher(HttpClient& client, NodeId self, Report report);

  void SetAgents(std::map<NodeId, Address> agents) { agents_ = std::move(agents); }
  void Send(DispatchItem item);
  // Hangs up and tells the agent, so that the stream stops even if it is queued
  // behind a connection that dies slowly.
  void Cancel(const CancelItem& item);
  // Reports the item as ended and not run if the agent confirms that it never started, and as
  // started otherwise.
  void Revoke(const RevokeItem& item);
  // Tells all agents to drop and stop what holders under lower epochs sent.
  void Supersede(const JobId& job, Epoch epoch);

 private:
  struct Call {
    NodeId agent;
    Incarnation incarnation = 0;
    bool repeatable = true;
    Time sent;
    int status = 0;
    std::string body;
    CancelCall hang_up;
  };

  void On(const RequestId& request, DispatchEvent event);
  void End(const RequestId& request, ItemOutcome outcome);
  void TakeData(const RequestId& request, Call& call, const std::string& bytes);
  void TakeError(const RequestId& request, const Error& error);
  // Asks the agent whether a not-repeatable request was ever started, and ends it with `error`.
  void EndRevoked(const RequestId& request, const Error& error);
  // Revokes a request at its agent; `done` gets whether it never started.
  void CallRevoke(const RequestId& request, const Call& call, std::function<void(bool)> done);

  HttpClient& client_;
  NodeId self_;
  Report report_;
  std::map<NodeId, Address> agents_;
  std::map<RequestId, Call> calls_;
};

}  // namespace figmill
