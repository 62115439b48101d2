#include "gateway/error_response.h"

#include <fmt/format.h>

namespace figmill {

HttpResponse ErrorResponseFor(const Error& error) {
  HttpResponse response = ProblemOf(error);
  if (error.kind == ErrorKind::kUnauthorized) {
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  if (!error.retry_after) return response;
  const double seconds = std::chrono::duration<double>(*error.retry_after).count();
  for (Header& header : response.headers) {
    if (header.name == "Retry-After") header.value = fmt::format("{:.3f}", seconds);
  }
  return response;
}

}  // namespace figmill
