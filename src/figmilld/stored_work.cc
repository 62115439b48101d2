#include "figmilld/stored_work.h"

#include <nlohmann/json.hpp>

namespace figmill {
namespace {

using Json = nlohmann::json;

OnlineWork WorkFrom(const Json& json) {
  OnlineWork work;
  work.plan.service.value = json.at("service").get<std::string>();
  const Json::binary_t& prefix = json.at("prefix").get_binary();  // may be cut inside a character
  work.plan.prefix.assign(prefix.begin(), prefix.end());
  work.plan.tokens = json.at("tokens").get<double>();
  work.plan.repeatable = json.at("repeatable").get<bool>();
  work.plan.can_resume = json.at("can_resume").get<bool>();
  work.plan.wants_stream = json.at("wants_stream").get<bool>();
  work.team.value = json.at("team").get<std::string>();
  work.key.value = json.at("key").get<std::string>();
  const Json::binary_t& body = json.at("body").get_binary();
  work.body.assign(body.begin(), body.end());

  DispatchHeaders& dispatch = work.dispatch;
  dispatch.service = work.plan.service;
  dispatch.method = json.at("method").get<std::string>();
  dispatch.path = json.at("path").get<std::string>();
  dispatch.content_type = json.at("content_type").get<std::string>();
  dispatch.item = work.key;
  dispatch.repeatable = work.plan.repeatable;
  dispatch.tokens = json.at("max_tokens").get<std::uint64_t>();
  return work;
}

}  // namespace

// CBOR, since a body need not be UTF-8.
std::string SerializeWork(const OnlineWork& work) {
  const Json json = {
      {"service", work.plan.service.value},
      {"prefix", Json::binary({work.plan.prefix.begin(), work.plan.prefix.end()})},
      {"tokens", work.plan.tokens},
      {"repeatable", work.plan.repeatable},
      {"can_resume", work.plan.can_resume},
      {"wants_stream", work.plan.wants_stream},
      {"team", work.team.value},
      {"key", work.key.value},
      {"method", work.dispatch.method},
      {"path", work.dispatch.path},
      {"content_type", work.dispatch.content_type},
      {"max_tokens", work.dispatch.tokens},
      {"body", Json::binary({work.body.begin(), work.body.end()})},
  };
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<OnlineWork> ParseStoredWork(std::string_view bytes) {
  try {
    return WorkFrom(Json::from_cbor(bytes));
  } catch (const Json::exception& problem) {
    return Error{ErrorKind::kInternal,
                 std::string("a stored request can't be read: ") + problem.what()};
  }
}

}  // namespace figmill
