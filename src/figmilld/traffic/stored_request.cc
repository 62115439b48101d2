#include "figmilld/traffic/stored_request.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {

using Json = nlohmann::json;

// CBOR, since a body need not be UTF-8.
std::string SerializeRequest(const HttpRequest& request) {
  Json headers = Json::array();
  for (const Header& header : request.headers) headers.push_back({header.name, header.value});
  const Json json = {
      {"method", request.method},
      {"path", request.path},
      {"query", request.query},
      {"headers", std::move(headers)},
      {"body", Json::binary({request.body.begin(), request.body.end()})},
  };
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<HttpRequest> ParseStoredRequest(std::string_view bytes) {
  try {
    const Json json = ParseCborOrThrow(bytes);
    HttpRequest request;
    request.method = json.at("method").get<std::string>();
    request.path = json.at("path").get<std::string>();
    request.query = json.at("query").get<std::string>();
    for (const Json& header : json.at("headers")) {
      request.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
    }
    const Json::binary_t& body = json.at("body").get_binary();
    request.body.assign(body.begin(), body.end());
    return request;
  } catch (const Json::exception& problem) {
    return Error{ErrorKind::kInternal,
                 std::string("a stored request can't be read: ") + problem.what(), Ran::kNo};
  }
}

}  // namespace figmill
