#include "gateway/item_call.h"

namespace figmill {
namespace {

constexpr Duration kConnectTimeout{250'000};

}  // namespace

HttpCall ItemCall(const JobHead& job, const JobItem& item) {
  HttpCall call;
  call.method = "POST";
  call.target = item.target;
  call.body = item.body;
  call.connect_timeout = kConnectTimeout;
  call.headers = item.headers;
  call.headers.push_back({"Host", job.host});
  return call;
}

RequestFingerprint FingerprintOf(const HttpCall& call) {
  return FingerprintOf(call.method, call.target, call.headers, call.body);
}

}  // namespace figmill
