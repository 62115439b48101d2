#include "batch/answers.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill::detail {
namespace {

using Json = nlohmann::json;

constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;

bool IsModelCall(const BatchItem& item) {
  return item.path == "/v1/completions" || item.path == "/v1/chat/completions";
}

std::uint64_t CompletionTokens(const Json& body) {
  const auto usage = body.find("usage");
  if (usage == body.end() || !usage->is_object()) return 0;
  const auto tokens = usage->find("completion_tokens");
  return tokens != usage->end() && tokens->is_number_unsigned() ? tokens->get<std::uint64_t>() : 0;
}

bool IsFinished(const BatchItem& item, const Json& body) {
  if (!body.is_object()) return false;
  const auto choices = body.find("choices");
  if (choices == body.end() || !choices->is_array() || choices->empty()) return false;
  for (const Json& choice : *choices) {
    if (!choice.is_object()) return false;
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || !reason->is_string()) return false;
    const std::uint64_t tokens = CompletionTokens(body);
    if (*reason == "length" && tokens > 0 && tokens < item.tokens) return false;
  }
  return true;
}

std::string FormatLine(Json json) {
  // Invalid UTF-8 is replaced so that the results remain parseable.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

}  // namespace

AnswerClass ClassifyAnswer(const BatchItem& item, const ItemAnswer& answer) {
  if (answer.status >= 500 || answer.status == kRequestTimeout ||
      answer.status == kTooManyRequests) {
    return AnswerClass::kRetryable;
  }
  if (answer.status < 200 || answer.status >= 300) return AnswerClass::kPermanentFailure;
  if (!IsModelCall(item)) return AnswerClass::kSuccess;
  return IsFinished(item, ParseJson(answer.body)) ? AnswerClass::kSuccess : AnswerClass::kRetryable;
}

std::string AnswerLine(std::uint32_t index, const BatchItem& item, const ItemAnswer& answer) {
  Json body = ParseJson(answer.body);
  if (body.is_discarded()) body = answer.body;
  return FormatLine({{"index", index},
                     {"custom_id", item.custom_id},
                     {"response", {{"status_code", answer.status}, {"body", std::move(body)}}}});
}

std::string FailureLine(std::uint32_t index, const BatchItem& item, const Error& error,
                        int attempts) {
  return FormatLine({{"index", index},
                     {"custom_id", item.custom_id},
                     {"error",
                      {{"kind", ErrorInfoOf(error.kind).name},
                       {"detail", error.detail},
                       {"ran", ToString(error.ran)},
                       {"attempts", attempts}}}});
}

}  // namespace figmill::detail
