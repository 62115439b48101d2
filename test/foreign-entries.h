#pragma once

// Documents as their writers make them, and what another writer may make of them.

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

inline Json Unpacked(const std::string& cbor) {
  return Json::from_cbor(cbor);
}
inline std::string Packed(const Json& json) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

inline PeerMessage GoodMessage() {
  PeerMessage message;
  message.from = {
      NodeId{"a"}, 1'700'000'000'000, Address{"10.0.0.1", 8082}, DataCentre{"north-a"}, 1.5, false};
  message.report = PlaceReport{7,
                               6,
                               {3, 4},
                               {{StoreTime{5'000'000}, 9}},
                               {{BackendId{"i-1"}, 2, 3, Duration{700'000}, 5, 1}}};
  message.grant = PlaceGrant{8, {{BackendId{"i-1"}, 1, 2, 3, false}}};
  PlaceAsk ask;
  ask.number = 9;
  ask.service = ServiceName{"llm"};
  ask.goal_left = Duration{300'000};
  ask.time_left = Duration{5'000'000};
  ask.tried = {BackendId{"i-2"}};
  message.ask = ask;
  message.answer = PlaceAnswer{10, PlaceAnswer::Kind::kPlaced, BackendId{"i-1"}, Duration{20'000}};
  message.known = {message.from};
  return message;
}

// Spoils documents by chance, the same for the same seed.
class Spoiler {
 public:
  explicit Spoiler(unsigned seed) : random_(seed) {}

  // Some of its fields, at any depth, dropped, swapped for others or changed.
  Json Fields(Json json) {
    std::vector<Json*> places;
    Collect(json, places);
    for (std::size_t changes = 1 + Below(3); changes > 0; --changes) {
      Json& place = *places[Below(places.size())];
      if (place.is_object() && !place.empty() && Below(2) == 0) {
        auto field = place.begin();
        std::advance(field, static_cast<std::ptrdiff_t>(Below(place.size())));
        place.erase(field);
        break;  // places within it are gone
      }
      place = Value();
      break;
    }
    return json;
  }
  // Some bytes flipped, or the end cut off, or more bytes put in.
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

  void Collect(Json& json, std::vector<Json*>& places) {
    places.push_back(&json);
    if (!json.is_structured()) return;
    for (Json& each : json) Collect(each, places);
  }

  Json Value() {
    const std::vector<Json> values = {nullptr,
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
    return values[Below(values.size())];
  }

  std::mt19937 random_;
};

}  // namespace figmill::foreign
