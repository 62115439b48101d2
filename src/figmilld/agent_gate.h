#pragma once

// Carries dispatches to the backend server beside this process and its answers
// back as frames.

#include <memory>

#include "figmill/runtime.h"
#include "figmilld/dispatch.h"
#include "figmilld/settings.h"

namespace figmill {

class AgentGate {
 public:
  AgentGate(HttpClient& client, const AgentSettings& settings, Incarnation incarnation);
  void OnDispatch(HttpRequest request, std::shared_ptr<HttpReply> reply);

 private:
  HttpClient& client_;
  AgentSettings settings_;
  Incarnation incarnation_;
};

}  // namespace figmill
