#include "figmilld/traffic/once_relay.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

Json ToJson(const RowWrite& write) {
  return std::visit(Overloaded{[](const PutRow& put) {
                                 return Json{{"op", "put"}, {"key", put.key}, {"value", put.value}};
                               },
                               [](const DeleteRow& gone) {
                                 return Json{{"op", "delete"}, {"key", gone.key}};
                               }},
                    write);
}

RowWrite RowWriteFrom(const Json& json) {
  std::string key = json.at("key").get<std::string>();
  if (json.at("op") == "put") return PutRow{std::move(key), json.at("value").get<std::string>()};
  return DeleteRow{std::move(key)};
}

OnceWriteResult FateFrom(const Json& json) {
  const std::string fate = json.at("fate").get<std::string>();
  if (fate == "committed") return OnceCommitted{json.at("version").get<RowVersion>()};
  if (fate == "not-written") return NotWritten{json.at("why").get<std::string>()};
  if (fate != "rejected") return FateUnknown{json.value("why", std::string())};
  const Json& current = json.at("current");
  if (current.is_null()) return OnceRejected{};
  return OnceRejected{Row{current.at("key").get<std::string>(),
                          current.at("value").get<std::string>(),
                          current.at("version").get<RowVersion>()}};
}

}  // namespace

std::string SerializeOnceWrite(const OnceWrite& write) {
  Json side = Json::array();
  for (const RowWrite& row : write.marker_writes) side.push_back(ToJson(row));
  return Json{{"key", write.condition.key},
              {"version", write.condition.version},
              {"value", write.value},
              {"side", std::move(side)},
              {"refusable", write.fail_fast}}
      .dump();
}

Result<OnceWrite> ParseOnceWrite(std::string_view body) {
  try {
    const Json json = ParseJsonOrThrow(body);
    OnceWrite write;
    write.condition = {json.at("key").get<std::string>(), json.at("version").get<RowVersion>()};
    write.value = json.at("value").get<std::string>();
    for (const Json& row : json.at("side")) write.marker_writes.push_back(RowWriteFrom(row));
    write.fail_fast = json.at("refusable").get<bool>();
    return write;
  } catch (const Json::exception& problem) {
    return Error{ErrorKind::kBadRequest, problem.what()};
  }
}

std::string SerializeOnceFate(const OnceWriteResult& fate) {
  return std::visit(Overloaded{
                        [](const OnceCommitted& committed) {
                          return Json{{"fate", "committed"}, {"version", committed.version}};
                        },
                        [](const OnceRejected& rejected) {
                          Json current;
                          if (rejected.current) {
                            current = {{"key", rejected.current->key},
                                       {"value", rejected.current->value},
                                       {"version", rejected.current->version}};
                          }
                          return Json{{"fate", "rejected"}, {"current", std::move(current)}};
                        },
                        [](const NotWritten& outcome) {
                          return Json{{"fate", "not-written"}, {"why", outcome.why}};
                        },
                        [](const FateUnknown& outcome) {
                          return Json{{"fate", "unknown"}, {"why", outcome.why}};
                        },
                    },
                    fate)
      .dump();
}

OnceWriteResult ParseOnceFate(std::string_view body) {
  try {
    return FateFrom(ParseJsonOrThrow(body));
  } catch (const Json::exception& problem) {
    return FateUnknown{problem.what()};
  }
}

}  // namespace figmill
