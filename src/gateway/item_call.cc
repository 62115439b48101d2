#include "gateway/item_call.h"

#include <array>

namespace figmill {
namespace {

constexpr const char* kItemMethod = "POST";
constexpr Duration kConnectTimeout{250'000};

// Whether figmill alone decides on this header of an item's call.
bool IsReservedHeader(const HeaderNames& names, std::string_view header) {
  if (IsConnectionHeader(header)) return true;
  for (const std::string_view each :
       {std::string_view("Host"), std::string_view(names.request_id),
        std::string_view(names.deadline_ms), std::string_view(names.expect_backend),
        std::string_view(names.last_event_id), std::string_view(names.resumes)}) {
    if (SameHeaderName(header, each)) return true;
  }
  return false;
}

// The headers of the item that go to the backend server. Rows of the store may hold headers that a
// submission may not.
std::vector<Header> ForwardedHeaders(const HeaderNames& names, const JobRecord& job,
                                     std::vector<Header> headers) {
  std::erase_if(headers, [&names, &job](const Header& header) {
    const bool well_formed = IsHeaderName(header.name) && IsHeaderValue(header.value);
    const bool sets_team = !job.team.empty() && IsTeamHeader(names, header.name);
    return !well_formed || sets_team || IsReservedHeader(names, header.name);
  });
  return headers;
}

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
  call.headers = ForwardedHeaders(names, job, item.headers);
  if (!job.team.empty()) call.headers.push_back({names.team, job.team.value});
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
