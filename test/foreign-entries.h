#pragma once

// Valid documents, and random corruptions of them as another writer might cause.
// "Foreign" are rows and messages that a process other than figmill wrote.

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "figmill/ledger.h"
#include "figmill/sharing.h"
#include "test/gateway-fakes.h"

namespace figmill::foreign {

using Json = nlohmann::json;

inline Json GoodBackend() {
  return {{"service", "llm"},
          {"address", "10.0.0.9:8080"},
          {"zone", "north-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"sequence", 4},
          {"born", 1'700'000'000'000}};
}

inline Json GoodConfig(std::uint64_t version = 7) {
  return {
      {"version", version},
      {"routes",
       {{{"name", "r"},
         {"host", "farm.example"},
         {"pathPrefix", "/notes/"},
         {"kind", "stream"},
         {"timeoutMs", 5000},
         {"goalMs", 300},
         {"priority", 0},
         {"service", "llm"},
         {"maxAttempts", 2},
         {"sticky", true},
         {"resumable", true}}}},
      {"services",
       {{{"name", "llm"},
         {"healthPath", "/health"},
         {"maxConns", 200},
         {"engine", {{"slots", 8}, {"kvCapacity", 100'000}}}}}},
      {"limits", {{"headerBytes", 16'384}, {"bodyBytes", 4'194'304}, {"idleTimeoutMs", 15'000}}}};
}

// One of two items is listed.
inline JobRecord GoodHead(const std::string& id = "job") {
  JobRecord head;
  head.id = JobId{id};
  head.route = "r";
  head.host = "farm.example";
  head.total = 2;
  head.stored_results = 1;
  head.done = "x.";
  head.owner = NodeId{"a"};
  head.owner_incarnation = 1;
  head.submitted = std::chrono::seconds(1);
  head.due = std::chrono::hours(1);
  head.expires = std::chrono::hours(2);
  head.digest = 99;
  head.token = Token{"token"};
  return head;
}

inline Json FromCbor(const std::string& cbor) {
  return Json::from_cbor(cbor);
}
inline std::string ToCbor(const Json& json) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

inline PeerMessage GoodMessage() {
  PeerMessage message;
  message.from = {
      NodeId{"a"}, 1'700'000'000'000, Address{"10.0.0.1", 8082}, DataCentre{"north-a"}, 1.5, false};
  message.report = SlotReport{7,
                              6,
                              {3, 4},
                              {{StoreTime{5'000'000}, 9}},
                              {{BackendId{"i-1"}, 2, 3, Duration{700'000}, 5, 1}}};
  message.grant = SlotGrant{8, {{BackendId{"i-1"}, 1, 2, 3, false}}};
  SlotRequest ask;
  ask.number = 9;
  ask.service = ServiceName{"llm"};
  ask.goal_left = Duration{300'000};
  ask.time_left = Duration{5'000'000};
  ask.tried = {BackendId{"i-2"}};
  message.slot_request = ask;
  message.slot_response =
      SlotResponse{10, SlotResponse::Kind::kAssigned, BackendId{"i-1"}, Duration{20'000}};
  message.known_peers = {message.from};
  return message;
}

// Corrupts documents at random, always in the same way for the same seed.
class Corrupter {
 public:
  explicit Corrupter(unsigned seed) : random_(seed) {}

  // Removes or replaces a value at any depth.
  Json Fields(Json json) {
    std::vector<Json*> values;
    Collect(json, values);
    for (std::size_t changes = 1 + Below(3); changes > 0; --changes) {
      Json& value = *values[Below(values.size())];
      if (value.is_object() && !value.empty() && Below(2) == 0) {
        auto field = value.begin();
        std::advance(field, static_cast<std::ptrdiff_t>(Below(value.size())));
        value.erase(field);
        break;  // pointers to values within it are invalid now
      }
      value = RandomValue();
      break;
    }
    return json;
  }
  // Changes some bytes, truncates the end or inserts bytes.
  std::string Bytes(std::string bytes) {
    for (std::size_t changes = 1 + Below(4); changes > 0 && !bytes.empty(); --changes) {
      const std::size_t at = Below(bytes.size());
      switch (Below(4)) {
        case 0:
          bytes.resize(at);
          break;
        case 1:
          bytes.insert(at, Below(40), static_cast<char>(random_()));
          break;
        default:
          bytes[at] = static_cast<char>(random_());
      }
    }
    return bytes;
  }

 private:
  std::size_t Below(std::size_t bound) { return random_() % bound; }

  void Collect(Json& json, std::vector<Json*>& values) {
    values.push_back(&json);
    if (!json.is_structured()) return;
    for (Json& each : json) Collect(each, values);
  }

  Json RandomValue() {
    const std::vector<Json> choices = {nullptr,
                                       true,
                                       -1,
                                       0,
                                       2.7,
                                       1e300,
                                       "",
                                       "8",
                                       "ready",
                                       std::string(100'000, 'z'),
                                       Json::array(),
                                       Json::object(),
                                       std::numeric_limits<std::uint64_t>::max(),
                                       std::numeric_limits<std::int64_t>::min(),
                                       Json::array({Json::array({1})}),
                                       1e-9};
    return choices[Below(choices.size())];
  }

  std::mt19937 random_;
};

}  // namespace figmill::foreign
