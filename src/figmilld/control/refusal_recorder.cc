#include "figmilld/control/query_operations.h"

namespace figmill {
namespace {

constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kErrorEvent = "event: error\ndata: ";
constexpr int kFirstErrorStatus = 400;

// The value of the member "model" of a JSON body, without parsing all of it on
// the way of every request. Inside a JSON string quotes are escaped, so the key
// can't be met there.
std::string_view ModelOf(std::string_view body) {
  constexpr std::string_view kKey = "\"model\"";
  const std::size_t key = body.find(kKey);
  if (key == std::string_view::npos) return {};
  const std::size_t colon = body.find_first_not_of(" \t\r\n", key + kKey.size());
  if (colon == std::string_view::npos || body[colon] != ':') return {};
  const std::size_t open = body.find_first_not_of(" \t\r\n", colon + 1);
  if (open == std::string_view::npos || body[open] != '"') return {};
  const std::size_t close = body.find('"', open + 1);
  if (close == std::string_view::npos || close - open - 1 > kMaxIdLength) return {};
  return body.substr(open + 1, close - open - 1);
}

std::string_view ServiceOf(const HttpRequest& request) {
  const std::string_view path = request.path;
  if (!path.starts_with(kServicesPath)) return ModelOf(request.body);
  const std::string_view rest = path.substr(kServicesPath.size());
  return rest.substr(0, std::min(rest.find('/'), kMaxIdLength));
}

std::string TeamOf(const HttpRequest& request) {
  const std::string_view header = request.HeaderOr("Figmill-Team").substr(0, kMaxIdLength);
  if (!header.empty()) return std::string(header);
  return request.QueryValue("team").value_or("").substr(0, kMaxIdLength);
}

class RecordingReply final : public HttpReply {
 public:
  RecordingReply(std::shared_ptr<EntryQuery::Shared> shared, std::shared_ptr<HttpReply> reply,
                 ServiceName service, TeamId team)
      : shared_(std::move(shared)),
        reply_(std::move(reply)),
        service_(std::move(service)),
        team_(std::move(team)) {}

  void Send(HttpResponse response) override {
    if (response.content_type == "application/problem+json") {
      Record(ErrorFromProblem(response.status, response.body));
    }
    reply_->Send(std::move(response));
  }
  void Begin(HttpResponse head) override { reply_->Begin(std::move(head)); }
  void Write(std::string bytes) override {
    if (bytes.starts_with(kErrorEvent)) {
      const std::string_view body = std::string_view(bytes).substr(kErrorEvent.size());
      Record(ErrorFromProblem(kFirstErrorStatus, body));
    }
    reply_->Write(std::move(bytes));
  }
  void End() override { reply_->End(); }
  void OnClosed(std::function<void()> closed) override { reply_->OnClosed(std::move(closed)); }

 private:
  void Record(Error error) {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->refusals.Record(
        {Loop::WallNow(), service_, team_, error.kind, std::move(error.detail), error.ran});
  }

  std::shared_ptr<EntryQuery::Shared> shared_;
  std::shared_ptr<HttpReply> reply_;
  ServiceName service_;
  TeamId team_;
};

}  // namespace

std::shared_ptr<HttpReply> EntryQuery::Recording(const HttpRequest& request,
                                                 std::shared_ptr<HttpReply> reply) {
  return std::make_shared<RecordingReply>(shared_, std::move(reply),
                                          ServiceName{std::string(ServiceOf(request))},
                                          TeamId{TeamOf(request)});
}

}  // namespace figmill
