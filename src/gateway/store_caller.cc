#include "gateway/store_caller.h"

#include <charconv>
#include <utility>

namespace figmill {
namespace {

// Between entries: the store's own path comes after this.
constexpr std::string_view kForwardPath = "/store";
// Set in the answer to a forwarded call that got none from the store: whether the
// call was sent.
constexpr std::string_view kNoAnswer = "Figmill-Store-Answer";
constexpr std::string_view kNotSent = "not-sent";
constexpr std::string_view kLost = "lost";
// How long the forwarding entry may wait for the store.
constexpr std::string_view kTimeLeft = "Figmill-Store-Wait-Ms";
constexpr Duration kConnectTimeout{400'000};
// On the way to the other entry and back.
constexpr Duration kWayTime{100'000};

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

bool IsTurnedAway(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable;
}

// What a forwarding entry has told of a call without an answer.
Result<HttpResponse> Unwrapped(Result<HttpResponse> result) {
  if (!IsOk(result)) return result;
  for (const Header& header : ValueOf(result).headers) {
    if (!SameHeaderName(header.name, kNoAnswer)) continue;
    const bool not_sent = header.value == kNotSent;
    return Error{ErrorKind::kBackendFailed, "by way of a peer: " + ValueOf(result).body,
                 not_sent ? Ran::kNo : Ran::kUnknown};
  }
  return result;
}

StorePaths::Outcome OutcomeOf(const Result<HttpResponse>& result) {
  if (!IsOk(result)) {
    return ErrorOf(result).ran == Ran::kNo ? StorePaths::Outcome::kRefused
                                           : StorePaths::Outcome::kLost;
  }
  return IsTurnedAway(ValueOf(result).status) ? StorePaths::Outcome::kRefused
                                              : StorePaths::Outcome::kAnswered;
}

}  // namespace

void StoreCaller::Fetch(TableCall call, std::function<void(Result<HttpResponse>)> done) {
  const StorePaths::Path path = paths_.Begin(call.waits, Loop::Now());
  Send(std::move(call), path, /*may_go_other_way=*/true, std::move(done));
}

HttpCall StoreCaller::CallFor(const TableCall& call, const StorePaths::Path& path) const {
  HttpCall http;
  http.method = call.method;
  http.target = call.target;
  http.headers = call.headers;
  http.body = call.body;
  http.connect_timeout = kConnectTimeout;
  http.total_timeout = call.timeout;
  http.to = store_;
  const TrafficKind kind = path.peer ? TrafficKind::kStoreByWay : TrafficKind::kStore;
  http.bytes = &traffic_.Of(kind, Reach::kUnknown);
  if (path.peer) {
    http.to = *path.peer;
    http.target = std::string(kForwardPath) + call.target;
    http.total_timeout += kWayTime;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    http.headers.push_back({std::string(kTimeLeft), std::to_string(ms)});
  }
  return http;
}

void StoreCaller::Send(TableCall call, const StorePaths::Path& path, bool may_go_other_way,
                       std::function<void(Result<HttpResponse>)> done) {
  HttpCall http = CallFor(call, path);
  client_.Fetch(std::move(http), [this, call = std::move(call), path, may_go_other_way,
                                  done = std::move(done)](Result<HttpResponse> raw) mutable {
    const Result<HttpResponse> result = path.peer ? Unwrapped(std::move(raw)) : std::move(raw);
    const StorePaths::Outcome outcome = OutcomeOf(result);
    paths_.End(path, outcome, Loop::Now());
    // A refused call did nothing, and a read does nothing at all: it may go another way.
    const bool harmless = outcome == StorePaths::Outcome::kRefused ||
                          (outcome == StorePaths::Outcome::kLost && call.method == "GET");
    if (may_go_other_way && harmless) {
      if (const auto other = paths_.BeginOther(path, Loop::Now())) {
        return Send(std::move(call), *other, /*may_go_other_way=*/false, std::move(done));
      }
    }
    done(result);
  });
}

bool StoreCaller::IsForwarded(const HttpRequest& request) {
  return request.path.starts_with(kForwardPath);
}

// Always directly: two entries that both avoid the direct way must not forward to
// each other.
void StoreCaller::Forward(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  HttpCall http;
  http.method = std::move(request.method);
  http.to = store_;
  http.target = request.path.substr(kForwardPath.size());
  if (!request.query.empty()) http.target += "?" + request.query;
  http.body = std::move(request.body);
  http.connect_timeout = kConnectTimeout;
  std::int64_t ms = 0;
  const std::string_view left = request.HeaderOr(kTimeLeft);
  std::from_chars(left.data(), left.data() + left.size(), ms);
  http.total_timeout = std::max<Duration>(std::chrono::milliseconds(ms), kWayTime);
  if (!http.body.empty()) http.headers.push_back({"Content-Type", "application/json"});
  client_.Fetch(std::move(http), [reply](Result<HttpResponse> result) {
    if (IsOk(result)) {
      const HttpResponse& answer = ValueOf(result);
      return reply->Send({answer.status, "application/json", {}, answer.body});
    }
    const Error& error = ErrorOf(result);
    const std::string_view fate = error.ran == Ran::kNo ? kNotSent : kLost;
    reply->Send({ErrorInfoOf(error.kind).http_status,
                 "text/plain",
                 {{std::string(kNoAnswer), std::string(fate)}},
                 error.detail});
  });
}

}  // namespace figmill
