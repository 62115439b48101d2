#pragma once

// The operators' door of an entry: statements, the whole configuration, and the
// record of refusals.

#include <functional>
#include <memory>
#include <mutex>

#include "figmill/query.h"
#include "figmill/runtime.h"
#include "figmilld/control/control_access.h"

namespace figmill {

// All must outlive the EntryQuery and the loop's work.
struct EntryQueryParts {
  Loop& loop;
  HttpClient& client;
  TableStore& table;
  ObjectStore& objects;
  ControlAccess& control;
  NodeId self;
  // Stops a job whose cancellation is in the log, ahead of its owner.
  std::function<void(const JobId&)> cancel_job = {};
};

class EntryQuery {
 public:
  explicit EntryQuery(EntryQueryParts parts);
  ~EntryQuery();

  // POST /v1/query: one statement in the body. GET /v1/config: the configuration
  // in force; POST replaces it whole, `?if_version=N`. The header
  // Figmill-Operator names the author in the log.
  [[nodiscard]] static bool Handles(std::string_view path);
  void OnRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);

  // `refusals`, by which entries ask each other.
  void BindRpc(RpcServer& rpc);

  // Passes the answer on, and records it if it is an error: a problem document,
  // or an error event in a stream.
  [[nodiscard]] std::shared_ptr<HttpReply> Recording(const HttpRequest& request,
                                                     std::shared_ptr<HttpReply> reply);

  // Any thread.
  void RecordRefusal(query::Refusal refusal);

  // What the handlers share with the answers that are under way.
  struct Shared;

 private:
  void OnStatement(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void GetConfig(HttpReply& reply) const;
  void PostConfig(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);

  std::shared_ptr<Shared> shared_;
};

}  // namespace figmill
