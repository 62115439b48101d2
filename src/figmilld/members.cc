#include "figmilld/members.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace figmill {
namespace {

constexpr Duration kRefreshPeriod{500'000};
constexpr Duration kStatusTimeout{1'000'000};

}  // namespace

Members::Members(Loop& loop, HttpClient& client, HostList& hosts)
    : client_(client), hosts_(hosts), timer_(loop.Every(kRefreshPeriod, [this] { Refresh(); })) {
  Refresh();
}

void Members::Refresh() {
  hosts_.List([this](const Result<std::vector<ListedHost>>& listed) {
    if (!IsOk(listed)) return;
    for (const ListedHost& host : ValueOf(listed)) {
      if (host.role == "agent" && !host.leaving) Ask(host);
    }
  });
}

void Members::Ask(const ListedHost& host) {
  HttpCall call;
  call.to = host.http;
  call.target = "/agent/status";
  call.total_timeout = kStatusTimeout;
  client_.Fetch(std::move(call), [this, host](const Result<HttpResponse>& response) {
    std::erase_if(agents_, [&](const Member& member) { return member.node == host.node; });
    if (!IsOk(response)) return;
    const auto status = nlohmann::json::parse(ValueOf(response).body, nullptr, false);
    if (!status.is_object()) return;
    Member member;
    member.node = host.node;
    member.role = Role::kAgent;
    member.http = host.http;
    member.data_centre = host.data_centre;
    member.incarnation = status.value("incarnation", Incarnation{0});
    for (const auto& service : status.value("serves", nlohmann::json::array())) {
      member.serves.push_back({service.get<std::string>()});
    }
    agents_.push_back(member);
  });
}

}  // namespace figmill
