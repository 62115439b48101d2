#include "gateway/item_call.h"

namespace figmill {
namespace {

constexpr Duration kConnectTimeout{250'000};

}  // namespace

bool IsTeamHeader(const HeaderNames& names, std::string_view header) {
  return SameHeaderName(header, kKeyHeader) || SameHeaderName(header, names.team);
}

HttpCall MakeItemCall(const HeaderNames& names, const JobRecord& job, const JobItem& item) {
  HttpCall call;
  call.method = "POST";
  call.target = item.target;
  call.body = item.body;
  call.connect_timeout = kConnectTimeout;
  call.headers = item.headers;
  if (!job.team.empty()) {
    std::erase_if(call.headers,
                  [&names](const Header& header) { return IsTeamHeader(names, header.name); });
    call.headers.push_back({names.team, job.team.value});
  }
  call.headers.push_back({"Host", job.host});
  return call;
}

RequestFingerprint FingerprintOf(const JobRecord& job, const HttpCall& call) {
  return FingerprintOf(call.method, call.target, call.headers, call.body, job.team);
}

}  // namespace figmill
