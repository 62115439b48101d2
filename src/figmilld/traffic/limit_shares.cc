#include "figmilld/traffic/limit_shares.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "figmill/documents.h"

namespace figmill {
namespace {

using nlohmann::json;

json ToJson(const TeamRates& rates) {
  return {{"requests", rates.requests}, {"tokens", rates.tokens}};
}

TeamRates ParseRates(const json& body) {
  return {body.at("requests").get<double>(), body.at("tokens").get<double>()};
}

}  // namespace

LimitShares::LimitShares(Loop& loop, HttpClient& client, RpcServer& rpc, NodeId self,
                         TeamLimits& limits)
    : client_(client),
      self_(std::move(self)),
      limits_(limits),
      timer_(loop.Every(TeamLimits::kReportPeriod, [this] { Ask(); })) {
  rpc.Bind("share", [this](std::string_view params) { return OnShare(params); });
}

void LimitShares::Ask() {
  const Time now = Loop::Now();
  homes_.EvictIdle(now);
  for (const ShareRequest& ask : limits_.TakeDueReports(now)) {
    const TeamId team = ask.report.team;
    if (ask.owner.node == self_) {
      limits_.ApplyShare(team, homes_.Allocate(self_, ask.report, *limits_.LimitOf(team), now),
                         now);
      continue;
    }
    const json params = {{"entry", self_.value},
                         {"team", team.value},
                         {"wanted", ToJson(ask.report.wanted)},
                         {"admitted", ToJson(ask.report.admitted)}};
    CallRpc(client_, ask.owner.address, "share", params.dump(), TeamLimits::kReportPeriod,
            [this, team](const Result<std::string>& answer) {
              if (!IsOk(answer)) return;  // the share lapses to an equal one
              const json body = ParseJson(ValueOf(answer));
              if (!body.is_object()) return;
              limits_.ApplyShare(team, {body.value("requests", 0.0), body.value("tokens", 0.0)},
                                 Loop::Now());
            });
  }
}

Result<std::string> LimitShares::OnShare(std::string_view params) {
  try {
    const json body = ParseJsonOrThrow(params);
    DemandReport report;
    report.team.value = body.at("team").get<std::string>();
    report.wanted = ParseRates(body.at("wanted"));
    report.admitted = ParseRates(body.at("admitted"));
    const TeamLimit* limit = limits_.LimitOf(report.team);
    if (limit == nullptr) {
      return Error{ErrorKind::kNotFound, "team '" + report.team.value + "' has no limit here"};
    }
    const NodeId entry{body.at("entry").get<std::string>()};
    return ToJson(homes_.Allocate(entry, report, *limit, Loop::Now())).dump();
  } catch (const json::exception& failure) {
    return Error{ErrorKind::kBadRequest, failure.what()};
  }
}

}  // namespace figmill
