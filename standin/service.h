#pragma once

// A plain service: answers any call with what it was asked, and records it.

#include <memory>
#include <string>

#include "figmill/runtime.h"
#include "standin/executions.h"
#include "standin/faults.h"

namespace figmill::standin {

struct ServiceSettings {
  Address http;
  std::string name;
  Duration delay{0};
};

class Service {
 public:
  Service(Loop& loop, ServiceSettings settings);
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);

 private:
  void HandleAdmin(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void Finish(std::uint64_t run, HttpResponse answer, const std::shared_ptr<HttpReply>& reply);
  [[nodiscard]] HttpResponse Echo(const HttpRequest& request) const;

  Loop& loop_;
  ServiceSettings settings_;
  BackendFaults faults_;
  Void void_;
  Executions executions_;
};

}  // namespace figmill::standin
