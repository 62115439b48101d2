#include "gateway/store_transport.h"

#include <charconv>
#include <utility>

namespace figmill {
namespace {

// Prefix of the path of a call that one entry forwards for another; the store's path follows.
constexpr std::string_view kForwardPath = "/store";
// Header of the response to a forwarded call that got no response from the store: whether the
// call was sent.
constexpr std::string_view kNoResponseHeader = "Figmill-Store-Answer";
constexpr std::string_view kNotSent = "not-sent";
constexpr std::string_view kLost = "lost";
// Header of a forwarded call: how long the forwarding entry may wait for the store.
constexpr std::string_view kWaitHeader = "Figmill-Store-Wait-Ms";
constexpr Duration kConnectTimeout{400'000};
// Time for the round trip to the forwarding entry.
constexpr Duration kForwardOverhead{100'000};

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

bool IsRefused(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable;
}

// Restores the error of a call whose forwarding entry got no response from the store.
Result<HttpResponse> UnwrapForwarded(Result<HttpResponse> result) {
  if (!IsOk(result)) return result;
  for (const Header& header : ValueOf(result).headers) {
    if (!SameHeaderName(header.name, kNoResponseHeader)) continue;
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
  return IsRefused(ValueOf(result).status) ? StorePaths::Outcome::kRefused
                                           : StorePaths::Outcome::kAnswered;
}

}  // namespace

void StoreTransport::Fetch(TableCall call, std::function<void(Result<HttpResponse>)> done) {
  const StorePaths::Path path = paths_.Begin(call.long_poll, Loop::Now());
  Send(std::move(call), path, kMaxAlternatives, std::move(done));
}

HttpCall StoreTransport::CallFor(const TableCall& call, const StorePaths::Path& path) const {
  HttpCall http;
  http.method = call.method;
  http.target = call.target;
  http.headers = call.headers;
  http.body = call.body;
  http.connect_timeout = kConnectTimeout;
  http.total_timeout = call.timeout;
  http.to = store_;
  const TrafficKind kind = path.peer ? TrafficKind::kStoreViaPeer : TrafficKind::kStore;
  http.bytes = &traffic_.CounterFor(kind, Reach::kUnknown);
  if (path.peer) {
    http.to = *path.peer;
    http.target = std::string(kForwardPath) + call.target;
    http.total_timeout += kForwardOverhead;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    http.headers.push_back({std::string(kWaitHeader), std::to_string(ms)});
  }
  return http;
}

void StoreTransport::Send(TableCall call, const StorePaths::Path& path, int alternatives_left,
                          std::function<void(Result<HttpResponse>)> done) {
  HttpCall http = CallFor(call, path);
  client_.Fetch(std::move(http), [this, call = std::move(call), path, alternatives_left,
                                  done = std::move(done)](Result<HttpResponse> raw) mutable {
    const Result<HttpResponse> result =
        path.peer ? UnwrapForwarded(std::move(raw)) : std::move(raw);
    const StorePaths::Outcome outcome = OutcomeOf(result);
    paths_.End(path, outcome, Loop::Now());
    const std::size_t received = IsOk(result) ? ValueOf(result).body.size() : 0;
    call_metrics_.Record(call.kind, call.table, call.body.size() + received);
    // A refused call had no effect, and a read never has one: both may use another path. A lost
    // call has used up its time, so that one more path must do.
    const bool lost_read = outcome == StorePaths::Outcome::kLost && call.method == "GET" &&
                           alternatives_left == kMaxAlternatives;
    if ((outcome == StorePaths::Outcome::kRefused && alternatives_left > 0) || lost_read) {
      if (const auto other = paths_.BeginAlternative(path, Loop::Now())) {
        const int left = lost_read ? 0 : alternatives_left - 1;
        return Send(std::move(call), *other, left, std::move(done));
      }
    }
    done(result);
  });
}

bool StoreTransport::IsForwarded(const HttpRequest& request) {
  return request.path.starts_with(kForwardPath);
}

// Always uses the direct path: two entries that both avoid it must not forward to each
// other.
void StoreTransport::Forward(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  HttpCall http;
  http.method = std::move(request.method);
  http.to = store_;
  http.target = request.path.substr(kForwardPath.size());
  if (!request.query.empty()) http.target += "?" + request.query;
  http.body = std::move(request.body);
  http.connect_timeout = kConnectTimeout;
  std::int64_t ms = 0;
  const std::string_view left = request.HeaderOr(kWaitHeader);
  std::from_chars(left.data(), left.data() + left.size(), ms);
  http.total_timeout = std::max<Duration>(std::chrono::milliseconds(ms), kForwardOverhead);
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
                 {{std::string(kNoResponseHeader), std::string(fate)}},
                 error.detail});
  });
}

}  // namespace figmill
