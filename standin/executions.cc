#include "standin/executions.h"

#include <nlohmann/json.hpp>

namespace figmill::standin {
namespace {

const char* NameOf(RunState state) {
  switch (state) {
    case RunState::kRunning:
      return "running";
    case RunState::kFinished:
      return "finished";
    case RunState::kCancelled:
      return "cancelled";
  }
  return "";
}

}  // namespace

std::uint64_t Executions::Start(std::string request_id, std::string item_key, bool repeatable) {
  all_.push_back(Execution{std::move(request_id), std::move(item_key), repeatable});
  return all_.size() - 1;
}

std::string Executions::ToNdjson() const {
  std::string lines;
  for (const Execution& each : all_) {
    const nlohmann::json line = {{"request_id", each.request_id},
                                 {"item_key", each.item_key},
                                 {"repeatable", each.repeatable},
                                 {"state", NameOf(each.state)},
                                 {"tokens", each.tokens}};
    lines += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  return lines;
}

}  // namespace figmill::standin
