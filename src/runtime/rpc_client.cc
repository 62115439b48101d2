#include <cassert>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/runtime.h"
#include "runtime/rpc_wire.h"

namespace figmill {
namespace {

using nlohmann::json;

std::string FreshCallId() {
  thread_local RandomBits random = SystemRandom();
  return GenerateToken(random).value;
}

Ran RanNamed(std::string_view name) {
  if (name == ToString(Ran::kNo)) return Ran::kNo;
  if (name == ToString(Ran::kYes)) return Ran::kYes;
  return Ran::kUnknown;
}

std::string TextMember(const json& object, const char* name) {
  const auto member = object.find(name);
  return member != object.end() && member->is_string() ? member->get<std::string>() : "";
}

// Error answers that figmill's server did not write (a method the peer doesn't
// have, say) carry no data; there the code alone tells, and nothing is promised.
ErrorKind KindOfCode(int code) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    if (ErrorInfoOf(kind).rpc_code == code) return kind;
  }
  return ErrorKind::kBadRequest;
}

Error ErrorOfAnswer(const detail::RpcAnswer& answer) {
  const json data = ParseJson(answer.data);
  if (!data.is_object()) return Error{KindOfCode(answer.code), answer.message, Ran::kUnknown};
  Error error;
  error.kind = FindErrorKind(TextMember(data, "kind")).value_or(KindOfCode(answer.code));
  error.detail = TextMember(data, "detail");
  error.ran = RanNamed(TextMember(data, "ran"));
  const auto retry = data.find("retry_after_ms");
  if (retry != data.end() && retry->is_number_unsigned()) {
    error.retry_after = std::chrono::milliseconds(retry->get<std::uint32_t>());
  }
  return error;
}

Result<std::string> ReadAnswer(const std::string& id, const HttpResponse& response) {
  if (response.status != 200) return ErrorFromProblem(response.status, response.body);
  const detail::RpcAnswer answer = detail::ParseRpcAnswer(id, response.body);
  switch (answer.kind) {
    case detail::RpcAnswer::kResult:
      return answer.result;
    case detail::RpcAnswer::kError:
      return ErrorOfAnswer(answer);
    case detail::RpcAnswer::kMalformed:
      break;
  }
  return Error{ErrorKind::kBrokenAnswer, "the JSON-RPC answer can't be read: " + answer.message,
               Ran::kUnknown};
}

}  // namespace

void CallRpc(HttpClient& client, const Address& to, std::string_view method,
             std::string_view params, Duration timeout,
             std::function<void(Result<std::string>)> done) {
  const std::string id = FreshCallId();
  HttpCall call;
  call.method = "POST";
  call.to = to;
  call.target = "/rpc";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = detail::RpcRequestText(id, std::string(method), std::string(params));
  assert(!call.body.empty());  // else a caller's parameters were no object
  call.total_timeout = timeout;
  client.Fetch(std::move(call), [id, done = std::move(done)](Result<HttpResponse> fetched) {
    if (IsOk(fetched)) {
      done(ReadAnswer(id, ValueOf(fetched)));
    } else {
      done(ErrorOf(fetched));
    }
  });
}

}  // namespace figmill
