#include "standin/faults.h"

#include <algorithm>

namespace figmill::standin {

bool SetFault(BackendFaults& faults, const std::string& name, const nlohmann::json& value) {
  if (name == "down") {
    value.get_to(faults.down);
  } else if (name == "hang") {
    value.get_to(faults.hang);
  } else if (name == "slow_ms") {
    value.get_to(faults.slow_ms);
  } else if (name == "fail_answers") {
    value.get_to(faults.fail_answers);
  } else if (name == "truncate_answers") {
    value.get_to(faults.truncate_answers);
  } else {
    return false;
  }
  return true;
}

nlohmann::json ToJson(const BackendFaults& faults) {
  return {{"down", faults.down},
          {"hang", faults.hang},
          {"slow_ms", faults.slow_ms},
          {"fail_answers", faults.fail_answers},
          {"truncate_answers", faults.truncate_answers}};
}

void Void::Swallow(const std::shared_ptr<HttpReply>& reply) {
  replies_->push_back(reply);
  reply->OnClosed([replies = std::weak_ptr(replies_), gone = std::weak_ptr(reply)] {
    const auto all = replies.lock();
    if (all) std::erase(*all, gone.lock());
  });
}

}  // namespace figmill::standin
