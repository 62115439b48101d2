// JSON encoding of a keyed item's row, and the keys of its rows.

#include <array>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/once.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> kPhaseNames = {"queued", "intended", "done", "unknown",
                                                         "released"};

std::optional<OncePhase> PhaseNamed(std::string_view name) {
  for (std::size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames[i] == name) return static_cast<OncePhase>(i);
  }
  return std::nullopt;
}

Json ToJson(const NodeInstance& instance) {
  return Json{{"node", instance.node.value}, {"incarnation", instance.incarnation}};
}

NodeInstance InstanceFrom(const Json& json) {
  return NodeInstance{NodeId{json.at("node").get<std::string>()},
                      json.at("incarnation").get<Incarnation>()};
}

Json ToJson(const OnceOutcome& outcome) {
  return Json{{"status", outcome.status},
              {"content_type", outcome.content_type},
              {"digest", outcome.digest},
              {"body", outcome.body},
              {"object", outcome.object}};
}

OnceOutcome OutcomeFrom(const Json& json) {
  return OnceOutcome{json.at("status").get<int>(), json.at("content_type").get<std::string>(),
                     json.at("digest").get<std::string>(), json.at("body").get<std::string>(),
                     json.at("object").get<std::string>()};
}

OnceRow RowFrom(const Json& json, OncePhase phase) {
  OnceRow row;
  row.token.value = json.at("token").get<std::string>();
  row.phase = phase;
  row.content = json.at("content").get<std::string>();
  row.team.value = json.at("team").get<std::string>();
  row.repeatable = json.at("repeatable").get<bool>();
  row.epoch = json.at("epoch").get<Epoch>();
  row.sender = InstanceFrom(json.at("sender"));
  row.agent = InstanceFrom(json.at("agent"));
  row.stamp = json.at("stamp").get<std::int64_t>();
  row.request.value = json.at("request").get<std::string>();
  row.request_object = json.value("request_object", std::string());
  if (phase == OncePhase::kDone) row.outcome = OutcomeFrom(json.at("outcome"));
  row.retention_tick = json.at("tick").get<std::uint64_t>();
  return row;
}

Error BadRow(std::string_view why) {
  return Error{ErrorKind::kInternal, "a row of a keyed item can't be read: " + std::string(why),
               Ran::kUnknown};
}

}  // namespace

std::string_view ToString(OncePhase phase) {
  return kPhaseNames[static_cast<std::size_t>(phase)];
}

std::string OnceRowKey(const ItemKey& key) {
  return "once/" + key.value;
}

std::string OpenItemMarkerKey(const NodeId& node, const ItemKey& key) {
  return std::string(kOpenItemMarkerPrefix) + node.value + "/" + key.value;
}

std::string SerializeOpenItemMarker(const OnceRow& row) {
  return Json{{"token", row.token.value}, {"owner", ToJson(row.sender)}}.dump();
}

Result<OpenItemMarker> ParseOpenItemMarker(const Row& row) {
  try {
    OpenItemMarker open;
    open.owner = InstanceFrom(ParseJsonOrThrow(row.value).at("owner"));
    const std::string prefix = OpenItemMarkerKey(open.owner.node, ItemKey{});
    if (!row.key.starts_with(prefix)) return BadRow("an open marker names another owner");
    open.key.value = row.key.substr(prefix.size());
    return open;
  } catch (const Json::exception& problem) {
    return BadRow(problem.what());
  }
}

std::string SerializeOnceRow(const OnceRow& row) {
  Json json = {{"token", row.token.value},
               {"phase", ToString(row.phase)},
               {"content", row.content},
               {"team", row.team.value},
               {"repeatable", row.repeatable},
               {"epoch", row.epoch},
               {"sender", ToJson(row.sender)},
               {"agent", ToJson(row.agent)},
               {"request", row.request.value},
               {"tick", row.retention_tick},
               {"stamp", row.stamp}};
  if (!row.request_object.empty()) json["request_object"] = row.request_object;
  if (row.phase == OncePhase::kDone) json["outcome"] = ToJson(row.outcome);
  return json.dump();
}

Result<OnceRow> ParseOnceRow(std::string_view value) {
  try {
    const Json json = ParseJsonOrThrow(value);
    const std::optional<OncePhase> phase = PhaseNamed(json.at("phase").get<std::string>());
    if (!phase) return BadRow("unknown phase");
    return RowFrom(json, *phase);
  } catch (const Json::exception& problem) {
    return BadRow(problem.what());
  }
}

bool FitsInRow(std::string_view body) {
  if (body.size() > kInlineOutcomeBytes) return false;
  try {
    (void)Json(body).dump();  // throws when the body isn't valid UTF-8
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

}  // namespace figmill
