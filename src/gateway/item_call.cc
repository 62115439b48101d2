#include "gateway/item_call.h"

#include <array>

namespace figmill {
namespace {

constexpr const char* kItemMethod = "POST";
constexpr Duration kConnectTimeout{250'000};

}  // namespace

bool IsTeamHeader(const HeaderNames& names, std::string_view header) {
  return SameHeaderName(header, kKeyHeader) || SameHeaderName(header, names.team);
}

HttpCall MakeItemCall(const HeaderNames& names, const JobRecord& job, const JobItem& item) {
  HttpCall call;
  call.method = kItemMethod;
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

std::vector<Fingerprint> SuspectsOf(const HeaderNames& names, const JobRecord& job,
                                    const JobItem& item, const ServiceName& service) {
  const std::array<Header, 1> host{{{"Host", job.host}}};
  std::vector<Fingerprint> suspects =
      PartFingerprintsOf(HeaderValue(item.headers, names.prompt_parts), service);
  suspects.insert(suspects.begin(),
                  FingerprintOf(kItemMethod, item.target, host, item.body, job.team));
  return suspects;
}

}  // namespace figmill
