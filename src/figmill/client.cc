#include "figmill/client.h"

#include <unistd.h>

#include <iostream>
#include <optional>

namespace figmill {
namespace {

constexpr int kOkStatus = 200;
constexpr Duration kConnectTimeout{2'000'000};
constexpr Duration kProgressPeriod{1'000'000};

// Whether another entry may be asked instead of the one that failed so.
bool MayTryNext(const Error& error, Effect effect) {
  if (error.kind == ErrorKind::kLeaving) return error.ran == Ran::kNo;
  if (error.kind != ErrorKind::kBackendFailed) return false;
  return effect == Effect::kNone || error.ran == Ran::kNo;
}

// Says on a terminal that a request takes long.
void ShowWaiting(const Address& entry, int seconds) {
  if (isatty(STDERR_FILENO) == 0) return;
  std::cerr << "\rwaiting for " << ToString(entry) << ", " << seconds << " s " << std::flush;
}
void ClearWaiting(int seconds) {
  if (seconds > 0 && isatty(STDERR_FILENO) != 0) std::cerr << "\r\x1b[K" << std::flush;
}

}  // namespace

Result<HttpResponse> ToolClient::Fetch(const Address& entry, const ToolRequest& request) const {
  Loop loop;
  HttpClient http(loop);
  HttpCall call{request.method,
                entry,
                request.target,
                {{"Figmill-Operator", settings_.author}, {"Content-Type", "text/plain"}},
                request.body};
  call.connect_timeout = kConnectTimeout;
  call.total_timeout = settings_.timeout;
  call.fresh_connection = request.effect == Effect::kOrder;
  std::optional<Result<HttpResponse>> answer;
  const CancelCall cancel = http.Fetch(std::move(call), [&](Result<HttpResponse> result) {
    answer = std::move(result);
    loop.Stop();
  });
  int seconds = 0;
  const Timer progress = loop.Every(kProgressPeriod, [&] { ShowWaiting(entry, ++seconds); });
  loop.Run();
  ClearWaiting(seconds);
  if (answer) return *answer;
  return Error{ErrorKind::kInternal, "the request ended without an answer", Ran::kUnknown};
}

Result<std::string> ToolClient::Try(const Address& entry, const ToolRequest& request) const {
  Result<HttpResponse> result = Fetch(entry, request);
  if (!IsOk(result)) return ErrorOf(result);
  HttpResponse& response = ValueOf(result);
  if (response.status == kOkStatus) return std::move(response.body);
  return ErrorFromProblem(response.status, response.body);
}

Result<std::string> ToolClient::Send(const ToolRequest& request) {
  std::string tried;
  const std::size_t count = settings_.entries.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (first_ + i) % count;
    const Address& entry = settings_.entries[index];
    Result<std::string> body = Try(entry, request);
    if (IsOk(body)) {
      first_ = index;
      return body;
    }
    const Error& error = ErrorOf(body);
    if (!MayTryNext(error, request.effect)) {
      if (error.kind != ErrorKind::kBackendFailed || request.effect == Effect::kNone) return error;
      return Error{ErrorKind::kOutcomeUnknown,
                   ToString(entry) + " took the order and its answer was lost (" + error.detail +
                       "). It may be in force: look at `show log` before giving it again",
                   Ran::kUnknown};
    }
    tried += (tried.empty() ? "" : "; ") + ToString(entry) + ": " + error.detail;
  }
  return Error{ErrorKind::kNoBackend, "no entry could be reached: " + tried, Ran::kNo};
}

}  // namespace figmill
