#pragma once

// What the engine beside an agent can serve now, for the agent's status.

#include <vector>

#include "figmill/runtime.h"
#include "figmilld/settings.h"

namespace figmill {

class ServedModels {
 public:
  // Asks a model engine each second; a plain backend server serves its setting.
  ServedModels(Loop& loop, HttpClient& client, const AgentSettings& settings);
  // An engine that doesn't answer keeps what it had: whether it lives is for the
  // failures of its requests to tell.
  [[nodiscard]] const std::vector<ServiceName>& services() const { return services_; }

 private:
  void Ask();

  HttpClient& client_;
  Address backend_;
  std::vector<ServiceName> services_;
  Timer timer_;
};

}  // namespace figmill
