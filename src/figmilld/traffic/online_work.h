#pragma once

// A caller's online request, read into what deciding about it needs.

#include <cstdint>
#include <optional>
#include <string>

#include "figmill/control.h"
#include "figmill/online.h"
#include "figmill/runtime.h"
#include "figmilld/traffic/dispatch.h"

namespace figmill {

struct OnlineWork {
  RequestPlan plan;
  DispatchHeaders dispatch;  // what all attempts have in common
  std::string body;          // left empty by the parsers: it moves here last
  TeamId team;
  std::optional<TraceContext> parent;
};

// `POST /v1/completions` or `/v1/chat/completions`; the model names the service.
// Errors: kBadRequest, kUnknownService.
[[nodiscard]] Result<OnlineWork> ParseCompletion(const HttpRequest& request,
                                                 const RoutingSnapshot& snapshot, Time now,
                                                 const RandomBits& random);
// Any method on `/v1/services/{service}/{path}`. Errors: kBadRequest, kUnknownService.
[[nodiscard]] Result<OnlineWork> ParseServiceCall(const HttpRequest& request,
                                                  const RoutingSnapshot& snapshot, Time now,
                                                  const RandomBits& random);

}  // namespace figmill
