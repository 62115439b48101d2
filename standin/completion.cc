#include "standin/completion.h"

#include <nlohmann/json.hpp>

namespace figmill::standin {
namespace {

using Json = nlohmann::json;

Error Bad(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

std::string Dumped(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json UsageJson(const Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

Result<std::string> ChatPrompt(const Json& messages) {
  if (!messages.is_array() || messages.empty()) return Bad("messages must be a list");
  std::string prompt;
  for (const Json& message : messages) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
        !message.contains("content") || !message["content"].is_string()) {
      return Bad("each message needs role and content, both strings");
    }
    if (!prompt.empty()) prompt += '\n';
    prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>();
  }
  return prompt;
}

Result<std::string> PromptOf(const Json& json, bool chat) {
  if (chat) return ChatPrompt(json.value("messages", Json()));
  const Json prompt = json.value("prompt", Json());
  if (!prompt.is_string()) return Bad("prompt must be a string");
  return prompt.get<std::string>();
}

}  // namespace

Result<CompletionRequest> ParseCompletion(std::string_view body, bool chat) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return Bad("the body is no JSON object");
  CompletionRequest request{.chat = chat};
  Result<std::string> prompt = PromptOf(json, chat);
  if (!IsOk(prompt)) return ErrorOf(prompt);
  request.prompt = std::move(ValueOf(prompt));

  const Json model = json.value("model", Json());
  if (!model.is_string()) return Bad("model must be a string");
  request.model = model.get<std::string>();
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const Json max_tokens = json.value(name, Json());
    if (max_tokens.is_null()) continue;
    if (!max_tokens.is_number_unsigned() || max_tokens == 0) {
      return Bad(std::string(name) + " must be a whole number above 0");
    }
    request.max_tokens = max_tokens.get<std::uint64_t>();
  }
  const Json stream = json.value("stream", Json(false));
  if (!stream.is_boolean()) return Bad("stream must be true or false");
  request.stream = stream.get<bool>();
  return request;
}

AnswerWriter::AnswerWriter(bool chat, std::string_view request_id, std::string_view model)
    : chat_(chat) {
  const std::string id = (chat ? "chatcmpl-" : "cmpl-") + std::string(request_id);
  head_ = "{\"id\":" + Dumped(id) + ",\"model\":" + Dumped(std::string(model));
}

// The words need no escaping, so that a token costs no JSON tree.
std::string AnswerWriter::TokenEvent(std::string_view text) const {
  std::string event = "data: " + head_;
  event += chat_ ? R"(,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")"
                 : R"(,"object":"text_completion","choices":[{"index":0,"text":")";
  event += text;
  event += chat_ ? "\"}" : "\"";
  event += ",\"finish_reason\":null}]}\n\n";
  return event;
}

std::string AnswerWriter::LastEvent(std::string_view text, const Usage& usage) const {
  std::string event = TokenEvent(text);
  event.resize(event.rfind("null}]}"));
  event += "\"length\"}],\"usage\":" + Dumped(UsageJson(usage)) + "}\n\n";
  return event;
}

std::string AnswerWriter::Whole(std::string_view text, const Usage& usage) const {
  Json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (chat_) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return head_ + ",\"object\":" + (chat_ ? "\"chat.completion\"" : "\"text_completion\"") +
         ",\"choices\":" + Dumped(Json::array({choice})) +
         ",\"usage\":" + Dumped(UsageJson(usage)) + "}";
}

std::string OpenAiError(std::string_view type, std::string_view message) {
  return Dumped({{"error", {{"message", message}, {"type", type}}}});
}

}  // namespace figmill::standin
