#pragma once

// The fault switches that the engine and the plain service share, and the
// calls that read and change switches.

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "figmill/runtime.h"

namespace figmill::standin {

struct BackendFaults {
  bool down = false;  // refuses every call
  bool hang = false;  // takes every call and never answers
  std::uint32_t slow_ms = 0;
  std::uint32_t fail_answers = 0;
  std::uint32_t truncate_answers = 0;
};

// Sets the member of this name. False when there is none. Throws
// nlohmann::json::exception on a wrong type.
bool SetFault(BackendFaults& faults, const std::string& name, const nlohmann::json& value);
[[nodiscard]] nlohmann::json ToJson(const BackendFaults& faults);

// GET answers the switches as they are, POST changes the named ones and
// answers all of them. One wrong member, and none changes.
template <typename Faults>
HttpResponse HandleFaults(const HttpRequest& request, Faults& faults) {
  if (request.method == "POST") {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
      return ProblemOf(Error{ErrorKind::kBadRequest, "the body is no JSON object"});
    }
    Faults next = faults;
    try {
      for (const auto& [name, value] : json.items()) {
        if (!SetFault(next, name, value)) {
          return ProblemOf(Error{ErrorKind::kBadRequest, "there is no fault '" + name + "'"});
        }
      }
    } catch (const nlohmann::json::exception& failure) {
      return ProblemOf(Error{ErrorKind::kBadRequest, failure.what()});
    }
    faults = std::move(next);
  }
  return HttpResponse{.body = ToJson(faults).dump()};
}

// Keeps connections whose requests are never answered.
class Void {
 public:
  void Swallow(const std::shared_ptr<HttpReply>& reply);

 private:
  std::shared_ptr<std::vector<std::shared_ptr<HttpReply>>> replies_ =
      std::make_shared<std::vector<std::shared_ptr<HttpReply>>>();
};

}  // namespace figmill::standin
