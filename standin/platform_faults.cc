#include <algorithm>
#include <array>

#include "standin/platform.h"

namespace figmill::standin {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 4> kAreas = {"table", "objects", "hosts", "weights"};

std::vector<std::string> Areas(const Json& value) {
  auto areas = value.get<std::vector<std::string>>();
  for (const std::string& area : areas) {
    if (std::find(kAreas.begin(), kAreas.end(), area) == kAreas.end()) {
      // The type that Json throws itself, so that callers catch one kind.
      throw Json::other_error::create(501, "there is no area '" + area + "'", nullptr);
    }
  }
  return areas;
}

WriteFault WriteFaultFrom(const Json& value) {
  return WriteFault{value.at("prefix").get<std::string>(), value.at("count").get<std::uint32_t>()};
}

Json ToJson(const WriteFault& fault) {
  return {{"prefix", fault.prefix}, {"count", fault.count}};
}

}  // namespace

bool SetFault(PlatformFaults& faults, const std::string& name, const Json& value) {
  if (name == "down") {
    faults.down = Areas(value);
  } else if (name == "hang") {
    faults.hang = Areas(value);
  } else if (name == "slow_ms") {
    value.get_to(faults.slow_ms);
  } else if (name == "lose_answers") {
    faults.lose_answers = WriteFaultFrom(value);
  } else if (name == "garble_answers") {
    faults.garble_answers = WriteFaultFrom(value);
  } else if (name == "drop_writes") {
    faults.drop_writes = WriteFaultFrom(value);
  } else if (name == "stale_hosts") {
    value.get_to(faults.stale_hosts);
  } else {
    return false;
  }
  return true;
}

Json ToJson(const PlatformFaults& faults) {
  return {{"down", faults.down},
          {"hang", faults.hang},
          {"slow_ms", faults.slow_ms},
          {"lose_answers", ToJson(faults.lose_answers)},
          {"garble_answers", ToJson(faults.garble_answers)},
          {"drop_writes", ToJson(faults.drop_writes)},
          {"stale_hosts", faults.stale_hosts}};
}

}  // namespace figmill::standin
