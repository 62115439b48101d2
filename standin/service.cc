#include "standin/service.h"

#include <fmt/format.h>

#include "standin/run_later.h"
#include "standin/text.h"

namespace figmill::standin {

Service::Service(Loop& loop, ServiceSettings settings)
    : loop_(loop), settings_(std::move(settings)) {}

void Service::Handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  if (request.path.starts_with("/standin/")) return HandleAdmin(request, reply);
  if (faults_.hang) return void_.Swallow(reply);
  if (faults_.down) {
    return reply->Send(ProblemOf(Error{ErrorKind::kOverloaded, "the service is down"}));
  }
  const std::uint64_t run = executions_.Start(std::string(request.HeaderOr("X-Request-Id")),
                                              std::string(request.HeaderOr("X-Item-Key")),
                                              request.HeaderOr("X-Repeatable", "true") != "false");
  HttpResponse answer = Echo(request);
  if (faults_.fail_answers > 0) {
    --faults_.fail_answers;
    answer =
        HttpResponse{.status = 500, .content_type = "text/plain", .body = "the service failed\n"};
  }
  const Duration delay = settings_.delay + std::chrono::milliseconds(faults_.slow_ms);
  if (delay.count() == 0) return Finish(run, std::move(answer), reply);
  RunLater(loop_, delay,
           [this, run, answer = std::move(answer), reply] { Finish(run, answer, reply); });
}

void Service::Finish(std::uint64_t run, HttpResponse answer,
                     const std::shared_ptr<HttpReply>& reply) {
  executions_.at(run).state = RunState::kFinished;
  if (faults_.truncate_answers == 0) return reply->Send(std::move(answer));
  // Chunked, so that HTTP itself calls the half body whole.
  --faults_.truncate_answers;
  answer.body.resize(answer.body.size() / 2);
  reply->Begin(std::move(answer));
  reply->End();
}

HttpResponse Service::Echo(const HttpRequest& request) const {
  const nlohmann::json body = {{"service", settings_.name},
                               {"method", request.method},
                               {"path", request.path},
                               {"query", request.query},
                               {"body_bytes", request.body.size()},
                               {"body_digest", fmt::format("{:016x}", Fnv1a(request.body))}};
  HttpResponse answer{.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  answer.headers = {{"X-Request-Id", std::string(request.HeaderOr("X-Request-Id"))}};
  return answer;
}

void Service::HandleAdmin(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  if (request.path == "/standin/faults") return reply->Send(HandleFaults(request, faults_));
  if (request.path != "/standin/executions") {
    return reply->Send(ProblemOf(Error{ErrorKind::kNotFound, "there is no such call"}));
  }
  reply->Send(HttpResponse{.content_type = "application/x-ndjson", .body = executions_.ToNdjson()});
}

}  // namespace figmill::standin
