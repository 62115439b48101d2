#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/runtime.h"

namespace figmill {
namespace {

// Clients read whole seconds; a wait is rounded up so that they don't come early.
long long WholeSeconds(Duration wait) {
  return std::max<long long>(1, std::chrono::ceil<std::chrono::seconds>(wait).count());
}

constexpr Duration kDefaultRetryAfter{1'000'000};

Ran RanNamed(std::string_view name) {
  if (name == "no") return Ran::kNo;
  if (name == "yes") return Ran::kYes;
  return Ran::kUnknown;
}

Error UnreadableProblem(int status) {
  return Error{ErrorKind::kBackendFailed, "status " + std::to_string(status), Ran::kUnknown};
}

}  // namespace

HttpResponse ProblemOf(const Error& error) {
  const ErrorKindInfo& row = ErrorInfoOf(error.kind);
  HttpResponse response;
  response.status = row.http_status;
  response.content_type = "application/problem+json";
  nlohmann::json body = {{"type", "about:blank"},     {"title", row.title},
                         {"status", row.http_status}, {"kind", row.name},
                         {"detail", error.detail},    {"ran", ToString(error.ran)}};
  if (row.retry_may_help) {
    const Duration wait = error.retry_after.value_or(kDefaultRetryAfter);
    response.headers.push_back({"Retry-After", std::to_string(WholeSeconds(wait))});
    body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  }
  // A detail may quote a caller's bytes, which need not be UTF-8.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

Error ErrorFromProblem(int status, std::string_view body) {
  const nlohmann::json problem = ParseJson(body);
  if (!problem.is_object()) return UnreadableProblem(status);
  const auto kind_text = problem.find("kind");
  if (kind_text == problem.end() || !kind_text->is_string()) return UnreadableProblem(status);
  const auto kind = FindErrorKind(kind_text->get_ref<const std::string&>());
  if (!kind) return UnreadableProblem(status);
  Error error{*kind};
  error.ran = Ran::kUnknown;
  const auto detail = problem.find("detail");
  if (detail != problem.end() && detail->is_string()) error.detail = detail->get<std::string>();
  const auto ran = problem.find("ran");
  if (ran != problem.end() && ran->is_string()) {
    error.ran = RanNamed(ran->get_ref<const std::string&>());
  }
  const auto wait = problem.find("retry_after_ms");
  if (wait != problem.end() && wait->is_number_unsigned()) {
    error.retry_after = std::chrono::milliseconds(wait->get<std::uint32_t>());
  }
  return error;
}

}  // namespace figmill
