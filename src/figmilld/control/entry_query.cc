#include "figmilld/control/entry_query.h"

#include <charconv>

#include "figmilld/control/query_operations.h"

namespace figmill {
namespace {

// About 1 MB when full of causes of their longest.
constexpr std::size_t kKeptRefusals = 2000;
constexpr std::size_t kMaxAuthorBytes = 64;

// Who orders, as far as they say; the log shows it to those who lose a race.
std::string AuthorOf(const HttpRequest& request) {
  const Result<std::string> author =
      ParseId(request.HeaderOr("Figmill-Operator"), "Figmill-Operator", kMaxAuthorBytes);
  return IsOk(author) ? ValueOf(author) : "unnamed";
}

Result<std::optional<Sequence>> IfVersionOf(const HttpRequest& request) {
  const std::optional<std::string> text = request.QueryValue("if_version");
  if (!text) return std::optional<Sequence>();
  Sequence version = 0;
  const char* const last = text->data() + text->size();
  const auto [end, failure] = std::from_chars(text->data(), last, version);
  if (failure == std::errc{} && end == last) return std::optional<Sequence>(version);
  return Error{ErrorKind::kBadRequest, "if_version must be a whole number, not '" + *text + "'"};
}

void SendAnswer(HttpReply& reply, const Result<query::QueryAnswer>& answer) {
  if (!IsOk(answer)) return reply.Send(ProblemOf(ErrorOf(answer)));
  reply.Send({200, "application/json", {}, query::ToJson(ValueOf(answer)) + "\n"});
}

}  // namespace

EntryQuery::EntryQuery(EntryQueryParts parts)
    : shared_(new Shared{std::move(parts), {}, query::RefusalLog(kKeptRefusals)}) {}

EntryQuery::~EntryQuery() = default;

bool EntryQuery::Handles(std::string_view path) {
  return path == "/v1/query" || path == "/v1/config";
}

void EntryQuery::OnRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  const bool config = request.path == "/v1/config";
  if (config && request.method == "GET") return GetConfig(*reply);
  if (request.method != "POST") {
    return reply->Send(ProblemOf(
        {ErrorKind::kMethodNotAllowed, request.path + " doesn't take " + request.method}));
  }
  if (config) return PostConfig(request, reply);
  OnStatement(request, reply);
}

void EntryQuery::OnStatement(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  const auto operations = std::make_shared<QueryOperations>(shared_, AuthorOf(request));
  query::Execute(request.body, *operations,
                 [operations, reply](const Result<query::QueryAnswer>& answer) {
                   SendAnswer(*reply, answer);
                 });
}

void EntryQuery::GetConfig(HttpReply& reply) const {
  const std::shared_ptr<const ControlState> fold = shared_->parts.control.CurrentFold();
  reply.Send({200,
              "application/json",
              {},
              "{\"version\":" + std::to_string(fold->sequence) +
                  ",\"config\":" + ToJson(fold->config) + "}\n"});
}

void EntryQuery::PostConfig(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  Result<Config> config = ParseConfig(request.body);
  if (!IsOk(config)) return reply->Send(ProblemOf(ErrorOf(config)));
  const Result<std::optional<Sequence>> if_version = IfVersionOf(request);
  if (!IsOk(if_version)) return reply->Send(ProblemOf(ErrorOf(if_version)));
  shared_->parts.control.Append(
      ReplaceConfig{std::move(ValueOf(config))}, AuthorOf(request), ValueOf(if_version),
      std::nullopt, [reply](const Result<Sequence>& sequence) {
        if (!IsOk(sequence)) return SendAnswer(*reply, ErrorOf(sequence));
        SendAnswer(*reply, query::QueryAnswer(query::Accepted{ValueOf(sequence)}));
      });
}

void EntryQuery::RecordRefusal(query::Refusal refusal) {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  shared_->refusals.Record(std::move(refusal));
}

}  // namespace figmill
